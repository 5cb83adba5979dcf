/** A key with its value and revisions, as in etcd's `KeyValue`. */
export interface StoredKey {
  readonly key: string;
  readonly value: string;
  readonly createRevision: number;
  readonly modRevision: number;
  readonly version: number;
}

/** A change of a key. */
export interface StoreEvent {
  readonly type: 'PUT' | 'DELETE';
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A condition of a transaction: the key's mod revision; 0 means that the key does not exist. */
export interface StoreCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** One operation of a transaction. */
export type StoreOperation =
  | { readonly kind: 'put'; readonly key: string; readonly value: string }
  | { readonly kind: 'delete'; readonly key: string }
  | { readonly kind: 'range'; readonly key: string; readonly rangeEnd?: string };

/** Result of a transaction. */
export interface TransactionResult {
  /** Whether all conditions held. */
  readonly succeeded: boolean;
  /** Revision of the store after the transaction. */
  readonly revision: number;
  /** Keys found by the range operations, in their order. */
  readonly ranges: readonly (readonly StoredKey[])[];
}

/** Contents of the store at one moment. */
export interface StoreSnapshot {
  readonly keys: ReadonlyMap<string, StoredKey>;
  readonly revision: number;
}

/** Maximum size of a value. */
export const MAX_VALUE_BYTES = 1024 * 1024;

const CLUSTER_ID_BASE = 14_841_639;

/** The stand-in platform's store: keys, revisions and history as in etcd, without any I/O. */
export class KeyValueStore {
  private keys = new Map<string, StoredKey>();

  private history: StoreEvent[] = [];

  private currentRevision = 1;

  private restoreCount = 0;

  private readonly listeners = new Set<(events: readonly StoreEvent[]) => void>();

  /** @returns the store's revision: that of the last transaction with writes */
  get revision(): number {
    return this.currentRevision;
  }

  /** @returns id of the cluster, which changes when the store is restored from a snapshot */
  get clusterId(): string {
    return String(CLUSTER_ID_BASE + this.restoreCount);
  }

  /** @returns the present contents, for {@link restore} */
  takeSnapshot(): StoreSnapshot {
    return { keys: new Map(this.keys), revision: this.currentRevision };
  }

  /**
   * Returns to earlier contents under another cluster id; later revisions are given out again.
   *
   * @param snapshot - the earlier contents
   */
  restore(snapshot: StoreSnapshot): void {
    this.keys = new Map(snapshot.keys);
    this.history = this.history.filter(({ modRevision }) => modRevision <= snapshot.revision);
    this.currentRevision = snapshot.revision;
    this.restoreCount += 1;
  }

  /**
   * @param key - first key
   * @param rangeEnd - end of the range, exclusive; only `key` is returned if left out
   * @returns the keys in ascending order
   */
  range(key: string, rangeEnd?: string): StoredKey[] {
    if (rangeEnd === undefined) {
      const found = this.keys.get(key);
      return found ? [found] : [];
    }
    return [...this.keys.values()]
      .filter((stored) => stored.key >= key && stored.key < rangeEnd)
      .sort((left, right) => (left.key < right.key ? -1 : 1));
  }

  /**
   * Runs one of two lists of operations atomically.
   *
   * @param compares - conditions
   * @param success - operations if all conditions hold
   * @param failure - operations otherwise
   * @returns the result
   */
  transact(
    compares: readonly StoreCompare[],
    success: readonly StoreOperation[],
    failure: readonly StoreOperation[],
  ): TransactionResult {
    const succeeded = compares.every(
      ({ key, modRevision }) => (this.keys.get(key)?.modRevision ?? 0) === modRevision,
    );
    const ranges = this.execute(succeeded ? success : failure);
    return { succeeded, revision: this.currentRevision, ranges };
  }

  /**
   * @param from - first revision
   * @returns changes from that revision on, oldest first
   */
  getEventsFrom(from: number): readonly StoreEvent[] {
    return this.history.filter(({ modRevision }) => modRevision >= from);
  }

  /**
   * @param listener - called with the changes of each transaction
   * @returns a function that removes the listener
   */
  watch(listener: (events: readonly StoreEvent[]) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private execute(operations: readonly StoreOperation[]): StoredKey[][] {
    const hasWrites = operations.some(({ kind }) => kind !== 'range');
    if (hasWrites) this.currentRevision += 1;
    const events: StoreEvent[] = [];
    const ranges: StoredKey[][] = [];
    for (const operation of operations) {
      if (operation.kind === 'range') ranges.push(this.range(operation.key, operation.rangeEnd));
      else if (operation.kind === 'put') events.push(this.put(operation.key, operation.value));
      else if (this.keys.delete(operation.key)) events.push(this.createDeleteEvent(operation.key));
    }
    this.history.push(...events);
    if (events.length > 0) for (const listener of this.listeners) listener(events);
    return ranges;
  }

  private put(key: string, value: string): StoreEvent {
    const previous = this.keys.get(key);
    this.keys.set(key, {
      key,
      value,
      createRevision: previous?.createRevision ?? this.currentRevision,
      modRevision: this.currentRevision,
      version: (previous?.version ?? 0) + 1,
    });
    return { type: 'PUT', key, value, modRevision: this.currentRevision };
  }

  private createDeleteEvent(key: string): StoreEvent {
    return { type: 'DELETE', key, value: '', modRevision: this.currentRevision };
  }
}
