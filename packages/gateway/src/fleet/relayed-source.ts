import {
  chooseBackupRelay,
  chooseRelay,
  type Clock,
  type DomainInstances,
  type InstanceId,
  type Milliseconds,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import { err, ok, type Result } from 'neverthrow';
import type { StoreChanges, StoreEra, StoreError, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { SampleExchange } from '../members/sample-exchange.js';
import type { FleetView } from './fleet-view.js';
import { decodeEvent } from './relay-server.js';
import type { CheckResult, Expectation, Listing, ViewSource } from './view-source.js';

/** Short, to detect a frozen relay soon; a watch at a relay costs no call of the store. */
const MAX_RELAY_WATCH_WAIT_MS = 2500;
/** A round trip between regions takes 24 ms. */
const RELAY_REQUEST_TIMEOUT_MS = 250;
/** A listing of a large fleet, about 100 KB, over a slow link. */
const LISTING_TIMEOUT_MS = 1000;
/** Delay before a relay that did not respond is used again. */
const RELAY_RETRY_DELAY_MS = 3000;
/**
 * A relay checks the store once a second; an older confirmation means that the relay cannot reach the
 * store.
 */
const MAX_RELAYED_CONFIRMATION_AGE_MS = 1500;
/** Age of a confirmation below which an instance does not check the store for a silent relay. */
const MIN_DIRECT_CHECK_AGE_MS = 1100;
/**
 * The same for a relay that responds and has not checked all of the instance's keys yet; its next
 * check comes within a second. Confirmations are recent enough to serve for 2.6 s.
 */
const MIN_DIRECT_CHECK_AGE_BESIDE_RELAY_MS = 1600;
/** Delay after a failed direct check before a subscriber checks the store itself again. */
const DIRECT_CHECK_RETRY_DELAY_MS = 1000;
/** The same for a relay; relays are few, and their subscribers wait for them. */
const RELAY_CHECK_RETRY_DELAY_MS = 200;

/**
 * Uses the relay of the instance's own failure domain, then the store itself, then a relay of
 * another domain. So the view stays up to date while either a relay or the store is reachable.
 */
export class RelayedSource implements ViewSource {
  private readonly avoidedUntil = new Map<InstanceId, Milliseconds>();

  private lastDirectFailureAt: Milliseconds | undefined;

  /** Aborts the watch at a relay that does not respond. */
  private relayAbort = new AbortController();

  constructor(
    private readonly self: InstanceId,
    private readonly storeSource: ViewSource,
    private readonly hub: PeerHub,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly samples: SampleExchange,
    private readonly log: EventLog,
  ) {}

  /** Whether this instance reads the store itself and serves as a relay for others. */
  get isRelay(): boolean {
    return chooseRelay(this.self, this.getOwnDomain()) === undefined;
  }

  /**
   * Reads the store itself, or the contents that a relay holds if the store does not respond to this
   * instance.
   */
  async readAll(): Promise<Result<Listing, StoreError>> {
    const direct = await this.storeSource.readAll();
    if (direct.isOk()) {
      // The store responds to this instance, so the next check need not be delayed.
      this.lastDirectFailureAt = undefined;
      return direct;
    }
    this.lastDirectFailureAt = this.clock.now();
    const relay = this.findRelay() ?? this.findBackupRelay();
    if (relay === undefined) return direct;
    const response = await this.hub.request(relay, { kind: 'store.list' }, LISTING_TIMEOUT_MS);
    if (response?.kind !== 'store.listed' || response.listing === undefined) return direct;
    const { events, revision, era } = response.listing;
    const items = events.map(decodeEvent).flatMap((event) => {
      return event.kind === 'written' ? [event.item] : [];
    });
    return ok({
      items,
      revision: toBrand<StoreRevision>(revision),
      era: toBrand<StoreEra>(era),
      isRelayed: true,
    });
  }

  async watch(
    after: StoreRevision,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>> {
    const relay = this.findRelay() ?? this.findBackupRelay();
    if (relay === undefined) return this.storeSource.watch(after, signal);
    const body = {
      kind: 'store.watch' as const,
      after,
      era: this.era,
      waitMs: MAX_RELAY_WATCH_WAIT_MS,
    };
    const signals = [signal, this.relayAbort.signal];
    const pending = this.hub.request(
      relay,
      body,
      MAX_RELAY_WATCH_WAIT_MS + RELAY_REQUEST_TIMEOUT_MS,
    );
    const response = await waitUnlessAborted(pending, signals);
    if (response?.kind !== 'store.changes') {
      if (signals.every(({ aborted }) => !aborted)) this.avoid(relay, 'no response to a watch');
      return err({ kind: 'unknown', reason: 'the watch at the relay ended without a response' });
    }
    const { changes } = response;
    if (changes === undefined) {
      return err({
        kind: 'history-lost',
        reason: 'the relay does not hold all changes since the requested revision',
      });
    }
    return ok({
      events: changes.events.map(decodeEvent),
      revision: toBrand<StoreRevision>(changes.revision),
      era: toBrand<StoreEra>(changes.era ?? this.era),
    });
  }

  async check(
    own: readonly Expectation[],
    ofSubscribers: readonly Expectation[],
  ): Promise<Result<CheckResult, StoreError>> {
    const relay = this.findRelay();
    const relayed = relay && (await this.checkAtRelay(relay, own));
    if (relayed !== undefined) return relayed;
    const recent = relay && this.findRecentConfirmation(relay);
    if (recent !== undefined) return recent;
    const direct = await this.checkDirectly(own, ofSubscribers);
    if (direct.isOk() || direct.error.kind === 'conflict') return direct;
    const backup = this.findBackupRelay();
    return (backup && (await this.checkAtRelay(backup, own))) ?? direct;
  }

  /**
   * Returns the newest confirmation again while it is recent. A relay that does not know this
   * instance yet includes its record in the next check of the store, so that a fleet that starts at
   * once does not check the store for each instance several times.
   */
  private findRecentConfirmation(relay: InstanceId): Result<CheckResult, StoreError> | undefined {
    const now = this.clock.now();
    const ageMs = this.view.confirmation.resolveAge(now);
    const minAgeMs = this.isAvoided(relay)
      ? MIN_DIRECT_CHECK_AGE_MS
      : MIN_DIRECT_CHECK_AGE_BESIDE_RELAY_MS;
    if (ageMs >= minAgeMs) return undefined;
    return ok({ asOf: toMilliseconds(now - ageMs), isRelayed: true, era: this.era });
  }

  private async checkDirectly(
    own: readonly Expectation[],
    ofSubscribers: readonly Expectation[],
  ): Promise<Result<CheckResult, StoreError>> {
    const failedAt = this.lastDirectFailureAt;
    const retryDelayMs = this.isRelay ? RELAY_CHECK_RETRY_DELAY_MS : DIRECT_CHECK_RETRY_DELAY_MS;
    if (failedAt !== undefined && this.clock.now() - failedAt < retryDelayMs) {
      return err({ kind: 'unavailable', reason: 'the last direct check of the store failed' });
    }
    const checked = await this.storeSource.check(own, ofSubscribers);
    const hasFailed = checked.isErr() && checked.error.kind !== 'conflict';
    this.lastDirectFailureAt = hasFailed ? this.clock.now() : undefined;
    return checked;
  }

  /**
   * Checks expectations at a relay.
   *
   * @returns the relay's confirmation or a conflict, or undefined if the relay has no recent
   * confirmation
   */
  private async checkAtRelay(
    relay: InstanceId,
    expectations: readonly Expectation[],
  ): Promise<Result<CheckResult, StoreError> | undefined> {
    const requestedAt = this.clock.now();
    const response = await this.hub.request(
      relay,
      {
        kind: 'store.check',
        era: this.era,
        expectations: expectations.map(({ key, revision }) => [key, revision]),
        ...this.samples.createRequestFields(relay),
      },
      RELAY_REQUEST_TIMEOUT_MS,
    );
    if (response?.kind !== 'store.checked') {
      this.avoid(relay, 'no response to a check');
      return undefined;
    }
    this.samples.handleResponse(relay, response, requestedAt);
    const era = toBrand<StoreEra>(response.era ?? this.era);
    if (response.outcome === 'conflict') {
      return err({ kind: 'conflict', reason: 'the relay has confirmed a newer revision', era });
    }
    const { ageMs } = response;
    if (ageMs === undefined || ageMs > MAX_RELAYED_CONFIRMATION_AGE_MS) return undefined;
    // The relay computes the age after the request was sent, so the confirmation is no older than
    // this.
    return ok({ asOf: toMilliseconds(requestedAt - ageMs), isRelayed: true, era });
  }

  /** Era of the contents that this instance holds. */
  private get era(): StoreEra {
    return this.view.era ?? toBrand<StoreEra>(0);
  }

  private findRelay(): InstanceId | undefined {
    const relay = chooseRelay(this.self, this.getOwnDomain());
    return relay !== undefined && this.isAvoided(relay) ? undefined : relay;
  }

  /** Finds a relay in another failure domain, while the store does not respond to this instance. */
  private findBackupRelay(): InstanceId | undefined {
    if (this.lastDirectFailureAt === undefined) return undefined;
    const backup = chooseBackupRelay(this.self, this.listOtherDomains());
    return backup !== undefined && this.isAvoided(backup) ? undefined : backup;
  }

  private isAvoided(relay: InstanceId): boolean {
    return (this.avoidedUntil.get(relay) ?? 0) > this.clock.now();
  }

  /** Stops using a relay for `RELAY_RETRY_DELAY_MS` and aborts the watch at it. */
  private avoid(relay: InstanceId, reason: string): void {
    if (this.isAvoided(relay)) return;
    this.avoidedUntil.set(relay, toMilliseconds(this.clock.now() + RELAY_RETRY_DELAY_MS));
    this.log.warn('relay.avoided', { relay, reason });
    this.relayAbort.abort();
    this.relayAbort = new AbortController();
  }

  private getOwnDomain(): DomainInstances {
    const own = this.view.findDomain(this.self);
    return this.view.listDomains().get(own ?? '') ?? { all: [], strongest: [] };
  }

  private listOtherDomains(): DomainInstances[] {
    const own = this.view.findDomain(this.self);
    return [...this.view.listDomains()].flatMap(([domain, instances]) =>
      domain === own ? [] : [instances],
    );
  }
}

/**
 * Waits for a response, or until one of the signals aborts.
 *
 * @returns the response, or undefined if the wait was aborted
 */
async function waitUnlessAborted<Value>(
  pending: Promise<Value>,
  signals: readonly AbortSignal[],
): Promise<Value | undefined> {
  return new Promise((resolve) => {
    const finish = (response: Value | undefined): void => {
      for (const signal of signals) signal.removeEventListener('abort', abort);
      resolve(response);
    };
    const abort = (): void => finish(undefined);
    for (const signal of signals) signal.addEventListener('abort', abort);
    void pending.then(finish);
    if (signals.some(({ aborted }) => aborted)) abort();
  });
}
