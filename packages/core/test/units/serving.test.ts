import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  comparePositions,
  chooseReadMember,
  ConfirmationTracker,
  type GroupId,
  type TermPosition,
  type LogPosition,
  type MemberId,
  type ReadMemberState,
  FailureRatioTracker,
  type ReadRequirements,
  LogSampleHistory,
  resolveRequiredPosition,
  type Route,
  SuspensionDetector,
  type Term,
  toBrand,
  toMilliseconds,
  WaitEstimator,
} from '../../src/index.js';

function createPosition(term: number, position: number): TermPosition {
  return { term: toBrand<Term>(term), position: toBrand<LogPosition>(position) };
}

function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: 'r',
    database: 'd',
    group: toBrand<GroupId>('g'),
    consistency: 'bounded',
    statementTimeoutMs: toMilliseconds(800),
    targetLatencyMs: toMilliseconds(400),
    maxAgeMs: toMilliseconds(1500),
    priority: 1,
    isPublic: false,
    ...changes,
  };
}

function createMember(id: string, changes: Partial<ReadMemberState> = {}): ReadMemberState {
  return {
    id: toBrand<MemberId>(id),
    isPrimary: false,
    isDraining: false,
    distance: 0,
    pending: 0,
    avoidUntil: toMilliseconds(0),
    reportedPosition: undefined,
    laggingUntil: toMilliseconds(0),
    failureRatio: 0,
    ...changes,
  };
}

function createRequirements(changes: Partial<ReadRequirements> = {}): ReadRequirements {
  return {
    route: createRoute(),
    sessionPosition: undefined,
    stalenessPosition: createPosition(1, 50),
    tried: new Set(),
    ...changes,
  };
}

const NOW = toMilliseconds(2000);

describe('read placement', () => {
  describe('position required of a replica', () => {
    it('is the one for the maximum age of the route', () => {
      expect(resolveRequiredPosition(createRequirements())).toEqual(createPosition(1, 50));
    });

    it('is undefined for the latest consistency, which allows no replica', () => {
      const route = createRoute({ consistency: 'latest' });
      expect(resolveRequiredPosition(createRequirements({ route }))).toBeUndefined();
    });

    it('includes the last commit of the session', () => {
      const route = createRoute({ consistency: 'session' });
      const lastCommit = createPosition(1, 60);
      expect(
        resolveRequiredPosition(createRequirements({ route, sessionPosition: lastCommit })),
      ).toEqual(lastCommit);
    });

    it('ranks a higher term above a higher position of a lower term', () => {
      const route = createRoute({ consistency: 'session' });
      const lastCommit = createPosition(2, 10);
      expect(
        resolveRequiredPosition(createRequirements({ route, sessionPosition: lastCommit })),
      ).toEqual(lastCommit);
    });
  });

  describe('chosen member', () => {
    const primary = createMember('p', { isPrimary: true, distance: 2 });

    it('is the nearest replica', () => {
      const placement = chooseReadMember(
        [primary, createMember('near')],
        createRequirements(),
        NOW,
      );
      expect(placement).toEqual({ member: 'near', waitFor: createPosition(1, 50) });
    });

    it('is the primary, with no position to wait for, if the required position is unknown', () => {
      const requirements = createRequirements({ stalenessPosition: undefined });
      const placement = chooseReadMember([primary, createMember('near')], requirements, NOW);
      expect(placement).toEqual({ member: 'p', waitFor: undefined });
    });

    it('is undefined if only replicas are left and the required position is unknown', () => {
      const requirements = createRequirements({ stalenessPosition: undefined });
      expect(chooseReadMember([createMember('near')], requirements, NOW)).toBeUndefined();
    });

    it('is another member while the nearest replica is known to lag', () => {
      const near = createMember('near', {
        laggingUntil: toMilliseconds(2100),
        reportedPosition: createPosition(1, 40),
      });
      expect(chooseReadMember([primary, near], createRequirements(), NOW)?.member).toBe('p');
    });

    it('is a farther replica if the nearest one has a long queue', () => {
      const near = createMember('near', { pending: 9 });
      const far = createMember('far', { distance: 2 });
      expect(chooseReadMember([near, far], createRequirements(), NOW)?.member).toBe('far');
    });

    it('is a draining member only if no other is left', () => {
      const draining = createMember('draining', { isDraining: true });
      const busy = createMember('busy', { pending: 20 });
      expect(chooseReadMember([draining, busy], createRequirements(), NOW)?.member).toBe('busy');
      expect(chooseReadMember([draining], createRequirements(), NOW)?.member).toBe('draining');
    });
  });
});

