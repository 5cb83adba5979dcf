import { type Clock, type InstanceId, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type {
  ControlStore,
  StoreChanges,
  StoreEra,
  StoreError,
  StoreRevision,
} from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { FleetView } from './fleet-view.js';
import { encodeRecord, formatInstanceKey, type InstanceRecord } from './records.js';
import type { RelayServer } from './relay-server.js';
import type { RelayedSource } from './relayed-source.js';
import { STORE_TIMEOUT_MS } from './store-source.js';
import type { CheckResult, Expectation } from './view-source.js';

/**
 * Interval of checks of the store itself. Two in a row may fail before primaries are no longer
 * trusted.
 */
const DIRECT_CHECK_INTERVAL_MS = 1000;
/**
 * Interval of checks at a relay; shorter, because the relay's own check of the store may already be a
 * second old.
 */
const RELAYED_CHECK_INTERVAL_MS = 400;
/**
 * Delay of the first watch of an instance that was not listed before: other instances of a fleet that
 * starts list themselves meanwhile, and the first watch brings them together.
 */
const FIRST_WATCH_DELAY_MS = 200;
/**
 * Interval of checks while a relay knows newer revisions, which the watch is about to bring, and while
 * the records of the store are incomplete.
 */
const SHORT_CHECK_INTERVAL_MS = 120;
/**
 * Time in which the watch must bring a change that a check has found; the relay's own watch is paced
 * by 400 ms, and a confirmation is recent enough to serve for 2.6 s.
 */
const CONFLICT_GRACE_MS = 1200;
/** Interval of listings of the store while its records are incomplete. */
const INCOMPLETE_RELOAD_INTERVAL_MS = 1000;
const RETRY_DELAY_MS = 250;
/** Maximum random addition to a retry delay, so that instances do not call the store at once. */
const MAX_RETRY_JITTER_MS = 250;

/**
 * Keeps the fleet view of an instance up to date and confirmed, by watches and checks of the store
 * or of a relay.
 */
export class FleetViewUpdater {
  private isStopped = false;

  private watchedUpTo: StoreRevision | undefined;

  private isStoreReachable = false;

  /** When the store was last loaded, or that was last tried. */
  private loadedAt = toMilliseconds(0);

  /** When checks began to find newer revisions than this instance knows. */
  private conflictSince: Milliseconds | undefined;

  /** Aborts the current watch, whose connection may not have survived an outage. */
  private watchAbort = new AbortController();

  /** Whether the store listed this instance at its present address when the process started. */
  wasAlreadyListed = false;

  constructor(
    private readonly self: InstanceId,
    private readonly record: InstanceRecord,
    private readonly store: ControlStore,
    private readonly source: RelayedSource,
    private readonly relayServer: RelayServer,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly metrics: GatewayMetrics,
    private readonly log: EventLog,
  ) {}

  /** Loads the store and registers this instance, with retries, then starts watches and checks. */
  async start(): Promise<void> {
    while (!this.isStopped && !(await this.loadSnapshot())) await this.pause();
    this.wasAlreadyListed = this.isRegistered;
    while (!this.isStopped && !this.isRegistered && !(await this.register())) await this.pause();
    void this.runWatch(this.wasAlreadyListed ? 0 : FIRST_WATCH_DELAY_MS);
    void this.runChecks();
  }

  /** Stops watches and checks; a call that is under way still completes. */
  stop(): void {
    this.isStopped = true;
  }

  /**
   * Replaces the view with the current contents of the store. They confirm the view only if they hold
   * everything that the fleet knew before the store last returned from an older copy.
   *
   * @returns whether the store responded with a listing that is not of an earlier era
   */
  async loadSnapshot(): Promise<boolean> {
    const requestedAt = this.clock.now();
    this.loadedAt = requestedAt;
    const snapshot = await this.store.readAll('', STORE_TIMEOUT_MS);
    if (snapshot.isErr()) {
      this.recordStoreState(false, snapshot.error.reason);
      return false;
    }
    const { items, revision, era } = snapshot.value;
    const { era: previous } = this.view;
    if (!this.view.replace(snapshot.value, this.clock.now())) return false;
    if (era !== previous) this.recordEra(era, previous);
    this.source.recordStoreResponse();
    this.recordStoreState(true);
    this.log.info('view.loaded', {
      era,
      revision,
      items: items.length,
      settings: this.view.settings?.version,
      isComplete: this.view.isComplete,
    });
    if (this.view.isComplete) this.view.confirmation.confirm(requestedAt);
    this.watchedUpTo = revision;
    this.relayServer.reset(revision, era);
    return true;
  }

  private get isRegistered(): boolean {
    const known = this.view.instances.get(this.self)?.value;
    const { host, peerPort, domain } = this.record;
    const isSame = known?.host === host && known.peerPort === peerPort && known.domain === domain;
    return isSame && this.view.isRegistered(this.self);
  }

  /**
   * Writes this instance's record and replaces that of an earlier incarnation at another address.
   */
  private async register(): Promise<boolean> {
    const key = formatInstanceKey(this.self);
    const put = { key, value: encodeRecord(this.record), lease: undefined };
    const written = await this.store.commit(
      { expect: [], puts: [put], removes: [] },
      STORE_TIMEOUT_MS,
    );
    if (written.isErr()) {
      this.recordStoreState(false, written.error.reason);
      return false;
    }
    const { revision, era } = written.value;
    if (await this.followEra(era)) return this.isRegistered;
    this.log.info('instance.registered', { instance: this.self, revision, era });
    // The watch repeats this change, and brings those of others since the snapshot.
    const item = { key, value: put.value, revision, createdRevision: revision };
    this.view.apply([{ kind: 'written', item }], era);
    return true;
  }

  private async runWatch(initialDelayMs: number): Promise<void> {
    await delay(initialDelayMs);
    while (!this.isStopped) {
      const after = this.watchedUpTo;
      if (after === undefined) {
        if (!(await this.loadSnapshot())) await this.pause();
        continue;
      }
      const { era } = this.view;
      const { signal } = this.watchAbort;
      const changes = await this.source.watch(after, signal);
      if (changes.isOk()) {
        if (!(await this.applyChanges(after, era, changes.value))) await this.pause();
        continue;
      }
      if (this.isStopped) return;
      if (signal.aborted) continue;
      this.log.warn('watch.ended', { kind: changes.error.kind, reason: changes.error.reason });
      if (changes.error.kind === 'history-lost') this.watchedUpTo = undefined;
      else await this.pause();
    }
  }

  /**
   * Applies changes that a watch has returned.
   *
   * @param after - revision that the watch started from
   * @param era - era of that revision
   * @param changes - the changes
   * @returns whether they belong to the era that the watch started in, or a later one was loaded
   */
  private async applyChanges(
    after: StoreRevision,
    era: StoreEra | undefined,
    changes: StoreChanges,
  ): Promise<boolean> {
    // The view was loaded anew while the watch waited.
    if (era !== this.view.era || this.watchedUpTo !== after) return true;
    if (changes.era !== era) return this.followEra(changes.era);
    this.watchedUpTo = changes.revision;
    if (changes.events.length > 0) this.view.apply(changes.events, changes.era);
    this.relayServer.publish(after, changes);
    return true;
  }

  private async runChecks(): Promise<void> {
    while (!this.isStopped) {
      await delay(this.computeCheckInterval());
      if (this.isStopped) return;
      await this.runCheck();
    }
  }

  /**
   * Checks that the known settings and primaries are the newest. A relay checks the records of its
   * subscribers in the same call.
   */
  private async runCheck(): Promise<void> {
    if (!this.view.isRegistered(this.self)) {
      await this.register();
      return;
    }
    if (!this.view.isComplete) {
      await this.reloadIncomplete();
      return;
    }
    let own = this.view.listExpectations(this.self);
    let ofSubscribers = this.relayServer.listSubscriberExpectations();
    let checked = await this.source.check(own, ofSubscribers);
    if (checked.isErr() && this.applyConflict(checked.error)) {
      own = this.view.listExpectations(this.self);
      ofSubscribers = this.relayServer.listSubscriberExpectations();
      checked = await this.source.check(own, ofSubscribers);
    }
    if (await this.followEra(checked.isOk() ? checked.value.era : checked.error.era)) return;
    if (checked.isErr()) {
      if (checked.error.kind !== 'conflict') this.recordStoreState(false, checked.error.reason);
      else await (this.isStoreReachable ? this.handleConflict() : this.resume());
      return;
    }
    this.conflictSince = undefined;
    await this.confirm(checked.value, [...own, ...ofSubscribers]);
  }

  /**
   * Loads the store again while its records are incomplete, in case the watch does not bring the record
   * that completes them. A check could confirm nothing.
   */
  private async reloadIncomplete(): Promise<void> {
    if (this.clock.now() - this.loadedAt < INCOMPLETE_RELOAD_INTERVAL_MS) return;
    await this.loadSnapshot();
  }

  /** Records a successful check, unless it was one of another era. */
  private async confirm(
    { asOf, isRelayed, era }: CheckResult,
    expectations: readonly Expectation[],
  ): Promise<void> {
    if (era !== this.view.era) return;
    if (this.view.isComplete) {
      if (!isRelayed) this.relayServer.recordCheck(asOf, era, expectations);
      this.view.confirmation.confirm(asOf);
    }
    if (!this.isStoreReachable) await this.resume(isRelayed);
    else this.view.removeMissing(this.clock.now());
  }

  /**
   * Loads the store if a response shows that it has returned from an older copy: what this instance
   * knows of its revisions is void, also where they exist again.
   *
   * @param era - era of the response, if it named one
   * @returns whether the response was of a later era than the view
   */
  private async followEra(era: StoreEra | undefined): Promise<boolean> {
    if (era === undefined || this.view.era === undefined || era <= this.view.era) return false;
    await this.resume();
    return true;
  }

  private computeCheckInterval(): number {
    if (!this.isStoreReachable) return RETRY_DELAY_MS;
    if (this.conflictSince !== undefined || !this.view.isComplete) return SHORT_CHECK_INTERVAL_MS;
    return this.source.isRelay ? DIRECT_CHECK_INTERVAL_MS : RELAYED_CHECK_INTERVAL_MS;
  }

  /**
   * Applies what a store tells of the expected keys in a conflict, ahead of the watch.
   *
   * @param error - result of the check
   * @returns whether the store told it, so that another check may succeed
   */
  private applyConflict({ current, era }: StoreError): boolean {
    if (current === undefined || era === undefined || era !== this.view.era) return false;
    this.view.apply(current, era);
    return true;
  }

  /**
   * Handles a check at a relay that knows a newer revision than this instance. The watch is about to
   * bring it: if every instance loaded the store instead, each change of a primary would cost a call
   * for each of them. The store is loaded if the watch brings nothing.
   */
  private async handleConflict(): Promise<void> {
    const now = this.clock.now();
    this.conflictSince ??= now;
    if (now - this.conflictSince < CONFLICT_GRACE_MS) return;
    this.conflictSince = undefined;
    await this.loadSnapshot();
  }

  /**
   * Resumes after an outage: loads the store and restarts the watch over a new connection.
   *
   * @param isRelayed - whether the check went through a relay; the store is then not loaded, since
   * the watch delivers what has changed
   */
  private async resume(isRelayed = false): Promise<void> {
    this.view.retainMembers(this.clock.now());
    if (isRelayed) this.recordStoreState(true);
    else if (!(await this.loadSnapshot())) return;
    this.watchAbort.abort();
    this.watchAbort = new AbortController();
  }

  private recordStoreState(isReachable: boolean, reason?: string): void {
    if (isReachable === this.isStoreReachable) return;
    this.isStoreReachable = isReachable;
    const ageMs = Math.round(this.view.confirmation.resolveAge(this.clock.now()));
    const { era } = this.view;
    if (isReachable) this.log.info('store.regained', { confirmationAgeMs: ageMs, era });
    else this.log.warn('store.lost', { confirmationAgeMs: ageMs, era, reason });
  }

  private recordEra(era: StoreEra, previous: StoreEra | undefined): void {
    this.metrics.storeEra.set(era);
    if (previous !== undefined) this.log.warn('store.era.changed', { era, previous });
  }

  /** Waits before a retry. */
  private async pause(): Promise<void> {
    await delay(RETRY_DELAY_MS + this.random() * MAX_RETRY_JITTER_MS);
  }
}
