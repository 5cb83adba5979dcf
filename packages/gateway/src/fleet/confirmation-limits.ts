import { type ConfirmationLimits, type Milliseconds, toMilliseconds } from '@heatherledge/core';

/** Maximum time between the last check of a statement's key and its arrival at a member. */
const KEY_CHECK_MARGIN_MS = 1000;
/**
 * Maximum age of the store's confirmation at which the known primary is trusted; a change of
 * primary waits as long for instances that do not acknowledge the suspension of the old one.
 */
const MAX_PRIMARY_CONFIRMATION_AGE_MS = 2800;
/** Maximum age of the store's confirmation at which the instance is ready for new callers. */
const MAX_READY_CONFIRMATION_AGE_MS = 2600;

/**
 * Resolves the maximum age of the store's confirmation for each purpose.
 *
 * @param maxKeyRevocationDelayMs - time within which the withdrawal of a key must take effect
 * @returns the limits
 */
export function resolveConfirmationLimits(
  maxKeyRevocationDelayMs: Milliseconds,
): ConfirmationLimits {
  const maxKeyedAgeMs = toMilliseconds(maxKeyRevocationDelayMs - KEY_CHECK_MARGIN_MS);
  return {
    maxKeyedAgeMs,
    maxPrimaryAgeMs: toMilliseconds(Math.min(MAX_PRIMARY_CONFIRMATION_AGE_MS, maxKeyedAgeMs)),
    maxReadyAgeMs: toMilliseconds(MAX_READY_CONFIRMATION_AGE_MS),
  };
}
