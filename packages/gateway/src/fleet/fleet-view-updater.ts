import { type Clock, type InstanceId, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { StoreChanges, StoreEra, StoreError, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import { resolveCheckInterval, RETRY_DELAY_MS } from './check-interval.js';
import type { FleetView } from './fleet-view.js';
import type { InstanceRegistration } from './instance-registration.js';
import type { RelayServer } from './relay-server.js';
import type { RelayedSource } from './relayed-source.js';
import type { StoreState } from './store-state.js';
import type { CheckResult, Expectation } from './view-source.js';

/**
 * Delay of the first watch of an instance that was not listed before: other instances of a fleet that
 * starts list themselves meanwhile, and the first watch brings them together.
 */
const FIRST_WATCH_DELAY_MS = 200;
/**
 * Time in which the watch must bring a change that a check has found; the relay's own watch is paced
 * by 400 ms, and a confirmation is recent enough to serve for 2.6 s.
 */
const CONFLICT_GRACE_MS = 1200;
/** Interval of listings of the store while its records are incomplete. */
const INCOMPLETE_RELOAD_INTERVAL_MS = 1000;
/** Maximum random addition to a retry delay, so that instances do not call the store at once. */
const MAX_RETRY_JITTER_MS = 250;

/**
 * Keeps the fleet view of an instance up to date and confirmed, by watches and checks of the store
 * or of a relay.
 */
export class FleetViewUpdater {
  private isStopped = false;

  /** Revision after which the next watch starts; undefined if the store must be loaded first. */
  private watchedUpTo: StoreRevision | undefined;

  /** Revision of the newest contents that this instance has applied. */
  private seenUpTo = 0 as StoreRevision;

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
    private readonly registration: InstanceRegistration,
    private readonly source: RelayedSource,
    private readonly relayServer: RelayServer,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly state: StoreState,
    private readonly log: EventLog,
  ) {}

  /** Loads the store and registers this instance, with retries, then starts watches and checks. */
  async start(): Promise<void> {
    while (!this.isStopped && !(await this.loadSnapshot())) await this.pause();
    this.wasAlreadyListed = this.registration.isRegistered;
    while (!this.isStopped && !this.registration.isRegistered && !(await this.register())) {
      await this.pause();
    }
    void this.runWatch(this.wasAlreadyListed ? 0 : FIRST_WATCH_DELAY_MS);
    void this.runChecks();
  }

  /** Stops watches and checks; a call that is under way still completes. */
  stop(): void {
    this.isStopped = true;
  }

  /** Whether this instance reads the store itself and serves as a relay for others. */
  get isRelay(): boolean {
    return this.source.isRelay;
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
    const snapshot = await this.source.readAll();
    if (snapshot.isErr()) {
      this.state.record(false, snapshot.error.reason);
      return false;
    }
    const { revision, era, isRelayed } = snapshot.value;
    const { era: previous } = this.view;
    // A relay may hold less than this instance.
    if (isRelayed && era === previous && revision <= this.seenUpTo) return false;
    if (!this.view.replace(snapshot.value, this.clock.now())) return false;
    if (era !== previous) this.state.recordEra(era, previous);
    this.state.record(true);
    const { settings, isComplete } = this.view;
    const fields = { era, revision, settings: settings?.version, isComplete, isRelayed };
    this.log.info('view.loaded', fields);
    if (isComplete && !isRelayed) this.view.confirmation.confirm(requestedAt);
    this.watchedUpTo = revision;
    this.seenUpTo = revision;
    this.relayServer.reset(snapshot.value);
    return true;
  }

  /** Writes this instance's record; loads the store first if that shows that it has returned. */
  private async register(): Promise<boolean> {
    const written = await this.registration.register();
    if (written.isErr()) {
      this.state.record(false, written.error.reason);
      return false;
    }
    const { revision, item, era } = written.value;
    if (await this.followEra(era)) return this.registration.isRegistered;
    this.log.info('instance.registered', { instance: this.self, revision, era });
    // The watch repeats this change, and brings those of others since the snapshot.
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
   * Applies changes that a watch from revision `after` of an era has returned.
   *
   * @returns whether they belong to that era, or a later one was loaded
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
    this.seenUpTo = changes.revision;
    if (changes.events.length > 0) this.view.apply(changes.events, changes.era);
    this.relayServer.publish(after, changes);
    return true;
  }

  private async runChecks(): Promise<void> {
    while (!this.isStopped) {
      await delay(
        resolveCheckInterval({
          isReachable: this.state.isReachable,
          isSettled: this.conflictSince === undefined && this.view.isComplete,
          isRelay: this.isRelay,
        }),
      );
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
      if (checked.error.kind !== 'conflict') this.state.record(false, checked.error.reason);
      else await (this.state.isReachable ? this.handleConflict() : this.resume());
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
    if (!this.state.isReachable) await this.resume(isRelayed);
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

  /**
   * Applies what a store tells of the expected keys in a conflict, ahead of the watch.
   *
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
    if (isRelayed) this.state.record(true);
    else if (!(await this.loadSnapshot())) return;
    this.watchAbort.abort();
    this.watchAbort = new AbortController();
  }

  /** Waits before a retry. */
  private async pause(): Promise<void> {
    await delay(RETRY_DELAY_MS + this.random() * MAX_RETRY_JITTER_MS);
  }
}
