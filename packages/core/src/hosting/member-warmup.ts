import type { GroupWarmup, MemberEntry } from '../serving/fleet-settings.js';
import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/** Upper bound of every warm-up time, also of one that an entry or the settings state as longer. */
const MAX_WARMUP_MS = 3_600_000;
/**
 * Time for which a member counts as cold after a reconnection if no entry of it arrives: two of the
 * intervals at which members write their entries.
 */
const MAX_ENTRY_WAIT_MS = 2500;
/**
 * An entry of the same incarnation that arrives sooner after the connections failed may have been
 * written before a restart; members write an entry about this often.
 */
const ENTRY_INTERVAL_MS = 1200;

/** The fields of an entry that show when its member started. */
export type WarmupEntry = Pick<MemberEntry, 'incarnation' | 'sequence' | 'warmupRemainingMs'>;

/** A cold state that holds now. */
export interface ColdState {
  readonly endsAt: Milliseconds;
  /** Whether all instances learn of the same end, from the member's entry or an evacuation. */
  readonly isShared: boolean;
}

/**
 * Tracks whether one member is cold: whether it started so recently that it serves slowly.
 *
 * Its entry states the remaining time. A member that restarts under the same id is reachable before
 * its first entry arrives; until then, failed connections are the only sign of the restart.
 */
export class MemberWarmup {
  private entry: WarmupEntry | undefined;

  private entryEndsAt = toMilliseconds(0);

  /** When all connections of this instance had failed; undefined once that no longer matters. */
  private lostAt: Milliseconds | undefined;

  private reconnectedAt: Milliseconds | undefined;

  /**
   * Records an entry of the member; one that was recorded before has no effect.
   *
   * @param entry - the entry
   * @param now - when it arrived
   */
  recordEntry(entry: WarmupEntry, now: Milliseconds): void {
    const known = this.entry;
    if (known !== undefined && isRepeated(entry, known)) return;
    const endsAt = toMilliseconds(now + limitWarmup(entry.warmupRemainingMs));
    // An entry of an earlier incarnation may arrive late, and does not end the current warm-up.
    const isEarlier = known !== undefined && entry.incarnation < known.incarnation;
    this.entryEndsAt = isEarlier ? toMilliseconds(Math.max(this.entryEndsAt, endsAt)) : endsAt;
    const isSameRun = known === undefined || entry.incarnation === known.incarnation;
    this.entry = entry;
    if (this.lostAt === undefined || isEarlier) return;
    const isCurrent = this.reconnectedAt !== undefined && now - this.lostAt >= ENTRY_INTERVAL_MS;
    if (!isSameRun || isCurrent) this.lostAt = undefined;
  }

  /** Records that the last connection of this instance to the member failed. */
  recordLost(now: Milliseconds): void {
    this.lostAt = now;
    this.reconnectedAt = undefined;
  }

  /** Records that the member accepted a connection. */
  recordReconnection(now: Milliseconds): void {
    if (this.lostAt !== undefined) this.reconnectedAt ??= now;
  }

  /**
   * Finds whether the member is cold.
   *
   * @param warmup - how members of its group start; undefined if they are never cold
   * @param evacuationEndedAt - when the evacuation of its failure domain ended, if there was one
   * @param now - current time
   * @returns the cold state, or undefined if the member is warm
   */
  find(
    warmup: GroupWarmup | undefined,
    evacuationEndedAt: Milliseconds | undefined,
    now: Milliseconds,
  ): ColdState | undefined {
    if (warmup === undefined) return undefined;
    const evacuationEndsAt =
      evacuationEndedAt === undefined ? 0 : evacuationEndedAt + limitWarmup(warmup.durationMs);
    const sharedEndsAt = toMilliseconds(Math.max(this.entryEndsAt, evacuationEndsAt));
    if (sharedEndsAt > now) return { endsAt: sharedEndsAt, isShared: true };
    if (this.lostAt === undefined || this.reconnectedAt === undefined) return undefined;
    const endsAt = toMilliseconds(this.reconnectedAt + MAX_ENTRY_WAIT_MS);
    return endsAt > now ? { endsAt, isShared: false } : undefined;
  }
}

/** A listing of the store repeats entries; their remaining time counts from the first arrival. */
function isRepeated(entry: WarmupEntry, known: WarmupEntry): boolean {
  if (entry === known) return true;
  if (entry.incarnation !== known.incarnation) return false;
  const { sequence } = entry;
  return sequence !== undefined && known.sequence !== undefined && sequence <= known.sequence;
}

function limitWarmup(durationMs: number | undefined): number {
  if (durationMs === undefined || Number.isNaN(durationMs)) return 0;
  return Math.min(MAX_WARMUP_MS, Math.max(0, durationMs));
}
