import type { FakeNetwork, NodeName } from '../faults/fake-network.js';
import type { AdmissionStrategy, ExperimentOrganisation } from './admission-strategy.js';
import type { FakeStore } from './fake-store.js';

/** Time after which a request is refused if the calls to the store are not done. */
const STORE_TIMEOUT_MS = 250;
const MAX_SWAP_ATTEMPTS = 8;

/** Baseline: every instance has the same fixed share of each rate and burst. */
export class EvenSplitStrategy implements AdmissionStrategy {
  readonly platformCalls = 0;

  /** Bucket of each instance and organisation, by `INSTANCE/ORGANISATION`. */
  private readonly buckets = new Map<string, { tokens: number; refilledAt: number }>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly instanceCount: number,
  ) {}

  start(): void {}

  requestAdmission(
    instance: number,
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void {
    const now = this.network.queue.now();
    const key = `${instance}/${organisation.id}`;
    const burst = organisation.burst / this.instanceCount;
    const ratePerMs = organisation.ratePerSecond / 1000 / this.instanceCount;
    const bucket = this.buckets.get(key) ?? { tokens: burst, refilledAt: now };
    bucket.tokens = Math.min(burst, bucket.tokens + (now - bucket.refilledAt) * ratePerMs);
    bucket.refilledAt = now;
    this.buckets.set(key, bucket);
    const isAdmitted = bucket.tokens >= 1;
    if (isAdmitted) bucket.tokens -= 1;
    onDecision(isAdmitted);
  }
}

/** A token bucket that is kept in the store. */
export interface StoredTokenBucket {
  /** Tokens in the bucket at the time `refilledAt`. */
  readonly tokens: number;
  readonly refilledAt: number;
}

/**
 * Creates a decision that is made once: by the strategy, or as a refusal after
 * {@link STORE_TIMEOUT_MS}.
 *
 * @param network - network whose event queue runs the timeout
 * @param onDecision - called with whether the request is admitted
 * @returns functions to make the decision, and to check whether it has been made
 */
function createDecision(
  network: FakeNetwork,
  onDecision: (isAdmitted: boolean) => void,
): { decide: (isAdmitted: boolean) => boolean; isDecided: () => boolean } {
  let isDecided = false;
  const decideOnce = (isAdmitted: boolean): boolean => {
    if (isDecided) return false;
    isDecided = true;
    onDecision(isAdmitted);
    return true;
  };
  network.queue.schedule(STORE_TIMEOUT_MS, () => decideOnce(false));
  return { decide: decideOnce, isDecided: () => isDecided };
}

/** Baseline: reads the bucket and replaces it by compare-and-swap for every request. */
export class CompareAndSwapStrategy implements AdmissionStrategy {
  constructor(
    private readonly network: FakeNetwork,
    private readonly instances: readonly NodeName[],
    private readonly store: FakeStore<StoredTokenBucket>,
  ) {}

  start(): void {}

  get platformCalls(): number {
    return this.store.callCount;
  }

