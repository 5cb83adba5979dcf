/** The stand-in platform's store: etcd's data model, without any I/O. */

/** A key with its value and its place in history. */
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

/** A condition of a transaction: the key's revision must be this; 0 means that it must not exist. */
export interface StoreCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** One operation of a transaction. */
export type StoreOperation =
  | { readonly kind: 'put'; readonly key: string; readonly value: string }
  | { readonly kind: 'delete'; readonly key: string }
  | { readonly kind: 'range'; readonly key: string; readonly rangeEnd?: string };

/** What a transaction came to. */
export interface StoreOutcome {
  readonly succeeded: boolean;
  readonly revision: number;
  readonly ranges: readonly (readonly StoredKey[])[];
}

/** Largest value that the platform holds. */
export const VALUE_LIMIT_BYTES = 1024 * 1024;

/** Keys, revisions and history. */
export class KeyValueStore {
  private readonly keys = new Map<string, StoredKey>();

  private readonly history: StoreEvent[] = [];

  private current = 1;

  private readonly listeners = new Set<(events: readonly StoreEvent[]) => void>();

  /** @returns revision of the newest change */
  get revision(): number {
    return this.current;
  }

  /**
   * @param key - first key
   * @param rangeEnd - key after the last; only `key` if left out
   * @returns the keys in order
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
   * Makes several changes at once if all conditions hold.
   *
   * @param compares - conditions
   * @param success - operations if they hold
   * @param failure - operations if they do not
   * @returns what came of it
   */
  transact(
    compares: readonly StoreCompare[],
    success: readonly StoreOperation[],
    failure: readonly StoreOperation[],
  ): StoreOutcome {
    const succeeded = compares.every(
      ({ key, modRevision }) => (this.keys.get(key)?.modRevision ?? 0) === modRevision,
    );
    const ranges = this.execute(succeeded ? success : failure);
    return { succeeded, revision: this.current, ranges };
  }

  /**
   * @param from - first revision wanted
   * @returns changes from there on
   */
  eventsFrom(from: number): readonly StoreEvent[] {
    return this.history.filter(({ modRevision }) => modRevision >= from);
  }

  /**
   * @param listener - called with the changes of each transaction
   * @returns a function that ends the watch
   */
  watch(listener: (events: readonly StoreEvent[]) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private execute(operations: readonly StoreOperation[]): StoredKey[][] {
    const writes = operations.some(({ kind }) => kind !== 'range');
    if (writes) this.current += 1;
    const events: StoreEvent[] = [];
    const ranges: StoredKey[][] = [];
    for (const operation of operations) {
      if (operation.kind === 'range') ranges.push(this.range(operation.key, operation.rangeEnd));
      else if (operation.kind === 'put') events.push(this.put(operation.key, operation.value));
      else if (this.keys.delete(operation.key)) events.push(this.createDelete(operation.key));
    }
    this.history.push(...events);
    if (events.length > 0) for (const listener of this.listeners) listener(events);
    return ranges;
  }

  private put(key: string, value: string): StoreEvent {
    const known = this.keys.get(key);
    this.keys.set(key, {
      key,
      value,
      createRevision: known?.createRevision ?? this.current,
      modRevision: this.current,
      version: (known?.version ?? 0) + 1,
    });
    return { type: 'PUT', key, value, modRevision: this.current };
  }

  private createDelete(key: string): StoreEvent {
    return { type: 'DELETE', key, value: '', modRevision: this.current };
  }
}
