/**
 * Keeps how old an instance's knowledge may be.
 *
 * The store's linearizable answer confirms what an instance holds as of the moment before the
 * question was sent. Keyed requests and reads of the latest data need a recent confirmation, so
 * that a withdrawn key or a replaced primary is not used by an instance that is cut off.
 */
import type { Milliseconds } from '../types/ids.js';

/** How old a confirmation may be for each purpose. */
export interface ConfirmationLimits {
  /** For requests that show a key. */
  readonly keyedMs: Milliseconds;
  /** For believing that a member is still the primary. */
  readonly primaryMs: Milliseconds;
  /** Above this the instance asks for no new callers. */
  readonly readyMs: Milliseconds;
}

/** The newest confirmation of one instance. */
export class Confirmation {
  private confirmedAt: Milliseconds | undefined;

  /** @param limits - how old a confirmation may be */
  constructor(private readonly limits: ConfirmationLimits) {}

  /**
   * Takes a confirmation.
   *
   * @param askedAt - moment before the question was sent
   */
  confirm(askedAt: Milliseconds): void {
    if (this.confirmedAt === undefined || askedAt > this.confirmedAt) this.confirmedAt = askedAt;
  }

  /**
   * @param now - present moment
   * @returns age of the confirmation; infinite if there was none
   */
  resolveAge(now: Milliseconds): number {
    return this.confirmedAt === undefined ? Infinity : now - this.confirmedAt;
  }

  /** @returns whether a key may still be trusted */
  mayServeKeys(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.keyedMs;
  }

  /** @returns whether the known primary may still be taken for the only one */
  mayTrustPrimary(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.primaryMs;
  }

  /** @returns whether the instance should take new callers */
  isReady(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.readyMs;
  }
}
