import type { Milliseconds, OrganisationId } from '../types/ids.js';
import type { QueueTicket } from './fair-queue.js';

/** What a statement that waits tells of itself. */
export interface FairQueueRequest {
  readonly organisation: OrganisationId;
  /** Part of the organisation relative to others; positive. */
  readonly weight: number;
  /** Time by which the reply must have arrived. */
  readonly deadline: Milliseconds;
  /** Estimated wait at which a request of this kind is refused, in milliseconds. */
  readonly maxEstimatedWaitMs: number;
  /** Whether it belongs to an open transaction: it is neither removed early nor displaced. */
  readonly isInTransaction: boolean;
}

/** A request that waits. */
export interface WaitingRequest extends FairQueueRequest {
  readonly ticket: QueueTicket;
  /** Slot time that it is expected to use, in milliseconds. */
  readonly costMs: number;
  /** Latest start at which it is expected to meet its deadline. */
  readonly latestStart: Milliseconds;
}

/** Requests of one organisation, and what it is charged. */
export interface OrganisationState {
  /** Earliest deadline first. */
  readonly waiting: WaitingRequest[];
  /** Slot time of the waiting requests, in milliseconds. */
  workMs: number;
  weight: number;
  /** Virtual time at which the organisation's next request is due. */
  tag: number;
  /** Moving average of the slot time of its statements, in milliseconds. */
  averageMs: number | undefined;
}

/** Weight of the newest statement in the averages of slot time, which cover about the last ten. */
const SMOOTHING_FACTOR = 0.1;

/**
 * @param previousMs - average before, or undefined before the first value
 * @param newestMs - newest value, in milliseconds
 * @returns moving average, in milliseconds
 */
export function computeAverage(previousMs: number | undefined, newestMs: number): number {
  if (previousMs === undefined) return newestMs;
  return previousMs + SMOOTHING_FACTOR * (newestMs - previousMs);
}

/** @returns whether the first request of one organisation is due before that of another */
export function isDueBefore(left: OrganisationState, right: OrganisationState): boolean {
  if (left.tag !== right.tag) return left.tag < right.tag;
  return (left.waiting[0]?.deadline ?? Infinity) < (right.waiting[0]?.deadline ?? Infinity);
}

/** @returns virtual time that the last request of an organisation takes */
export function computeLastTag({ waiting, weight }: OrganisationState): number {
  return (waiting.at(-1)?.costMs ?? 0) / weight;
}
