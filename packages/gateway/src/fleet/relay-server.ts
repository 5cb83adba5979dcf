import { type Clock, type InstanceId, type Milliseconds, toBrand } from '@heatherledge/core';
import type { PeerBodyOf, PeerHub } from '@heatherledge/daemon';
import type { StoreChanges, StoreEra, StoreEvent, StoreRevision } from '../ports/control-store.js';
import type { SampleExchange } from '../members/sample-exchange.js';
import type { FleetView } from './fleet-view.js';
import { formatInstanceKey, parseRecordKey } from './records.js';
import type { Expectation } from './view-source.js';

/** Buffered for subscribers that lag; a burst of settings changes brings 10 batches a second. */
const MAX_BUFFERED_BATCHES = 200;
/** The record of a subscriber that has sent no check for this long is no longer checked. */
const SUBSCRIBER_TTL_MS = 10_000;

interface Batch extends StoreChanges {
  /** The revision that the changes follow. */
  readonly after: StoreRevision;
}

interface PendingWatch {
  readonly after: StoreRevision;
  readonly resolve: () => void;
}

interface LastCheck {
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
  private batches: Batch[] = [];

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
    hub.handle('store.check', (body, from) => ({
      ...this.handleCheck(body, from),
      ...this.samples.handleRequest(body),
    }));
  }

  /**
   * Restarts at a revision whose contents were loaded as a whole; drops all buffered changes.
   *
   * @param revision - revision of the loaded contents
   * @param era - era of the loaded contents
   */
  reset(revision: StoreRevision, era: StoreEra): void {
    this.batches = [];
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
    this.batches.push({ ...changes, after });
    this.batches.splice(0, this.batches.length - MAX_BUFFERED_BATCHES);
    this.resolveWatches();
  }

  /**
   * Records a check that the store itself has confirmed.
   *
   * @param asOf - time before the check was sent
   * @param expectations - expectations that held
   */
  recordCheck(asOf: Milliseconds, expectations: readonly Expectation[]): void {
    this.lastCheck = {
      asOf,
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
      else if (record !== undefined) {
        expectations.push({ key: formatInstanceKey(id), revision: record.revision });
      }
    }
    return expectations;
  }

  private async handleWatch({
    after,
    waitMs,
  }: PeerBodyOf<'store.watch'>): Promise<PeerBodyOf<'store.changes'>> {
    const since = after as StoreRevision;
    if (this.revision !== undefined && this.revision <= since) await this.waitAfter(since, waitMs);
    // All changes after this revision are buffered.
    const earliest = this.batches[0]?.after ?? this.revision;
    if (earliest === undefined || earliest > since) return { kind: 'store.changes', isLost: true };
    const events = this.batches
      .filter(({ revision }) => revision > since)
      .flatMap((batch) => batch.events.map(encodeEvent));
    const revision = Math.max(since, this.revision ?? since);
    return { kind: 'store.changes', changes: { events, revision, era: this.era } };
  }

  private handleCheck(
    { expectations }: PeerBodyOf<'store.check'>,
    from: InstanceId,
  ): PeerBodyOf<'store.checked'> {
    this.subscribers.set(from, this.clock.now());
    const { lastCheck } = this;
    if (lastCheck === undefined) return { kind: 'store.checked', outcome: 'unknown' };
    const subscriberRevisions = new Map(expectations.map(([key, revision]) => [key, revision]));
    // Subscribers expect only their own instance record, so the others are not compared.
    for (const [key, revision] of lastCheck.confirmedRevisions) {
      const isInstanceRecord = parseRecordKey(key)?.kind === 'instance';
      if (!isInstanceRecord && (subscriberRevisions.get(key) ?? -1) < revision) {
        return { kind: 'store.checked', outcome: 'conflict' };
      }
    }
    for (const [key, revision] of subscriberRevisions) {
      const confirmedRevision = lastCheck.confirmedRevisions.get(key);
      if (confirmedRevision === undefined) return { kind: 'store.checked', outcome: 'unknown' };
      if (revision < confirmedRevision) return { kind: 'store.checked', outcome: 'conflict' };
    }
    const ageMs = this.clock.now() - lastCheck.asOf;
    return { kind: 'store.checked', outcome: 'held', ageMs };
  }

  /** Waits until this instance holds a revision after `after`, up to `waitMs`. */
  private async waitAfter(after: StoreRevision, waitMs: number): Promise<void> {
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
    const { revision } = this;
    if (revision === undefined) return;
    const ready = this.pendingWatches.filter(({ after }) => revision > after);
    this.pendingWatches = this.pendingWatches.filter(({ after }) => revision <= after);
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
