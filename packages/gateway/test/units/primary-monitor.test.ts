import {
  computeEvacuationWindow,
  type GroupId,
  HolderPresenceTracker,
  type InstanceId,
  ManualClock,
  type MemberEntry,
  type MemberId,
  type Route,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerBody, PeerHub } from '@heatherledge/daemon';
import { err } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type Evacuation,
  type GatewayMetrics,
  formatCoordinator,
  type LeaseId,
  type PrimaryChangeServices,
  PrimaryMonitor,
  type PrimaryRecord,
  type StoreRevision,
  type StoreTransaction,
} from '../../src/index.js';

const GROUP = toBrand<GroupId>('g');
const SELF = toBrand<InstanceId>('self');
const PRIMARY = toBrand<MemberId>('m1');
const REPLICA = toBrand<MemberId>('m2');
const STEP_MS = 100;

function createEntry(id: MemberId, changes: Partial<MemberEntry>): MemberEntry {
  const entry = { id, group: GROUP, host: '127.0.0.1', port: 1, failureDomain: 'a', slots: 1 };
  return { ...entry, role: 'replica', isDraining: false, incarnation: 1, ...changes };
}

describe('PrimaryMonitor', () => {
  let clock: ManualClock;
  let members: Map<MemberId, MemberEntry>;
  let isCoordinator: boolean;
  /** Instance that holds the coordinator's role, as recorded. */
  let coordinator: string;
  let isSilent: boolean;
  /** Whether the replica has received all that the primary holds. */
  let hasCaughtUp: boolean;
  /** Replicas that have not, in any case. */
  let lagging: Set<MemberId>;
  /** Whether the primary responds to commands. */
  let isPrimaryUp: boolean;
  let sent: { to: InstanceId; body: PeerBody }[];
  let attempts: number;
  /** Records that the coordinator tried to write. */
  let written: PrimaryRecord[];
  let routes: Map<string, Pick<Route, 'group' | 'allowedRegions'>>;
  let evacuatedDomains: Map<string, Evacuation>;
  let monitor: PrimaryMonitor;

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock(100_000);
    isCoordinator = false;
    isSilent = false;
    hasCaughtUp = false;
    lagging = new Set();
    isPrimaryUp = true;
    coordinator = 'other/7';
    sent = [];
    attempts = 0;
    written = [];
    routes = new Map();
    evacuatedDomains = new Map();
    members = new Map([
      [PRIMARY, createEntry(PRIMARY, { role: 'primary' })],
      [REPLICA, createEntry(REPLICA, {})],
    ]);
    const record = { epoch: 1, member: PRIMARY, holders: ['m1/1', 'm2/1'] };
    const hub = {
      handle() {},
      send: (to: InstanceId, body: PeerBody) => sent.push({ to, body }),
    } as unknown as PeerHub;
    const services = {
      self: SELF,
      clock,
      hub,
      view: {
        settings: { groups: new Map([[GROUP, { id: GROUP }]]), routesByDatabase: routes },
        era: 1,
        get coordinator() {
          return { value: { instance: coordinator } };
        },
        primaries: new Map([[GROUP, { value: record, revision: 1, createdRevision: 1 }]]),
        members,
        get evacuatedDomains() {
          return evacuatedDomains;
        },
        listMembers: () => [...members.values()],
      },
      lease: {
        get isHeld() {
          return isCoordinator;
        },
      },
      control: {
        sendCommand: async ({ id }: MemberEntry) => {
          if (id === PRIMARY && !isPrimaryUp) return undefined;
          const isCurrent = id === PRIMARY || (hasCaughtUp && !lagging.has(id));
          return {
            role: id === PRIMARY ? 'primary' : 'replica',
            received: { term: 1, position: isCurrent ? 9 : 5 },
          };
        },
      },
      store: {
        commit: async ({ puts }: StoreTransaction) => {
          const record = JSON.parse(`${puts[0]?.value.toString()}`) as PrimaryRecord;
          written.push(record);
          // The record of a change names no primary.
          if (record.member === undefined) attempts += 1;
          return err({ kind: 'unavailable', reason: 'busy' });
        },
      },
      log: { info() {}, warn() {} },
      memberRegistry: {
        primaryTracker: {
          find: () => PRIMARY,
          isSuspended: () => false,
          findSuspendedEpoch: () => 0,
        },
        warmups: { isCold: () => false },
        findPool: () => ({ computeSilenceMs: () => (isSilent ? 1000 : 0), avoidUntil: 0 }),
      },
      holderPresence: new HolderPresenceTracker(),
      regionByDomain: new Map([
        ['a', 'south'],
        ['b', 'north'],
      ]),
    } as unknown as PrimaryChangeServices;
    const metrics = { primaryChanges: { inc() {} } } as unknown as GatewayMetrics;
    monitor = new PrimaryMonitor(services, hub, metrics);
    monitor.start();
  });

  afterEach(() => {
    monitor.stop();
    vi.useRealTimers();
  });

  async function advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(STEP_MS);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  it.each(['other', 'rack 1/other', 'a/b/c'])(
    'reports a primary that does not respond to the coordinator %j',
    async (name) => {
      const id = toBrand<InstanceId>(name);
      coordinator = formatCoordinator(id, toBrand<LeaseId>('7/8'));
      isSilent = true;
      await advance(STEP_MS);
      expect(sent).toEqual([
        { to: id, body: { kind: 'primary.suspect', group: GROUP, member: PRIMARY } },
      ]);
    },
  );

  describe('while the domain of the primary is evacuated', () => {
    function evacuate(...domains: string[]): void {
      const learnedAt = clock.now();
      const window = computeEvacuationWindow(learnedAt, learnedAt, toMilliseconds(5000));
      const evacuation = { revision: toBrand<StoreRevision>(1), learnedAt, window };
      evacuatedDomains = new Map(domains.map((domain) => [domain, evacuation]));
    }

    beforeEach(() => {
      isCoordinator = true;
      hasCaughtUp = true;
      members.set(REPLICA, createEntry(REPLICA, { failureDomain: 'b' }));
    });

    // Guards against a domain whose primary stays, and against no time for open transactions.
    it('replaces it soon by a caught-up member outside', async () => {
      evacuate('a');
      await advance(400);
      expect(attempts).toBe(0);
      await advance(300);
      expect(attempts).toBeGreaterThan(0);
    });

    // Guards against a switchover that leaves the group without a primary.
    it.each<[string, string[], Partial<MemberEntry>]>([
      ['is in an evacuated domain too', ['a', 'b'], { failureDomain: 'b' }],
      ['is in the same domain', ['a'], {}],
      ['drains', ['a'], { failureDomain: 'b', isDraining: true }],
    ])('does not replace it if the only other member %s', async (_, domains, changes) => {
      members.set(REPLICA, createEntry(REPLICA, changes));
      evacuate(...domains);
      await advance(10_000);
      expect(attempts).toBe(0);
    });

    // Guards against a primary that has stepped down before any member outside holds its log.
    it('waits until the member outside has caught up', async () => {
      hasCaughtUp = false;
      evacuate('a');
      await advance(10_000);
      expect(attempts).toBe(0);
      hasCaughtUp = true;
      await advance(200);
      expect(attempts).toBeGreaterThan(0);
    });

    // Guards against a crash that nobody notices, as no statements are sent to the primary any more.
    it('replaces it if it does not respond for 4 s', async () => {
      isPrimaryUp = false;
      evacuate('a');
      await advance(4000);
      expect(attempts).toBe(0);
      await advance(800);
      expect(attempts).toBeGreaterThan(0);
    });

    // Guards against a switchover that no request asks for any more.
    it('does not replace it if the request is withdrawn before that', async () => {
      evacuate('a');
      await advance(400);
      evacuatedDomains = new Map();
      await advance(2000);
      expect(attempts).toBe(0);
    });
  });

  // Guards against other coordinators that do not learn of the switchover and repeat it after 2 s.
  it.each([
    ['to a region that more routes allow', true],
    ['for another reason', undefined],
  ])('records whether the primary moves %s', async (_, isRegionMove) => {
    isCoordinator = true;
    hasCaughtUp = true;
    members.set(REPLICA, createEntry(REPLICA, { failureDomain: 'b' }));
    if (isRegionMove === undefined) {
      members.set(PRIMARY, createEntry(PRIMARY, { role: 'primary', isDraining: true }));
    } else {
      routes.set('d', { group: GROUP, allowedRegions: new Set(['north']) });
    }
    await advance(2500);
    const starts = written.filter(({ member }) => member === undefined);
    expect(starts[0]).toMatchObject({ previous: PRIMARY });
    expect(starts[0]?.isRegionMove).toBe(isRegionMove);
  });

  describe('while the primary drains', () => {
    beforeEach(() => {
      isCoordinator = true;
      members.set(PRIMARY, createEntry(PRIMARY, { role: 'primary', isDraining: true }));
    });

    // Guards against a primary in a domain to which nothing is sent while another replica is about to catch up.
    it('waits for a replica outside the evacuated domains', async () => {
      const window = computeEvacuationWindow(clock.now(), undefined, toMilliseconds(5000));
      const evacuation = { revision: toBrand<StoreRevision>(1), learnedAt: clock.now(), window };
      const outside = toBrand<MemberId>('m3');
      members.set(REPLICA, createEntry(REPLICA, { failureDomain: 'b' }));
      members.set(outside, createEntry(outside, { failureDomain: 'c' }));
      evacuatedDomains = new Map([['b', evacuation]]);
      hasCaughtUp = true;
      lagging.add(outside);
      await advance(3000);
      expect(attempts).toBe(0);
      lagging.clear();
      await advance(200);
      expect(attempts).toBeGreaterThan(0);
    });

    it('waits for a replica to catch up, but not for long', async () => {
      await advance(3500);
      expect(attempts).toBe(0);
      await advance(1000);
      expect(attempts).toBeGreaterThan(0);
    });

    /** Load pattern: a rolling restart, in which members drain one after another, more than once. */
    it.each<[string, Partial<MemberEntry>]>([
      ['started again under its id', { incarnation: 2 }],
      ['stopped draining', {}],
    ])('waits as long if it drained before and then %s', async (_, changes) => {
      await advance(1000);
      members.set(PRIMARY, createEntry(PRIMARY, { role: 'primary', ...changes }));
      await advance(60_000);
      const before = attempts;
      members.set(PRIMARY, createEntry(PRIMARY, { ...changes, role: 'primary', isDraining: true }));
      await advance(1000);
      expect(attempts).toBe(before);
    });
  });
});
