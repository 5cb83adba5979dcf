/** Baselines: a fixed even split, a compare-and-swap per request, and the atomic leaky bucket. */
import type { FakeNetwork, NodeName } from '../faults/fake-network.js';
import type { AdmissionStrategy, ExperimentOrganisation } from './admission-strategy.js';
import type { FakeStore } from './fake-store.js';

/** Longest wait for the store, in milliseconds. */
const PATIENCE_MS = 250;
const MOST_SWAPS = 8;

/** Every instance has the same fixed part. */
export class EvenSplitStrategy implements AdmissionStrategy {
  readonly platformCalls = 0;

  private readonly buckets = new Map<string, { level: number; at: number }>();

  constructor(
    private readonly network: FakeNetwork,
    private readonly instanceCount: number,
  ) {}

  start(): void {}

  request(
    instance: number,
    organisation: ExperimentOrganisation,
    settle: (isAdmitted: boolean) => void,
  ): void {
    const now = this.network.queue.now();
    const key = `${instance}/${organisation.id}`;
    const burst = organisation.burst / this.instanceCount;
    const ratePerMs = organisation.ratePerSecond / 1000 / this.instanceCount;
    const bucket = this.buckets.get(key) ?? { level: burst, at: now };
    bucket.level = Math.min(burst, bucket.level + (now - bucket.at) * ratePerMs);
    bucket.at = now;
    this.buckets.set(key, bucket);
    const isAdmitted = bucket.level >= 1;
    if (isAdmitted) bucket.level -= 1;
    settle(isAdmitted);
  }
}

/** A token bucket kept in the store. */
export interface StoredBucket {
  readonly level: number;
  readonly at: number;
}

/** Settles once: with the strategy's word, or with a refusal when the wait is over. */
function createSettlement(
  network: FakeNetwork,
  settle: (isAdmitted: boolean) => void,
): { settle: (isAdmitted: boolean) => boolean; isOver: () => boolean } {
  let isOver = false;
  const once = (isAdmitted: boolean): boolean => {
    if (isOver) return false;
    isOver = true;
    settle(isAdmitted);
    return true;
  };
  network.queue.schedule(PATIENCE_MS, () => once(false));
  return { settle: once, isOver: () => isOver };
}

/** Reads the bucket and swaps it, for every request. */
export class SwapStrategy implements AdmissionStrategy {
  constructor(
    private readonly network: FakeNetwork,
    private readonly instances: readonly NodeName[],
    private readonly store: FakeStore<StoredBucket>,
  ) {}

  start(): void {}

  get platformCalls(): number {
    return this.store.calls;
  }

  request(
    instance: number,
    organisation: ExperimentOrganisation,
    settle: (isAdmitted: boolean) => void,
  ): void {
    const settlement = createSettlement(this.network, settle);
    this.attempt(this.instances[instance] ?? '', organisation, settlement, MOST_SWAPS);
  }

  private attempt(
    from: NodeName,
    organisation: ExperimentOrganisation,
    settlement: ReturnType<typeof createSettlement>,
    left: number,
  ): void {
    if (left === 0) settlement.settle(false);
    if (left === 0 || settlement.isOver()) return;
    const { ratePerSecond, burst } = organisation;
    this.store.read(from, organisation.id, ({ value, version }) => {
      const now = this.network.queue.now();
      const known = value ?? { level: burst, at: now };
      const level = Math.min(burst, known.level + ((now - known.at) * ratePerSecond) / 1000);
      if (level < 1) {
        settlement.settle(false);
        return;
      }
      const next = { level: level - 1, at: now };
      this.store.swap(from, organisation.id, version, next, (isDone) => {
        if (isDone) settlement.settle(true);
        else this.attempt(from, organisation, settlement, left - 1);
      });
    });
  }
}

/** Counter and timestamp of the atomic leaky bucket. */
export interface DripBucket {
  readonly counter: number;
  readonly timestamp: number;
}

/** Milliseconds after which the counter is lowered. */
const DRIP_MS = 100;

/** The related paper's bucket: read, drip with an optimistic check, then count the request. */
export class DripStrategy implements AdmissionStrategy {
  constructor(
    private readonly network: FakeNetwork,
    private readonly instances: readonly NodeName[],
    private readonly store: FakeStore<DripBucket>,
  ) {}

  start(): void {}

  get platformCalls(): number {
    return this.store.calls;
  }

  request(
    instance: number,
    organisation: ExperimentOrganisation,
    settle: (isAdmitted: boolean) => void,
  ): void {
    const from = this.instances[instance] ?? '';
    const settlement = createSettlement(this.network, settle);
    this.store.read(from, organisation.id, ({ value }) => {
      const bucket = value ?? { counter: 0, timestamp: 0 };
      const dripSize = (organisation.ratePerSecond * DRIP_MS) / 1000;
      const elapsed = this.network.queue.now() - bucket.timestamp;
      const drips = Math.floor(elapsed / DRIP_MS);
      const lower = Math.min(drips * dripSize, bucket.counter);
      if (lower > 0) this.drip(from, organisation, settlement, bucket, lower, drips * DRIP_MS);
      else this.check(from, organisation, settlement, bucket);
    });
  }

  private drip(
    from: NodeName,
    organisation: ExperimentOrganisation,
    settlement: ReturnType<typeof createSettlement>,
    bucket: DripBucket,
    lower: number,
    byMs: number,
  ): void {
    let canary = 0;
    const change = (value: DripBucket | undefined): DripBucket => {
      canary = value?.timestamp ?? 0;
      const counter = (value?.counter ?? 0) - lower;
      return { counter, timestamp: canary + byMs };
    };
    this.store.update(from, organisation.id, change, (value) => {
      if (canary === bucket.timestamp) {
        this.check(from, organisation, settlement, value);
        return;
      }
      const undo = (known: DripBucket | undefined): DripBucket => ({
        counter: (known?.counter ?? 0) + lower,
        timestamp: (known?.timestamp ?? 0) - byMs,
      });
      this.store.update(from, organisation.id, undo, (undone) =>
        this.check(from, organisation, settlement, undone),
      );
    });
  }

  private check(
    from: NodeName,
    organisation: ExperimentOrganisation,
    settlement: ReturnType<typeof createSettlement>,
    bucket: DripBucket,
  ): void {
    if (bucket.counter >= organisation.burst) {
      settlement.settle(false);
      return;
    }
    const now = this.network.queue.now();
    const count = (value: DripBucket | undefined): DripBucket => ({
      counter: (value?.counter ?? 0) + 1,
      timestamp: value?.timestamp === undefined || value.timestamp === 0 ? now : value.timestamp,
    });
    this.store.update(from, organisation.id, count, () => settlement.settle(true));
  }
}
