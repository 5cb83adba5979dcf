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
 * Time for which attempts to reach an unlisted member must fail before it is taken to be gone. This is no
 * proof: a partition that lasts longer can hide a member that still acknowledges commits.
 */
export const PRESUMED_GONE_MS = toMilliseconds(30_000);
/** Longer pauses between attempts do not count: the member may have been up meanwhile. */
const MAX_ATTEMPT_GAP_MS = 5000;

interface ObservedPresence {
  readonly presence: HolderPresence;
  /** First of the attempts that showed it without a longer pause. */
  readonly since: Milliseconds;
  readonly lastAttemptAt: Milliseconds;
}

/**
 * Decides which unlisted commit holders are gone. An entry that has expired proves nothing about its
 * member, and neither does a connection that is refused: a partition may cause both.
 */
export class HolderPresenceTracker {
  private readonly presences = new Map<MemberIncarnation, ObservedPresence>();

  /**
   * Records what an attempt to reach an unlisted holder shows.
   *
   * @param holder - the holder
   * @param presence - what the attempt showed
   * @param now - current time
   * @returns whether the last attempt showed something else, or there was none
   */
  record(holder: MemberIncarnation, presence: HolderPresence, now: Milliseconds): boolean {
    const known = this.presences.get(holder);
    if (known?.presence === 'replaced') return false;
    const isUnchanged = known?.presence === presence;
    const isContinued = isUnchanged && now - known.lastAttemptAt <= MAX_ATTEMPT_GAP_MS;
    const since = isContinued ? known.since : now;
    this.presences.set(holder, { presence, since, lastAttemptAt: now });
    return !isUnchanged;
  }

  /**
   * @param holder - an unlisted holder
   * @param now - current time
   * @returns whether the holder is taken to acknowledge no more commits
   */
  isGone(holder: MemberIncarnation, now: Milliseconds): boolean {
    const known = this.presences.get(holder);
    if (known === undefined || known.presence === 'up') return false;
    if (known.presence === 'replaced') return true;
    const isCurrent = now - known.lastAttemptAt <= MAX_ATTEMPT_GAP_MS;
    return isCurrent && known.lastAttemptAt - known.since >= PRESUMED_GONE_MS;
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
