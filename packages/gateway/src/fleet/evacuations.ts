import {
  computeEvacuationWindow,
  type Clock,
  type ConfirmationTracker,
  type EvacuationWindow,
  type MemberEntry,
  type Milliseconds,
  toMilliseconds,
} from '@heatherledge/core';
import type { StoreEvent, StoreItem, StoreRevision } from '../ports/control-store.js';
import type { FleetDirectory } from '../ports/fleet-directory.js';
import type { EventLog } from '../runtime/event-log.js';
import { RetainedEntries } from './retained-entries.js';
import type { Expectation } from './view-source.js';

/** Requests beyond this number are ignored; a fleet has a dozen failure domains. */
const MAX_REQUESTS = 64;
/**
 * After the store has returned from an older copy, the operators write a lost request again within 6 s.
 * A request that is in force for too long only leaves a domain unused.
 */
const RELISTING_TIMEOUT_MS = 10_000;
/** Bound on evacuations in deployments whose settings name none. */
const DEFAULT_MAX_DELAY_MS = toMilliseconds(5000);
/** The store's limit of the length of a key; a check that names a longer one would fail. */
const MAX_KEY_BYTES = 200;
const NO_REVISION = 0 as StoreRevision;

/** A request to evacuate a failure domain, as this instance knows it. */
export interface Evacuation {
  /** Revision of the request in the store; 0 if the store has lost it. */
  readonly revision: StoreRevision;
  /** When this instance learned of the request. */
  readonly learnedAt: Milliseconds;
  /** Until when members of the domain may still be used. */
  readonly window: EvacuationWindow;
}

/** An evacuation that ended, and when this instance learned of its end. */
interface EndedEvacuation {
  readonly evacuation: Evacuation;
  readonly endedAt: Milliseconds;
}

/** What the known evacuations are decoded and judged with. */
export interface EvacuationServices {
  readonly directory: FleetDirectory;
  readonly confirmation: ConfirmationTracker;
  readonly clock: Pick<Clock, 'now'>;
  readonly log: EventLog;
  /** Bound on evacuations; without one, checks do not include requests. */
  readonly maxDelayMs: Milliseconds | undefined;
  /** Lists the members whose failure domains are known. */
  readonly listMembers: () => readonly Pick<MemberEntry, 'failureDomain'>[];
}

/**
 * The failure domains that the operators have requested to evacuate. Known requests outlive outages of the
 * store, and for a while a store that has returned from an older copy.
 */
export class KnownEvacuations {
  private readonly requests = new RetainedEntries<string, Evacuation>();

  /** The last evacuation of each domain that has ended, in the order in which they did. */
  private readonly ended = new Map<string, EndedEvacuation>();

  constructor(private readonly services: EvacuationServices) {}

  /** @returns the evacuations in force, by failure domain */
  get domains(): ReadonlyMap<string, Evacuation> {
    return this.requests.entries;
  }

  /**
   * @param domain - a failure domain
   * @returns when the last evacuation of the domain ended, if this instance knows of one that has
   */
  findEnd(domain: string): Milliseconds | undefined {
    return this.requests.entries.has(domain) ? undefined : this.ended.get(domain)?.endedAt;
  }

  /** Prepares for the contents of a store that has returned from an older copy. */
  beginEra(now: Milliseconds): void {
    this.requests.retainUntil(toMilliseconds(now + RELISTING_TIMEOUT_MS));
    // Revisions of another era say nothing about the contents of this one.
    for (const [domain, evacuation] of this.requests.entries) {
      this.requests.put(domain, { ...evacuation, revision: NO_REVISION });
    }
    for (const [domain, { evacuation, endedAt }] of this.ended) {
      this.ended.set(domain, { evacuation: { ...evacuation, revision: NO_REVISION }, endedAt });
    }
  }

  /**
   * Takes the requests of a listing of the whole store. Those that it lacks have ended, unless the store
   * has just returned from an older copy.
   *
   * @param items - all items of the store
   */
  replace(items: readonly StoreItem[]): void {
    const requests = items.filter(({ key }) => this.isRequest(key));
    const listed = new Set(requests.flatMap(({ key }) => this.decode(key) ?? []));
    for (const domain of [...this.domains.keys()]) {
      if (listed.has(domain)) continue;
      if (this.requests.isRetaining) this.markMissing(domain);
      else this.end(domain);
    }
    for (const item of requests) this.put(item);
  }

  /** Applies changes of the store, in its order. */
  apply(events: readonly StoreEvent[]): void {
    for (const event of events) {
      const key = event.kind === 'written' ? event.item.key : event.key;
      if (!this.isRequest(key)) continue;
      if (event.kind === 'written') this.put(event.item);
      else this.end(this.decode(key));
    }
  }

