import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/**
 * Share of the bound for which the primary of an evacuated domain is still used after an instance has
 * learned of the request; the planned switchover runs meanwhile.
 */
const PRIMARY_WINDOW_RATIO = 0.4;
/** Share of the bound for which open transactions may continue. */
const TRANSACTION_WINDOW_RATIO = 0.8;
/**
 * Share of the bound after which the coordinator begins the switchover. Open transactions end meanwhile;
 * it leaves most of the primary's window to the switchover itself, which takes less than 0.1 of the bound
 * if all instances respond.
 */
const SWITCHOVER_DELAY_RATIO = 0.1;
/**
 * Share of the bound, counted from the last confirmation without the request, after which the primary is
 * no longer used. An instance that learns late has a shorter window; the rest is for the way to the member.
 */
const MAX_UNCERTAINTY_RATIO = 0.9;

/** What a member of an evacuated domain would be used for. */
export type MemberUse = 'replica' | 'primary' | 'open-transaction';

/** Until when the members of an evacuated domain may still be used, by use. */
export interface EvacuationWindow {
  /** Time from which the coordinator may replace the primary. */
  readonly switchoverFrom: Milliseconds;
  readonly primaryUntil: Milliseconds;
  readonly transactionsUntil: Milliseconds;
}

/**
 * Computes the window of an evacuation for one instance.
 *
 * @param learnedAt - when the instance learned of the request
 * @param absentAt - latest time at which the request certainly did not exist; undefined if that is not
 *   known, as at the start of a process: the request may be old, so there is no window
 * @param maxDelayMs - bound on the evacuation, in milliseconds
 * @returns the times until which members of the domain may be used
 */
export function computeEvacuationWindow(
  learnedAt: Milliseconds,
  absentAt: Milliseconds | undefined,
  maxDelayMs: Milliseconds,
): EvacuationWindow {
  if (absentAt === undefined) {
    return { switchoverFrom: learnedAt, primaryUntil: learnedAt, transactionsUntil: learnedAt };
  }
  const addRatio = (ratio: number): number => learnedAt + maxDelayMs * ratio;
  const latest = absentAt + maxDelayMs * MAX_UNCERTAINTY_RATIO;
  const primaryUntil = Math.max(learnedAt, Math.min(addRatio(PRIMARY_WINDOW_RATIO), latest));
  const switchoverFrom = Math.min(addRatio(SWITCHOVER_DELAY_RATIO), primaryUntil);
  return {
    switchoverFrom: toMilliseconds(switchoverFrom),
    primaryUntil: toMilliseconds(primaryUntil),
    transactionsUntil: toMilliseconds(addRatio(TRANSACTION_WINDOW_RATIO)),
  };
}

/**
 * Decides whether a member of an evacuated domain may still be used.
 *
 * @param use - what for
 * @param window - window of the domain's evacuation
 * @param now - current time
 */
export function isUseAllowed(use: MemberUse, window: EvacuationWindow, now: Milliseconds): boolean {
  switch (use) {
    case 'replica':
      return false;
    case 'primary':
      return now < window.primaryUntil;
    case 'open-transaction':
      return now < window.transactionsUntil;
  }
}