  requestAdmission(
    instance: number,
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void {
    const decision = createDecision(this.network, onDecision);
    this.attempt(this.instances[instance] ?? '', organisation, decision, MAX_SWAP_ATTEMPTS);
  }

  private attempt(
    from: NodeName,
    organisation: ExperimentOrganisation,
    decision: ReturnType<typeof createDecision>,
    attemptsLeft: number,
  ): void {
    if (attemptsLeft === 0) decision.decide(false);
    if (attemptsLeft === 0 || decision.isDecided()) return;
    const { ratePerSecond, burst } = organisation;
    this.store.read(from, organisation.id, ({ value, version }) => {
      const now = this.network.queue.now();
      const bucket = value ?? { tokens: burst, refilledAt: now };
      const tokens = Math.min(
        burst,
        bucket.tokens + ((now - bucket.refilledAt) * ratePerSecond) / 1000,
      );
      if (tokens < 1) {
        decision.decide(false);
        return;
      }
      const next = { tokens: tokens - 1, refilledAt: now };
      this.store.compareAndSwap(from, organisation.id, version, next, (isReplaced) => {
        if (isReplaced) decision.decide(true);
        else this.attempt(from, organisation, decision, attemptsLeft - 1);
      });
    });
  }
}

/** An atomic leaky bucket that is kept in the store. */
export interface StoredLeakyBucket {
  /** Requests in the bucket. */
  readonly counter: number;
  /** Time up to which the bucket has leaked; 0 before the first request. */
  readonly timestamp: number;
}

/** Interval at which the bucket leaks. */
const LEAK_INTERVAL_MS = 100;

/**
 * Baseline: the atomic leaky bucket of a published paper. For every request it reads the bucket,
 * lowers the counter by what has leaked, takes that back if another instance has lowered it since
 * the read (an optimistic check), and then counts the request.
 */
export class LeakyBucketStrategy implements AdmissionStrategy {
  constructor(
    private readonly network: FakeNetwork,
    private readonly instances: readonly NodeName[],
    private readonly store: FakeStore<StoredLeakyBucket>,
  ) {}

  start(): void {}

  get platformCalls(): number {
    return this.store.callCount;
  }

  requestAdmission(
    instance: number,
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void {
    const from = this.instances[instance] ?? '';
    const decision = createDecision(this.network, onDecision);
    this.store.read(from, organisation.id, ({ value }) => {
      const bucket = value ?? { counter: 0, timestamp: 0 };
      const leakPerTick = (organisation.ratePerSecond * LEAK_INTERVAL_MS) / 1000;
      const elapsedMs = this.network.queue.now() - bucket.timestamp;
      const ticks = Math.floor(elapsedMs / LEAK_INTERVAL_MS);
      const leak = Math.min(ticks * leakPerTick, bucket.counter);
      if (leak > 0) this.leak(from, organisation, decision, bucket, leak, ticks * LEAK_INTERVAL_MS);
      else this.decide(from, organisation, decision, bucket);
    });
  }

  /** Lowers the counter by what has leaked since the bucket was read, then decides. */
  private leak(
    from: NodeName,
    organisation: ExperimentOrganisation,
    decision: ReturnType<typeof createDecision>,
    bucket: StoredLeakyBucket,
    leaked: number,
    leakedMs: number,
  ): void {
    let previousTimestamp = 0;
    const applyLeak = (value: StoredLeakyBucket | undefined): StoredLeakyBucket => {
      previousTimestamp = value?.timestamp ?? 0;
      const counter = (value?.counter ?? 0) - leaked;
      return { counter, timestamp: previousTimestamp + leakedMs };
    };
    this.store.update(from, organisation.id, applyLeak, (value) => {
      if (previousTimestamp === bucket.timestamp) {
        this.decide(from, organisation, decision, value);
        return;
      }
      const revertLeak = (current: StoredLeakyBucket | undefined): StoredLeakyBucket => ({
        counter: (current?.counter ?? 0) + leaked,
        timestamp: (current?.timestamp ?? 0) - leakedMs,
      });
      this.store.update(from, organisation.id, revertLeak, (reverted) =>
        this.decide(from, organisation, decision, reverted),
      );
    });
  }

  /** Refuses the request if the bucket is full; otherwise counts it, then admits it. */
  private decide(
    from: NodeName,
    organisation: ExperimentOrganisation,
    decision: ReturnType<typeof createDecision>,
    bucket: StoredLeakyBucket,
  ): void {
    if (bucket.counter >= organisation.burst) {
      decision.decide(false);
      return;
    }
    const now = this.network.queue.now();
    const countRequest = (value: StoredLeakyBucket | undefined): StoredLeakyBucket => ({
      counter: (value?.counter ?? 0) + 1,
      timestamp: value?.timestamp === undefined || value.timestamp === 0 ? now : value.timestamp,
    });
    this.store.update(from, organisation.id, countRequest, () => decision.decide(true));
  }
}
