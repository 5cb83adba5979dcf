import type { MemberId, RejectionCause, TransactionRejectionCause } from '@heatherledge/core';
import type { AcquireFailure } from '../members/connection-wait-queue.js';
import { type AccessRefusal, createRefusal } from './member-access.js';

/** Why a request was rejected at a member's queue, or for want of a connection. */
export type OverloadCause = RejectionCause | TransactionRejectionCause | 'connections';

/** A rejection at a member's queue; the request has not been sent to the member. */
export interface OverloadRejection {
  readonly kind: 'timeout' | 'overloaded';
  readonly cause: OverloadCause;
  /** Expected time until the request would be accepted, in milliseconds. */
  readonly retryAfterMs: number;
  /** Statements that wait for the member; undefined if they are not the cause. */
  readonly waiting?: number;
  /** Estimated wait for a slot, in milliseconds. */
  readonly estimatedWaitMs?: number;
}

/** Receives what happens to requests at the members' queues. */
export interface SlotObserver {
  onAdmitted(priority: number, waitMs: number): void;
  onRejected(member: MemberId, priority: number, rejection: OverloadRejection): void;
}

/** Observer for tests and tools that keep no metrics. */
export const SILENT_OBSERVER: SlotObserver = { onAdmitted: () => {}, onRejected: () => {} };

/** Maximum random part of a retry-after time; the minimum is the estimate itself. */
const RETRY_JITTER_RATIO = 0.5;

const CAUSE_TEXTS: Readonly<Record<OverloadCause, string>> = {
  wait: 'the queue for the member is too long',
  full: 'the queue for the member is full',
  displaced: 'the queue for the member is full of more urgent requests',
  deadline: 'the queue for the member is too slow for the objective',
  'transaction-share': "the organisation's open transactions hold their share of the connections",
  'transaction-limit': 'open transactions hold the connections to the member',
  connections: 'no connection to the member is free',
};

/**
 * Creates the refusal of a request that was rejected for overload.
 *
 * @param rejection - why, and when to return
 * @param random - source of random numbers in [0, 1)
 * @returns the refusal, whose text names the time after which to send the request again
 */
export function createOverloadRefusal(
  { kind, cause, retryAfterMs }: OverloadRejection,
  random: () => number,
): AccessRefusal {
  // The random part spreads the callers that were refused together.
  const delayMs = Math.round(retryAfterMs * (1 + RETRY_JITTER_RATIO * random()));
  const reason = kind === 'timeout' ? 'no connection: timeout' : CAUSE_TEXTS[cause];
  return createRefusal(kind, 'busy', `${reason}; retry after ${delayMs} ms`);
}

/** @returns the rejection if a connection was refused because all are in use, otherwise undefined */
export function findConnectionRejection(
  reason: AcquireFailure,
  retryAfterMs: number | undefined,
): OverloadRejection | undefined {
  if (retryAfterMs === undefined) return undefined;
  if (reason !== 'timeout' && reason !== 'overloaded') return undefined;
  return { kind: reason, cause: 'connections', retryAfterMs };
}
