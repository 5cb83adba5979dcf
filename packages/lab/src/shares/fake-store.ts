/** The platform's store as the experiments see it: values, compare-and-swap, limited capacity. */
import type { FakeNetwork, NodeName } from '../faults/fake-network.js';

/** Name of the store's node. */
export const STORE_NODE = 'store';

/** What the store can do, each a second. */
export interface StoreCapacity {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** A value and its version. */
export interface StoreValue<Value> {
  readonly value: Value | undefined;
  readonly version: number;
}

/** Faults of the store. */
export interface StoreFaults {
  down: boolean;
  loseAnswers: boolean;
  slowMs: number;
}

/** Holds values of one type; each call costs the store time. */
export class FakeStore<Value> {
  readonly faults: StoreFaults = { down: false, loseAnswers: false, slowMs: 0 };

  calls = 0;

  private readonly values = new Map<string, StoreValue<Value>>();

  private busyUntil = 0;

  constructor(
    private readonly network: FakeNetwork,
    private readonly capacity: StoreCapacity,
  ) {}

  /** Reads a value; no answer comes while the store is out. */
  read(from: NodeName, key: string, answer: (value: StoreValue<Value>) => void): void {
    this.serve(from, 'store-read', 1000 / this.capacity.readsPerSecond, () => {
      const value = this.values.get(key) ?? { value: undefined, version: 0 };
      return () => answer(value);
    });
  }

  /** Replaces a value if it still has a version. */
  swap(
    from: NodeName,
    key: string,
    version: number,
    value: Value,
    answer: (isDone: boolean) => void,
  ): void {
    this.serve(from, 'store-write', 1000 / this.capacity.writesPerSecond, () => {
      const known = this.values.get(key)?.version ?? 0;
      const isDone = known === version;
      if (isDone) this.values.set(key, { value, version: version + 1 });
      return () => answer(isDone);
    });
  }

  /** Changes a value by a function, as an atomic increment does. */
  update(
    from: NodeName,
    key: string,
    change: (value: Value | undefined) => Value,
    answer: (value: Value) => void,
  ): void {
    this.serve(from, 'store-write', 1000 / this.capacity.writesPerSecond, () => {
      const known = this.values.get(key) ?? { value: undefined, version: 0 };
      const value = change(known.value);
      this.values.set(key, { value, version: known.version + 1 });
      return () => answer(value);
    });
  }

  private serve(from: NodeName, step: string, costMs: number, run: () => () => void): void {
    const { network, faults } = this;
    this.calls += 1;
    network.send(step, from, STORE_NODE, () => {
      if (faults.down) return;
      const { queue } = network;
      this.busyUntil = Math.max(this.busyUntil, queue.now()) + costMs;
      queue.schedule(this.busyUntil - queue.now() + faults.slowMs, () => {
        const answer = run();
        if (!faults.loseAnswers) network.send(`${step}-answer`, STORE_NODE, from, answer);
      });
    });
  }
}
