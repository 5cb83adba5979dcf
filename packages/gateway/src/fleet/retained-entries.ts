import type { Milliseconds } from '@heatherledge/core';

/**
 * Entries of the store, some of which are retained for a while after the store has lost them: what
 * they describe may still be there, and writes its entry again.
 */
export class RetainedEntries<Id extends string, Entry> {
  readonly entries = new Map<Id, Entry>();

  private readonly missing = new Set<Id>();

  private retainedUntil: Milliseconds | undefined;

  /** Retains entries that are found missing until the given time. */
  retainUntil(until: Milliseconds): void {
    this.retainedUntil = until;
  }

  /** Whether missing entries are retained now. */
  get isRetaining(): boolean {
    return this.retainedUntil !== undefined;
  }

  /** Whether the store lacks an entry that is retained. */
  isMissing(id: Id): boolean {
    return this.missing.has(id);
  }

  put(id: Id, entry: Entry): void {
    this.entries.set(id, entry);
    this.missing.delete(id);
  }

  /** Handles an entry that the store lacks: it is retained if entries are retained now. */
  markMissing(id: Id): void {
    if (this.isRetaining) this.missing.add(id);
    else this.remove(id);
  }

  /** @returns whether there was such an entry */
  remove(id: Id): boolean {
    this.missing.delete(id);
    return this.entries.delete(id);
  }

  /**
   * Removes the entries that are still missing once they are no longer retained.
   *
   * @returns the removed ids
   */
  removeMissing(now: Milliseconds): Id[] {
    if (this.retainedUntil === undefined || now < this.retainedUntil) return [];
    this.retainedUntil = undefined;
    const removed = [...this.missing];
    for (const id of removed) this.remove(id);
    return removed;
  }
}
