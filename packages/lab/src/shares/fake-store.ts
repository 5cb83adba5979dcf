import type { FakeNetwork, NodeName } from '../faults/fake-network.js';

/** Node name of the store. */
export const STORE_NODE = 'store';

/** Maximum rates of the store; a call occupies it for the reciprocal of its rate. */
export interface StoreCapacity {
  readonly writesPerSecond: number;
  readonly readsPerSecond: number;
}

/** A value and its version; a key without a value has version 0. */
export interface StoreValue<Value> {
  readonly value: Value | undefined;
  readonly version: number;
}

/** Faults of the store, set by fault injection. */
export interface StoreFaults {
  /** Whether calls are dropped without running. */
  down: boolean;
  /** Whether calls run, but their responses are dropped. */
  loseAnswers: boolean;
  /** Additional delay of each call. */
  slowMs: number;
}

/**
 * The platform's store in experiments: versioned values of one type with compare-and-swap. Calls run
 * one at a time, and each one occupies the store for a time that depends on its capacity. A call
 * that a fault affects gets no response.
 */
export class FakeStore<Value> {
  readonly faults: StoreFaults = { down: false, loseAnswers: false, slowMs: 0 };

  /** Number of calls sent to the store, including lost ones. */
  callCount = 0;

  private readonly values = new Map<string, StoreValue<Value>>();

  private busyUntil = 0;

  constructor(
    private readonly network: FakeNetwork,
    private readonly capacity: StoreCapacity,
  ) {}

  /** Reads a value with its version. */
  read(from: NodeName, key: string, onResponse: (value: StoreValue<Value>) => void): void {
    this.call(from, 'store-read', 1000 / this.capacity.readsPerSecond, () => {
      const value = this.values.get(key) ?? { value: undefined, version: 0 };
      return () => onResponse(value);
    });
  }

  /** Replaces a value if its version is still the expected one. */
  compareAndSwap(
    from: NodeName,
    key: string,
    expectedVersion: number,
    value: Value,
    onResponse: (isReplaced: boolean) => void,
  ): void {
    this.call(from, 'store-write', 1000 / this.capacity.writesPerSecond, () => {
      const currentVersion = this.values.get(key)?.version ?? 0;
      const isReplaced = currentVersion === expectedVersion;
      if (isReplaced) this.values.set(key, { value, version: expectedVersion + 1 });
      return () => onResponse(isReplaced);
    });
  }

  /** Replaces a value by a function of it, atomically, as an increment does. */
  update(
    from: NodeName,
    key: string,
    computeNext: (value: Value | undefined) => Value,
    onResponse: (value: Value) => void,
  ): void {
    this.call(from, 'store-write', 1000 / this.capacity.writesPerSecond, () => {
      const current = this.values.get(key) ?? { value: undefined, version: 0 };
      const value = computeNext(current.value);
      this.values.set(key, { value, version: current.version + 1 });
      return () => onResponse(value);
    });
  }

  /**
   * Sends a call to the store, and its response back.
   *
   * @param from - node that sends the call
   * @param step - step of the protocol
   * @param costMs - time for which the call occupies the store
   * @param run - runs the call at the store; returns what the sender does with the response
   */
  private call(from: NodeName, step: string, costMs: number, run: () => () => void): void {
    const { network, faults } = this;
    this.callCount += 1;
    network.send(step, from, STORE_NODE, () => {
      if (faults.down) return;
      const { queue } = network;
      this.busyUntil = Math.max(this.busyUntil, queue.now()) + costMs;
      queue.schedule(this.busyUntil - queue.now() + faults.slowMs, () => {
        const respond = run();
        if (!faults.loseAnswers) network.send(`${step}-answer`, STORE_NODE, from, respond);
      });
    });
  }
}
