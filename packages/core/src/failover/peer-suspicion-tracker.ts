import type { InstanceId, Milliseconds } from '../types/ids.js';
import type { WatcherIdentity, SuspicionReport } from './watcher-types.js';

interface ReceivedSuspicion {
  readonly suspicion: SuspicionReport;
  readonly receivedAt: Milliseconds;
}

/**
 * Tracks the latest suspicion report of each other watcher of a group. Reports expire after a time
 * to live.
 */
export class PeerSuspicionTracker {
  private readonly received = new Map<InstanceId, ReceivedSuspicion>();

  /**
   * @param identity - this watcher
   * @param ttlMs - how long a report counts, in milliseconds
   */
  constructor(
    private readonly identity: WatcherIdentity,
    private readonly ttlMs: number,
  ) {}

  /**
   * Records another watcher's report.
   *
   * @param suspicion - the report
   * @param now - current time
   */
  record(suspicion: SuspicionReport, now: Milliseconds): void {
    this.received.set(suspicion.watcher, { suspicion, receivedAt: now });
  }

  /**
   * Checks whether watchers in a majority of the failure domains suspect the primary. This watcher
   * counts as suspecting. The rule keeps a partitioned watcher from acting alone.
   *
   * @param domains - failure domains in which the group has a watcher
   * @param now - current time
   */
  hasMajoritySuspicion(domains: ReadonlySet<string>, now: Milliseconds): boolean {
    const ownDomain = this.identity.failureDomain;
    const suspectingDomains = new Set<string>([ownDomain]);
    for (const { failureDomain, suspects } of this.listCurrent(now)) {
      if (suspects) suspectingDomains.add(failureDomain);
    }
    return suspectingDomains.size * 2 > new Set([...domains, ownDomain]).size;
  }

  /**
   * @param now - current time
   * @returns number of suspecting watchers with a lower instance id than this one
   */
  countSuspectingWatchersBefore(now: Milliseconds): number {
    return this.listCurrent(now).filter(
      ({ suspects, watcher }) => suspects && watcher < this.identity.instance,
    ).length;
  }

  /**
   * @param now - current time
   * @returns whether no watcher with a current report has a lower instance id than this one
   */
  hasLowestId(now: Milliseconds): boolean {
    return this.listCurrent(now).every(({ watcher }) => watcher >= this.identity.instance);
  }

  private listCurrent(now: Milliseconds): SuspicionReport[] {
    return [...this.received.values()]
      .filter(({ receivedAt }) => now - receivedAt <= this.ttlMs)
      .map(({ suspicion }) => suspicion);
  }
}
