import type { QueueTicket } from '../fairness/fair-queue.js';
import type { SlotCharge } from '../fairness/slot-time-fair-queue.js';
import type { Milliseconds, OrganisationId } from '../types/ids.js';

/** A statement that needs a slot. */
export interface SlotRequest {
  /** Undefined for callers without a valid key, which share one place in the queue. */
  readonly organisation: OrganisationId | undefined;
  /** Part of the organisation relative to others under overload; positive. */
  readonly weight: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly priority: number;
  /** Time by which the reply must have arrived. */
  readonly deadline: Milliseconds;
  /** The statement is refused at once if its estimated wait is longer, in milliseconds. */
  readonly maxEstimatedWaitMs: number;
  /**
   * Whether it belongs to an open transaction, whose work would be lost: it is not displaced, and
   * waits until its deadline. False by default.
   */
  readonly isInTransaction?: boolean;
}

/** Identifies a waiting statement. */
export interface SlotTicket {
  readonly priority: number;
  readonly ticket: QueueTicket;
}

/** A statement that holds a slot. */
export interface SlotUse {
  readonly priority: number;
  readonly charge: SlotCharge;
  readonly startedAt: Milliseconds;
  /** Wait that its caller accepts, in milliseconds. */
  readonly objectiveMs: number;
}

/**
 * Creates the use of a slot by a statement that starts.
 *
 * @param priority - priority of the statement
 * @param charge - slot time charged for it
 * @param request - the wait that its caller accepts, in milliseconds
 * @param startedAt - current time
 */
export function createUse(
  priority: number,
  { organisation, costMs }: SlotCharge,
  { maxEstimatedWaitMs: objectiveMs }: Pick<SlotRequest, 'maxEstimatedWaitMs'>,
  startedAt: Milliseconds,
): SlotUse {
  return { priority, charge: { organisation, costMs }, startedAt, objectiveMs };
}

/** Why a statement is rejected. */
export type RejectionCause =
  /** Its estimated wait is too long. */
  | 'wait'
  /** The queue is full of statements that are due before it. */
  | 'full'
  /** The queue was full, and another statement took its place. */
  | 'displaced'
  /** It can no longer meet its deadline. */
  | 'deadline';

/** What a rejection tells. The statement has not been sent to the member. */
export interface RejectionDetails {
  readonly cause: RejectionCause;
  /** Time after which the statement would probably be accepted, in milliseconds. */
  readonly retryAfterMs: number;
  /** Statements that wait. */
  readonly waiting: number;
  /** Estimated wait, in milliseconds. */
  readonly estimatedWaitMs: number;
}

/** A waiting statement that was rejected. */
export interface SlotRejection extends RejectionDetails {
  readonly ticket: SlotTicket;
}

/** Decision on a statement that needs a slot. */
export type SlotDecision =
  | { readonly kind: 'granted'; readonly use: SlotUse }
  | {
      readonly kind: 'queued';
      readonly ticket: SlotTicket;
      /** Time at which it is rejected if it has not started. */
      readonly latestStart: Milliseconds;
    }
  | ({ readonly kind: 'refused' } & RejectionDetails);

/** Bounds of the time after which a refused statement is to be sent again. */
const MIN_RETRY_AFTER_MS = 50;
const MAX_RETRY_AFTER_MS = 2000;

/**
 * @param excessWaitMs - time by which the estimated wait is too long, in milliseconds
 * @returns time after which the statement is to be sent again, in milliseconds
 */
export function computeRetryAfterMs(excessWaitMs: number): number {
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, excessWaitMs));
}

/** The longest statements of the workloads take 10.8 times the mean of their class. */
const MAX_HOLD_FACTOR = 12;
/** Holds before anything was measured, too: a statement at a usual member takes at most 110 ms. */
const MIN_HOLD_MS = 150;
/** A member that never replies stops its queue for no longer than this. */
const MAX_HOLD_MS = 2000;

/**
 * Load pattern: a member loses replies, or takes seven times as long for statements of up to 270 ms.
 *
 * @param meanMs - mean slot time of statements of the class, in milliseconds; undefined if unknown
 * @returns time for which a statement without a reply holds its slot, in milliseconds
 */
export function computeMaxHoldMs(meanMs: number | undefined): number {
  return Math.min(MAX_HOLD_MS, Math.max(MIN_HOLD_MS, (meanMs ?? 0) * MAX_HOLD_FACTOR));
}