describe('ConfirmationTracker', () => {
  const limits = {
    maxKeyedAgeMs: toMilliseconds(4000),
    maxPrimaryAgeMs: toMilliseconds(2800),
    maxReadyAgeMs: toMilliseconds(2600),
  };

  it('allows neither keyed requests nor reliance on the primary before the first confirmation', () => {
    const confirmation = new ConfirmationTracker(limits);
    expect(confirmation.mayServeKeyedRequests(NOW)).toBe(false);
    expect(confirmation.mayTrustPrimary(NOW)).toBe(false);
  });

  it('counts the age of a confirmation from the time when its request was sent', () => {
    const confirmation = new ConfirmationTracker(limits);
    confirmation.confirm(toMilliseconds(1000));
    expect(confirmation.mayTrustPrimary(toMilliseconds(3799))).toBe(true);
    expect(confirmation.mayTrustPrimary(toMilliseconds(3800))).toBe(false);
    expect(confirmation.mayServeKeyedRequests(toMilliseconds(4999))).toBe(true);
    expect(confirmation.mayServeKeyedRequests(toMilliseconds(5000))).toBe(false);
  });

  it('ignores a confirmation that is older than the last', () => {
    const confirmation = new ConfirmationTracker(limits);
    confirmation.confirm(toMilliseconds(1000));
    confirmation.confirm(toMilliseconds(500));
    expect(confirmation.resolveAge(toMilliseconds(1500))).toBe(500);
  });
});

describe('SuspensionDetector', () => {
  it('counts a forward jump of the time of day as a suspension, even if the uptime shows none', () => {
    const detector = new SuspensionDetector({ monotonicMs: 0, timeOfDayMs: 10_000 }, () => 0);
    expect(detector.observe({ monotonicMs: 100, timeOfDayMs: 10_110 })).toBe(0);
    expect(detector.observe({ monotonicMs: 200, timeOfDayMs: 14_200 })).toBe(4000);
  });

  it('does not subtract a counted suspension when the time of day steps back', () => {
    let uptime = 0;
    const detector = new SuspensionDetector({ monotonicMs: 0, timeOfDayMs: 0 }, () => uptime);
    uptime = 4100;
    detector.observe({ monotonicMs: 100, timeOfDayMs: 4100 });
    uptime = 4200;
    expect(detector.observe({ monotonicMs: 200, timeOfDayMs: 2200 })).toBe(4000);
  });

  it('counts a whole suspension of which a backward step of the time of day hides a part', () => {
    let uptime = 0;
    const detector = new SuspensionDetector({ monotonicMs: 0, timeOfDayMs: 0 }, () => uptime);
    uptime = 4100;
    expect(detector.observe({ monotonicMs: 100, timeOfDayMs: 2100 })).toBe(4000);
  });
});

describe('WaitEstimator', () => {
  it('estimates no wait for a queue that has not moved yet', () => {
    expect(new WaitEstimator().estimateWait(5, NOW)).toBe(0);
  });

  it('multiplies the mean dequeue interval by the queue length', () => {
    const estimator = new WaitEstimator();
    for (let at = 0; at <= 500; at += 50) estimator.recordDequeue(toMilliseconds(at), true);
    expect(estimator.estimateWait(4, toMilliseconds(500))).toBe(200);
  });

  it('raises the estimate while the queue is stalled', () => {
    const estimator = new WaitEstimator();
    for (let at = 0; at <= 500; at += 50) estimator.recordDequeue(toMilliseconds(at), true);
    expect(estimator.estimateWait(1, toMilliseconds(1100))).toBe(600);
  });

  /**
   * Guards against overload in which a queue serves every request too late: if the replicas lag, the
   * primary gets twice the reads that it can run, and waits in a queue of 64 grow to the timeout.
   * With refusal on arrival, the requests that are served are in time.
   */
  describe('under twice the load that a member can run', () => {
    const OBJECTIVE_MS = 350;
    const TIMEOUT_MS = 800;

    function simulate(refusesEarly: boolean): { inTime: number; served: number } {
      const estimator = new WaitEstimator();
      const queue: number[] = [];
      let inTime = 0;
      let served = 0;
      for (let now = 0; now < 20_000; now += 10) {
        const at = toMilliseconds(now);
        const isWaitTooLong = estimator.estimateWait(queue.length, at) > OBJECTIVE_MS;
        if (!(refusesEarly && isWaitTooLong) && queue.length < 64) queue.push(now);
        while (queue[0] !== undefined && now - queue[0] >= TIMEOUT_MS) queue.shift();
        if (now % 20 !== 0 || queue.length === 0) continue;
        const arrivedAt = queue.shift() as number;
        estimator.recordDequeue(at, queue.length > 0);
        served += 1;
        if (now - arrivedAt <= OBJECTIVE_MS + 50) inTime += 1;
      }
      return { inTime, served };
    }

    it('lets nearly all served requests finish in time, but only few without early refusal', () => {
      const withoutRefusal = simulate(false);
      const withRefusal = simulate(true);
      expect(withoutRefusal.inTime / withoutRefusal.served).toBeLessThan(0.1);
      expect(withRefusal.inTime / withRefusal.served).toBeGreaterThan(0.95);
      expect(withRefusal.served).toBeGreaterThan(withoutRefusal.served * 0.95);
    });
  });
});

