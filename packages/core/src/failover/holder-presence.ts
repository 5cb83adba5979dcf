import type { MemberEntry } from '../serving/fleet-settings.js';
import { type Milliseconds, toMilliseconds } from '../types/ids.js';
import type { MemberIncarnation } from './commit-holders.js';

/** What is needed to reach a member, whether it is listed or not. */
export type MemberEndpoint = Pick<MemberEntry, 'id' | 'group' | 'host' | 'port' | 'incarnation'>;

/**
 * What an attempt to reach an unlisted member shows. `up`: it responds under its id. `replaced`: its
 * address belongs to another member, or a later incarnation of it is listed. `unreachable`: neither;
 * it may still receive and acknowledge commits.
 */
export type HolderPresence = 'up' | 'replaced' | 'unreachable';

/**
 * Time for which an unlisted member must stay unreachable before it is taken to be gone. A member that is
 * cut off from this instance and from the store can go on to acknowledge commits to its primary; the
 * time is far longer than any partition that the service has to survive without losing a commit.
 */
export const PRESUMED_GONE_MS = toMilliseconds(30_000);

/**
 * Decides which unlisted commit holders are gone. An entry that has expired proves nothing about its
 * member, and neither does a connection that is refused: a partition may cause both.
 */
export class HolderPresenceTracker {
  private readonly presences = new Map<
    MemberIncarnation,
    { readonly presence: HolderPresence; readonly since: Milliseconds }
  >();

  /**
   * Records what an attempt to reach an unlisted holder shows.
   *
   * @param holder - the holder
   * @param presence - what the attempt showed
   * @param now - current time
   * @returns whether the last attempt showed something else, or there was none
   */
  record(holder: MemberIncarnation, presence: HolderPresence, now: Milliseconds): boolean {
    const known = this.presences.get(holder)?.presence;
    if (known === presence || known === 'replaced') return false;
    this.presences.set(holder, { presence, since: now });
    return true;
  }

  /**
   * @param holder - an unlisted holder
   * @param now - current time
   * @returns whether the holder can no longer acknowledge commits
   */
  isGone(holder: MemberIncarnation, now: Milliseconds): boolean {
    const known = this.presences.get(holder);
    if (known === undefined || known.presence === 'up') return false;
    return known.presence === 'replaced' || now - known.since >= PRESUMED_GONE_MS;
  }

  /** @returns whether the last attempt to reach an unlisted holder succeeded */
  wasUp(holder: MemberIncarnation): boolean {
    return this.presences.get(holder)?.presence === 'up';
  }

  /** Forgets what was seen of holders that are listed again, or no longer recorded. */
  forget(holders: readonly MemberIncarnation[]): void {
    for (const holder of holders) this.presences.delete(holder);
  }
}
