/**
 * Judges whether an instance can still vouch that a key has not been withdrawn.
 *
 * Settings are written only through a few instances that are named in the settings themselves
 * (writers). As long as every one of them attests that it has written nothing since our settings
 * were current, no withdrawal can have been accepted, even while the platform is out.
 */
import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** What to do with keyed requests when freshness is lost. */
export type StalePolicy = 'refuse' | 'serve';

/** A writer's word on how long ago it last sent a write of settings. */
export interface Attestation {
  readonly writer: InstanceId;
  /** Moment of our clock before the question was sent. */
  readonly askedAt: Milliseconds;
  /** Moment of our clock at which the answer came. */
  readonly answeredAt: Milliseconds;
  /** Time before its answer in which the writer sent no write and had none unresolved. */
  readonly quietForMs: number;
}

/**
 * Longest time for which attestations stand in for the platform. An instance that is not a writer
 * may take over the writing after more than this, so that nothing is vouched for beyond it.
 */
export const ATTESTATION_HORIZON_MS = toMilliseconds(3_600_000);

/** Keeps, for each writer, up to when nothing can have been written through it. */
export class FreshnessGuard {
  private readonly coveredUntil = new Map<InstanceId, Milliseconds>();

  private freshAt: Milliseconds | undefined;

  private writers: ReadonlySet<InstanceId> = new Set();

  /**
   * @param limitMs - how long a withdrawal may go unnoticed
   * @param policy - what to do after that
   */
  constructor(
    private readonly limitMs: Milliseconds,
    private readonly policy: StalePolicy,
  ) {}

  /**
   * @param writers - instances that may write settings, by the settings in force
   */
  setWriters(writers: ReadonlySet<InstanceId>): void {
    this.writers = writers;
  }

  /**
   * Notes that our settings were seen to be the newest.
   *
   * @param at - moment of our clock at which they were current
   */
  noteFresh(at: Milliseconds): void {
    if (this.freshAt === undefined || at > this.freshAt) this.freshAt = at;
  }

  /**
   * Takes a writer's word; it extends what is covered only if it leaves no gap.
   *
   * @param attestation - the word and when it was asked for
   */
  noteAttestation(attestation: Attestation): void {
    const { writer, askedAt, answeredAt, quietForMs } = attestation;
    const covered = this.resolveCovered(writer);
    if (covered === undefined || answeredAt - quietForMs > covered || askedAt <= covered) return;
    this.coveredUntil.set(writer, askedAt);
  }

  /** @returns moment as of which no unknown withdrawal can exist, if any */
  get vouchedUntil(): Milliseconds | undefined {
    if (this.freshAt === undefined) return undefined;
    if (this.writers.size === 0) return this.freshAt;
    let until: number = this.freshAt + ATTESTATION_HORIZON_MS;
    for (const writer of this.writers) {
      until = Math.min(until, this.resolveCovered(writer) ?? -Infinity);
    }
    return toMilliseconds(until);
  }

  /**
   * @param now - present moment
   * @returns whether requests with a key may run
   */
  allowsKeys(now: Milliseconds): boolean {
    const until = this.vouchedUntil;
    if (until === undefined) return false;
    return this.policy === 'serve' || now - until <= this.limitMs;
  }

  private resolveCovered(writer: InstanceId): Milliseconds | undefined {
    const attested = this.coveredUntil.get(writer);
    if (this.freshAt === undefined) return undefined;
    return attested !== undefined && attested > this.freshAt ? attested : this.freshAt;
  }
}
