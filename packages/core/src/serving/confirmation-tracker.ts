import type { Milliseconds } from '../types/ids.js';

/** Maximum age of a confirmation, by purpose. */
export interface ConfirmationLimits {
  /** For serving requests that carry a key. */
  readonly maxKeyedAgeMs: Milliseconds;
  /** For relying on the known primary of a group. */
  readonly maxPrimaryAgeMs: Milliseconds;
  /** For readiness: from this age the instance reports that it is not ready for new callers. */
  readonly maxReadyAgeMs: Milliseconds;
}

/**
 * Tracks when the store last confirmed what an instance holds.
 *
 * A linearizable response of the store confirms the instance's state as of the time just before the
 * request was sent. Requests with a key and reads of the latest data need a recent confirmation, so
 * that an instance that is cut off from the store uses no withdrawn key and no replaced primary.
 */
export class ConfirmationTracker {
  private confirmedAt: Milliseconds | undefined;

  /** @param limits - maximum age of a confirmation, by purpose */
  constructor(private readonly limits: ConfirmationLimits) {}

  /**
   * Records a confirmation; one that is older than the last is ignored.
   *
   * @param sentAt - time just before the request to the store was sent
   */
  confirm(sentAt: Milliseconds): void {
    if (this.confirmedAt === undefined || sentAt > this.confirmedAt) this.confirmedAt = sentAt;
  }

  /**
   * @param now - current time
   * @returns age of the last confirmation in milliseconds, infinite if there was none
   */
  resolveAge(now: Milliseconds): number {
    return this.confirmedAt === undefined ? Infinity : now - this.confirmedAt;
  }

  /** @returns whether requests that carry a key may be served */
  mayServeKeyedRequests(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.maxKeyedAgeMs;
  }

  /** @returns whether the known primary of a group may still be treated as its only one */
  mayTrustPrimary(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.maxPrimaryAgeMs;
  }

  /** @returns whether the instance should accept new callers */
  isReady(now: Milliseconds): boolean {
    return this.resolveAge(now) < this.limits.maxReadyAgeMs;
  }
}
