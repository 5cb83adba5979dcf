import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** What to do with requests that carry a key while the settings are stale. */
export type StalePolicy = 'refuse' | 'serve';

/** A writer's statement that it has written no settings for some time. */
export interface Attestation {
  readonly writer: InstanceId;
  /** Time of the local clock before the request was sent. */
  readonly requestedAt: Milliseconds;
  /** Time of the local clock at which the response arrived. */
  readonly receivedAt: Milliseconds;
  /** Time before its response in which the writer sent no write and had none unresolved. */
  readonly quietForMs: number;
}

/**
 * Maximum time for which attestations replace a confirmation by the platform. After a longer time an
 * instance that is not a writer may take over the writing, so the writers' attestations no longer
 * exclude a withdrawal.
 */
export const MAX_ATTESTED_PERIOD_MS = toMilliseconds(3_600_000);

/**
 * Checks whether an instance can still rule out that it has missed the withdrawal of a key.
 *
 * Settings are written only through a few instances that are listed in the settings themselves, the
 * writers. As long as every writer attests that it has written nothing since the local settings were
 * current, no withdrawal can have been accepted, even during a platform outage.
 */
export class FreshnessGuard {
  /** Time up to which each writer is known to have written nothing. */
  private readonly coveredUntil = new Map<InstanceId, Milliseconds>();

  /** Time up to which the local settings are known to have been the newest. */
  private freshUntil: Milliseconds | undefined;

  private writers: ReadonlySet<InstanceId> = new Set();

  /**
   * @param limitMs - maximum time for which a withdrawal may go unnoticed
   * @param policy - what to do after that time
   */
  constructor(
    private readonly limitMs: Milliseconds,
    private readonly policy: StalePolicy,
  ) {}

  /** @param writers - instances that may write settings, by the settings in force */
  setWriters(writers: ReadonlySet<InstanceId>): void {
    this.writers = writers;
  }

  /**
   * Records that the local settings were confirmed as the newest.
   *
   * @param at - time of the local clock at which they were current
   */
  recordFreshness(at: Milliseconds): void {
    if (this.freshUntil === undefined || at > this.freshUntil) this.freshUntil = at;
  }

  /**
   * Extends the period in which a writer is known to have written nothing. An attestation that
   * leaves a gap after that period is ignored.
   *
   * @param attestation - the attestation
   */
  addAttestation(attestation: Attestation): void {
    const { writer, requestedAt, receivedAt, quietForMs } = attestation;
    const until = this.getCoveredUntil(writer);
    if (until === undefined || receivedAt - quietForMs > until || requestedAt <= until) return;
    this.coveredUntil.set(writer, requestedAt);
  }

  /**
   * @returns time up to which every withdrawal is known, or undefined if the settings were never
   * confirmed as the newest
   */
  get withdrawalsKnownUntil(): Milliseconds | undefined {
    if (this.freshUntil === undefined) return undefined;
    if (this.writers.size === 0) return this.freshUntil;
    let until: number = this.freshUntil + MAX_ATTESTED_PERIOD_MS;
    for (const writer of this.writers) {
      until = Math.min(until, this.getCoveredUntil(writer) ?? -Infinity);
    }
    return toMilliseconds(until);
  }

  /**
   * @param now - current time
   * @returns whether requests that carry a key may run
   */
  allowsKeys(now: Milliseconds): boolean {
    const until = this.withdrawalsKnownUntil;
    if (until === undefined) return false;
    return this.policy === 'serve' || now - until <= this.limitMs;
  }

  private getCoveredUntil(writer: InstanceId): Milliseconds | undefined {
    const attested = this.coveredUntil.get(writer);
    if (this.freshUntil === undefined) return undefined;
    return attested !== undefined && attested > this.freshUntil ? attested : this.freshUntil;
  }
}
