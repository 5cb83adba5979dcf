import { type Milliseconds, toMilliseconds } from '@heatherledge/core';

/**
 * Interval of checks of the store itself. Two in a row may fail before primaries are no longer
 * trusted.
 */
const DIRECT_CHECK_INTERVAL_MS = 1000;
/**
 * Interval of checks at a relay; shorter, because the relay's own check of the store may already be a
 * second old.
 */
const RELAYED_CHECK_INTERVAL_MS = 400;
/**
 * Interval of checks while a relay knows newer revisions, which the watch is about to bring, and while
 * the records of the store are incomplete.
 */
const SHORT_CHECK_INTERVAL_MS = 120;
/** Delay before the store is called again after it did not respond. */
export const RETRY_DELAY_MS = 250;

/** What an instance knows of the store and of its own view. */
export interface CheckState {
  /** Whether the store responds, itself or through a relay. */
  readonly isReachable: boolean;
  /** Whether no newer contents are known to exist and the records of the store are complete. */
  readonly isSettled: boolean;
  /** Whether this instance checks the store itself. */
  readonly isRelay: boolean;
}

/** @returns time until the next check that the view is up to date */
export function resolveCheckInterval({
  isReachable,
  isSettled,
  isRelay,
}: CheckState): Milliseconds {
  if (!isReachable) return toMilliseconds(RETRY_DELAY_MS);
  if (!isSettled) return toMilliseconds(SHORT_CHECK_INTERVAL_MS);
  return toMilliseconds(isRelay ? DIRECT_CHECK_INTERVAL_MS : RELAYED_CHECK_INTERVAL_MS);
}