describe('samples of the log of a primary', () => {
  const at = toMilliseconds;
  const maxAge = toMilliseconds(1500);

  function createHistory(...takenAt: number[]): LogSampleHistory {
    const history = new LogSampleHistory();
    for (const time of takenAt) {
      history.add({ logPosition: createPosition(1, time), takenAt: at(time) });
    }
    return history;
  }

  it('give the earliest position within the maximum age', () => {
    const history = createHistory(100, 400, 700, 1000);
    expect(history.findEarliestPosition(at(1700), maxAge)).toEqual(createPosition(1, 400));
  });

  it('give no position if the newest sample is too old', () => {
    const history = createHistory(1000);
    expect(history.findEarliestPosition(at(2449), maxAge)).toEqual(createPosition(1, 1000));
    expect(history.findEarliestPosition(at(2450), maxAge)).toBeUndefined();
  });

  it('are left out if not newer than the last one, or too close to another', () => {
    const history = createHistory(1000, 900, 1010, 1020, 1060);
    expect(history.newest?.takenAt).toBe(1060);
    expect(history.findEarliestPosition(at(2000), maxAge)).toEqual(createPosition(1, 1000));
  });

  /**
   * Guards against sending every read to the primary when replicas lag far more than usual, but less
   * than the maximum age: 740 ms, 93 times the usual lag in the load pattern of cv-ceras.
   */
  it('let lagging replicas serve reads that the newest sample would send to the primary', () => {
    const lagMs = 740;
    const history = new LogSampleHistory();
    let served = 0;
    let servedByNewest = 0;
    const reads = 200;
    for (let number = 0; number < reads; number += 1) {
      const now = 5000 + number * 20;
      history.add({ logPosition: createPosition(1, now), takenAt: at(now) });
      const appliedPosition = createPosition(1, now - lagMs);
      const position = history.findEarliestPosition(at(now), maxAge);
      if (
        now > 5000 + 1500 &&
        position !== undefined &&
        comparePositions(appliedPosition, position) >= 0
      ) {
        served += 1;
      }
      const newest = history.newest?.logPosition;
      if (newest !== undefined && comparePositions(appliedPosition, newest) >= 0) {
        servedByNewest += 1;
      }
    }
    expect(servedByNewest).toBe(0);
    expect(served).toBeGreaterThan(reads * 0.6);
  });

  it('never miss a commit older than the maximum age', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 400 }), { minLength: 1, maxLength: 60 }),
        fc.integer({ min: 0, max: 3000 }),
        (gaps, wait) => {
          // Position n is acknowledged at time n; a sample taken at n includes everything before.
          let now = 0;
          const history = new LogSampleHistory();
          for (const gap of gaps) {
            now += gap;
            history.add({ logPosition: createPosition(1, now), takenAt: at(now) });
          }
          const position = history.findEarliestPosition(at(now + wait), maxAge);
          return position === undefined || position.position > now + wait - maxAge;
        },
      ),
    );
  });
});

describe('failure ratio of a member', () => {
  const at = toMilliseconds;

  it('is 0 until enough outcomes are recorded', () => {
    const tracker = new FailureRatioTracker();
    tracker.recordOutcome(false, at(0));
    expect(tracker.computeFailureRatio(at(0))).toBe(0);
    tracker.recordOutcome(false, at(0));
    expect(tracker.computeFailureRatio(at(0))).toBe(1);
  });

  it('decays, so that the member is tried again', () => {
    const tracker = new FailureRatioTracker();
    for (let count = 0; count < 4; count += 1) tracker.recordOutcome(false, at(0));
    expect(tracker.computeFailureRatio(at(3000))).toBe(1);
    expect(tracker.computeFailureRatio(at(5000))).toBe(0);
  });

  /**
   * Guards against sending reads to a member that fails a part of them: the nearest of three
   * members fails 45 % of its reads for 6.5 s.
   */
  it('moves reads to other members, while distance alone would keep them at the failing one', () => {
    const simulate = (usesOutcomes: boolean): number => {
      const tracker = new FailureRatioTracker();
      let failed = 0;
      for (let number = 0; number < 130; number += 1) {
        const now = at(number * 50);
        const ratio = usesOutcomes ? tracker.computeFailureRatio(now) : 0;
        const members = [
          createMember('failing', { failureRatio: ratio }),
          createMember('far', { distance: 2 }),
          createMember('primary', { distance: 2, isPrimary: true }),
        ];
        if (chooseReadMember(members, createRequirements(), now)?.member !== 'failing') continue;
        const isSuccess = (number * 7) % 20 >= 9;
        tracker.recordOutcome(isSuccess, now);
        if (!isSuccess) failed += 1;
      }
      return failed;
    };
    expect(simulate(false)).toBeGreaterThan(50);
    expect(simulate(true)).toBeLessThan(15);
  });
});