  /**
   * Ends the evacuations whose requests the store has lost and that are no longer retained.
   *
   * @returns whether there were any
   */
  removeMissing(now: Milliseconds): boolean {
    const retained = new Map(this.domains);
    const removed = this.requests.removeMissing(now);
    for (const domain of removed) this.recordEnd(domain, retained.get(domain));
    return removed.length > 0;
  }

  /**
   * Lists what a check has to confirm: the request for each domain that contains a member, or that there is
   * none. So an instance whose watch is stalled learns of a request at its next check.
   */
  listExpectations(): Expectation[] {
    const { maxDelayMs, directory } = this.services;
    const { evacuationsPrefix } = directory;
    if (maxDelayMs === undefined || evacuationsPrefix === undefined) return [];
    return [...this.listMemberDomains()]
      .filter((domain) => mayBeKey(`${evacuationsPrefix}${domain}`))
      .filter((domain) => this.decode(`${evacuationsPrefix}${domain}`) === domain)
      .slice(0, MAX_REQUESTS)
      .map((domain) => {
        const revision = this.domains.get(domain)?.revision ?? NO_REVISION;
        return { key: `${evacuationsPrefix}${domain}`, revision };
      });
  }

  /** Lists the failure domains that contain a listed member. */
  private listMemberDomains(): ReadonlySet<string> {
    return new Set(this.services.listMembers().map(({ failureDomain }) => failureDomain));
  }

  private isRequest(key: string): boolean {
    const { evacuationsPrefix } = this.services.directory;
    return evacuationsPrefix !== undefined && key.startsWith(evacuationsPrefix);
  }

  private decode(key: string): string | undefined {
    const decoded = this.services.directory.decodeEvacuation?.(key);
    return decoded?.isOk() === true ? decoded.value : undefined;
  }

  private put({ key, revision }: StoreItem): void {
    const { directory, log } = this.services;
    const decoded = directory.decodeEvacuation?.(key);
    if (decoded === undefined || decoded.isErr()) {
      log.warn('evacuation.unreadable', { key, reason: decoded?.error });
      return;
    }
    const domain = decoded.value;
    const known = this.domains.get(domain);
    if (known !== undefined) {
      // The watch may repeat what a check has shown before.
      if (revision >= known.revision) this.requests.put(domain, { ...known, revision });
      return;
    }
    const hasMembers = this.listMemberDomains().has(domain);
    if (this.domains.size >= MAX_REQUESTS && !(hasMembers && this.removeUnknownDomain())) {
      log.warn('evacuation.ignored', { key, reason: `more than ${MAX_REQUESTS} requests` });
      return;
    }
    if (!hasMembers) {
      log.warn('evacuation.unknown', { key, reason: 'no listed member is in this domain' });
    }
    this.requests.put(domain, this.createEvacuation(domain, revision));
    log.info('evacuation.started', { domain, revision });
  }

  private createEvacuation(domain: string, revision: StoreRevision): Evacuation {
    const previous = this.ended.get(domain)?.evacuation;
    // A watch that lags behind a check shows an earlier end once more; the window does not begin again.
    if (previous?.revision === revision) return previous;
    const { clock, confirmation, maxDelayMs = DEFAULT_MAX_DELAY_MS } = this.services;
    const now = clock.now();
    const ageMs = confirmation.resolveAge(now);
    const absentAt = Number.isFinite(ageMs) ? toMilliseconds(now - ageMs) : undefined;
    const window = computeEvacuationWindow(now, absentAt, maxDelayMs);
    return { revision, learnedAt: now, window };
  }

  /** Makes room by dropping a request for a domain without members. */
  private removeUnknownDomain(): boolean {
    const memberDomains = this.listMemberDomains();
    const unknown = [...this.domains.keys()].find((domain) => !memberDomains.has(domain));
    this.end(unknown);
    return unknown !== undefined;
  }

  private markMissing(domain: string): void {
    const evacuation = this.domains.get(domain);
    if (evacuation === undefined) return;
    this.requests.put(domain, { ...evacuation, revision: NO_REVISION });
    this.requests.markMissing(domain);
  }

  private end(domain: string | undefined): void {
    const evacuation = domain === undefined ? undefined : this.domains.get(domain);
    if (domain === undefined || evacuation === undefined) return;
    this.requests.remove(domain);
    this.recordEnd(domain, evacuation);
  }

  private recordEnd(domain: string, evacuation: Evacuation | undefined): void {
    if (evacuation === undefined) return;
    this.ended.delete(domain);
    this.ended.set(domain, { evacuation, endedAt: this.services.clock.now() });
    const [oldest] = this.ended.keys();
    if (this.ended.size > MAX_REQUESTS && oldest !== undefined) this.ended.delete(oldest);
    this.services.log.info('evacuation.ended', { domain, revision: evacuation.revision });
  }
}

/** Checks whether the store can hold a key as it is. */
function mayBeKey(key: string): boolean {
  const bytes = Buffer.from(key);
  return bytes.length <= MAX_KEY_BYTES && bytes.toString() === key;
}
