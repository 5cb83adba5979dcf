import { type Clock, type InstanceId, type Milliseconds, toBrand } from '@heatherledge/core';
import type { PeerBodyOf, PeerHub } from '@heatherledge/daemon';
import type {
  StoreChanges,
  StoreEra,
  StoreEvent,
  StoreItem,
  StoreRevision,
  StoreSnapshot,
} from '../ports/control-store.js';
import type { SampleExchange } from '../members/sample-exchange.js';
import { ChangeBuffer } from './change-buffer.js';
import type { FleetView } from './fleet-view.js';
import { formatInstanceKey, parseRecordKey } from './records.js';
import type { Expectation } from './view-source.js';

/** The record of a subscriber that has sent no check for this long is no longer checked. */
const SUBSCRIBER_TTL_MS = 10_000;

/** A point in the history of the store. */
interface StorePoint {
  readonly revision: StoreRevision;
  readonly era: StoreEra;
}

interface PendingWatch {
  readonly after: StorePoint;
  readonly resolve: () => void;
}

interface LastCheck {
  readonly era: StoreEra;
  /** A time at which the store held nothing newer. */
  readonly asOf: Milliseconds;
  readonly confirmedRevisions: ReadonlyMap<string, StoreRevision>;
}

/**
 * Serves watches and checks of the instances that use this one as their relay, its subscribers,
 * from memory. If it lacks the changes or a confirmed check, its response says so, and the
 * subscriber turns to the store.
 */
export class RelayServer {
  private readonly buffer = new ChangeBuffer();

  /** Contents of the store, for subscribers that cannot load it themselves. */
  private items = new Map<string, StoreItem>();

  private revision: StoreRevision | undefined;

  private era = 0 as StoreEra;

  private pendingWatches: PendingWatch[] = [];

  private lastCheck: LastCheck | undefined;

  /** When each subscriber last sent a check. */
  private readonly subscribers = new Map<InstanceId, Milliseconds>();

  constructor(
    hub: PeerHub,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly samples: SampleExchange,
  ) {
    hub.handle('store.watch', async (body) => this.handleWatch(body));
    hub.handle('store.list', () => this.handleList());
    hub.handle('store.check', (body, from) => ({
      ...this.handleCheck(body, from),
      ...this.samples.handleRequest(body),
    }));
  }

  /**
   * Restarts at a revision whose contents were loaded as a whole; drops all buffered changes.
   *
   * @param snapshot - the loaded contents
   */
  reset({ items, revision, era }: StoreSnapshot): void {
    this.buffer.clear();
    this.items = new Map(items.map((item) => [item.key, item]));
    this.revision = revision;
    this.era = era;
    this.resolveWatches();
  }

  /**
   * Publishes changes to the subscribers.
   *
   * @param after - revision that the changes follow
   * @param changes - changes received from the store or from another relay
   */
  publish(after: StoreRevision, changes: StoreChanges): void {
    this.revision = changes.revision;
    if (changes.events.length === 0) return;
    for (const event of changes.events) {
      if (event.kind === 'written') this.items.set(event.item.key, event.item);
      else this.items.delete(event.key);
    }
    this.buffer.add(after, changes);
    this.resolveWatches();
  }

  /**
   * Records a check that the store itself has confirmed.
   *
   * @param asOf - time before the check was sent
   * @param era - era in which the expectations held
   * @param expectations - expectations that held
   */
  recordCheck(asOf: Milliseconds, era: StoreEra, expectations: readonly Expectation[]): void {
    this.lastCheck = {
      asOf,
      era,
      confirmedRevisions: new Map(expectations.map(({ key, revision }) => [key, revision])),
    };
  }

  /**
   * Lists the expectations of the subscribers' own records, to be checked along with the relay's.
   */
  listSubscriberExpectations(): Expectation[] {
    const expiredBefore = this.clock.now() - SUBSCRIBER_TTL_MS;
    const expectations: Expectation[] = [];
    for (const [id, lastCheckAt] of this.subscribers) {
      const record = this.view.instances.get(id);
      if (lastCheckAt < expiredBefore) this.subscribers.delete(id);
      else if (record !== undefined && this.view.isRegistered(id)) {
        expectations.push({ key: formatInstanceKey(id), revision: record.revision });
      }
    }
    return expectations;
  }

