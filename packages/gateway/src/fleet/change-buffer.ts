import { MAX_PEER_FRAME_BYTES } from '@heatherledge/daemon';
import type { StoreChanges, StoreEvent, StoreRevision } from '../ports/control-store.js';

/** A burst of settings changes brings 10 batches a second. */
const MAX_BATCHES = 200;
/** All changes together fit into one message between instances, with what frames them. */
const MAX_BYTES = MAX_PEER_FRAME_BYTES / 2;
/** Allowance for what an event takes beside its key and value. */
const EVENT_OVERHEAD_BYTES = 64;

interface Batch {
  /** The revision that the changes follow. */
  readonly after: StoreRevision;
  readonly revision: StoreRevision;
  readonly events: readonly StoreEvent[];
  readonly bytes: number;
}

/** Buffers the latest changes of the store for subscribers that lag; bounded in number and size. */
export class ChangeBuffer {
  private batches: Batch[] = [];

  private bytes = 0;

  /** The revision after which all changes are buffered, or undefined if none is. */
  get start(): StoreRevision | undefined {
    return this.batches[0]?.after;
  }

  clear(): void {
    this.batches = [];
    this.bytes = 0;
  }

  /**
   * Adds changes, and drops the oldest ones beyond the limits.
   *
   * @param after - the revision that the changes follow
   * @param changes - the changes
   */
  add(after: StoreRevision, { events, revision }: StoreChanges): void {
    const bytes = events.map(computeBytes).reduce((sum, size) => sum + size, 0);
    this.batches.push({ after, revision, events, bytes });
    this.bytes += bytes;
    while (this.batches.length > MAX_BATCHES || this.bytes > MAX_BYTES) {
      this.bytes -= this.batches.shift()?.bytes ?? 0;
    }
  }

  /** @returns the buffered changes after a revision, in order */
  listAfter(revision: StoreRevision): StoreEvent[] {
    return this.batches
      .filter((batch) => batch.revision > revision)
      .flatMap(({ events }) => [...events]);
  }
}

function computeBytes(event: StoreEvent): number {
  const { key, value } = event.kind === 'written' ? event.item : { key: event.key, value: '' };
  return EVENT_OVERHEAD_BYTES + key.length + value.length;
}