  private async handleWatch({
    after,
    era,
    waitMs,
  }: PeerBodyOf<'store.watch'>): Promise<PeerBodyOf<'store.changes'>> {
    const since = { revision: after as StoreRevision, era: (era ?? this.era) as StoreEra };
    if (!this.hasChangedAfter(since)) await this.waitAfter(since, waitMs);
    // A subscriber that has seen a later era gets nothing until this instance has loaded it too.
    if (this.era < since.era) {
      return { kind: 'store.changes', changes: { events: [], revision: after, era: this.era } };
    }
    if (this.era > since.era) return { kind: 'store.changes', isLost: true };
    // All changes after this revision are buffered.
    const earliest = this.buffer.start ?? this.revision;
    if (earliest === undefined || earliest > after) return { kind: 'store.changes', isLost: true };
    const events = this.buffer.listAfter(since.revision).map(encodeEvent);
    const revision = Math.max(after, this.revision ?? after);
    return { kind: 'store.changes', changes: { events, revision, era: this.era } };
  }

  private handleList(): PeerBodyOf<'store.listed'> {
    const { items, revision, era } = this;
    if (revision === undefined) return { kind: 'store.listed' };
    const events = [...items.values()].map((item) => encodeEvent({ kind: 'written', item }));
    return { kind: 'store.listed', listing: { events, revision, era } };
  }

  private handleCheck(
    { era: subscriberEra, expectations }: PeerBodyOf<'store.check'>,
    from: InstanceId,
  ): PeerBodyOf<'store.checked'> {
    this.subscribers.set(from, this.clock.now());
    const { era, lastCheck } = this;
    const header = { kind: 'store.checked' as const, era };
    if (subscriberEra !== undefined && subscriberEra < era) {
      return { ...header, outcome: 'conflict' };
    }
    // The same revision may stand for other contents in another era.
    if (lastCheck === undefined || lastCheck.era !== (subscriberEra ?? era)) {
      return { ...header, outcome: 'unknown' };
    }
    const subscriberRevisions = new Map(expectations.map(([key, revision]) => [key, revision]));
    // Subscribers expect only their own instance record, so the others are not compared.
    for (const [key, revision] of lastCheck.confirmedRevisions) {
      const isInstanceRecord = parseRecordKey(key)?.kind === 'instance';
      // A key that the subscriber does not name is one that it does not know to exist.
      if (!isInstanceRecord && (subscriberRevisions.get(key) ?? 0) < revision) {
        return { ...header, outcome: 'conflict' };
      }
    }
    for (const [key, revision] of subscriberRevisions) {
      const confirmedRevision = lastCheck.confirmedRevisions.get(key);
      if (confirmedRevision === undefined) return { ...header, outcome: 'unknown' };
      if (revision < confirmedRevision) return { ...header, outcome: 'conflict' };
    }
    const ageMs = this.clock.now() - lastCheck.asOf;
    return { ...header, outcome: 'held', ageMs };
  }

  /** Whether this instance holds changes after a point; in a later era it always does. */
  private hasChangedAfter({ revision, era }: StorePoint): boolean {
    if (this.revision === undefined || this.era < era) return false;
    return this.era > era || this.revision > revision;
  }

  /** Waits until this instance holds changes after a point, up to `waitMs`. */
  private async waitAfter(after: StorePoint, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(() => {
        this.pendingWatches = this.pendingWatches.filter((other) => other !== watch);
        resolve();
      }, waitMs);
      const watch = {
        after,
        resolve: () => {
          clearTimeout(timer);
          resolve();
        },
      };
      this.pendingWatches.push(watch);
    });
  }

  private resolveWatches(): void {
    const ready = this.pendingWatches.filter(({ after }) => this.hasChangedAfter(after));
    this.pendingWatches = this.pendingWatches.filter((watch) => !ready.includes(watch));
    for (const { resolve } of ready) resolve();
  }
}

type EncodedEvent = NonNullable<PeerBodyOf<'store.changes'>['changes']>['events'][number];

function encodeEvent(event: StoreEvent): EncodedEvent {
  if (event.kind === 'deleted') return { key: event.key };
  const { key, value, revision, createdRevision } = event.item;
  return { key, item: { value, revision, createdRevision } };
}

/**
 * Decodes a change that a relay has sent.
 *
 * @param event - the change as it is sent between instances
 */
export function decodeEvent({ key, item }: EncodedEvent): StoreEvent {
  if (item === undefined) return { kind: 'deleted', key };
  const value = Buffer.from(item.value);
  const revision = toBrand<StoreRevision>(item.revision);
  const createdRevision = toBrand<StoreRevision>(item.createdRevision);
  return { kind: 'written', item: { key, value, revision, createdRevision } };
}
