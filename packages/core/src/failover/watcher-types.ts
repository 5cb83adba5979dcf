import type { FailureDomainId, GroupId, InstanceId, MemberId, Term } from '../types/ids.js';
import type { GroupView } from './group-view.js';
import type { MemberOrder } from './member-port.js';

/** Intervals and timeouts of a watcher, in milliseconds. */
export interface WatcherTimings {
  /** Interval of probes of the primary, and of all members unless the primary is healthy. */
  readonly probeEveryMs: number;
  /** Interval of replica probes and suspicion reports while the primary is healthy. */
  readonly healthyIntervalMs: number;
  /** Maximum wait for a member's response to an order. */
  readonly orderTimeoutMs: number;
  /** A primary without a healthy response for this long is suspected. */
  readonly suspectAfterMs: number;
  /** How long another watcher's suspicion report counts. */
  readonly suspicionTtlMs: number;
  /** An attempt to change the primary fails after this time. */
  readonly attemptTimeoutMs: number;
  /** Delay between the attempts of watchers that suspect the primary at the same time. */
  readonly staggerMs: number;
  /** Maximum random delay after a failed attempt. */
  readonly maxBackoffMs: number;
  /** Maximum wait of a planned change for open transactions and for a replica to catch up. */
  readonly handoverGraceMs: number;
}

/** Timings for latencies of up to 12 ms between regions. */
export const DEFAULT_WATCHER_TIMINGS: WatcherTimings = {
  probeEveryMs: 200,
  healthyIntervalMs: 1000,
  orderTimeoutMs: 400,
  suspectAfterMs: 700,
  suspicionTtlMs: 1500,
  attemptTimeoutMs: 1500,
  staggerMs: 400,
  maxBackoffMs: 400,
  handoverGraceMs: 2000,
};

/** Report whether a watcher suspects the primary; sent to the group's other watchers. */
export interface SuspicionReport {
  readonly group: GroupId;
  readonly watcher: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly term: Term;
  readonly suspects: boolean;
}

/** Action to be carried out by the component that runs the watcher. */
export type WatcherAction =
  /** Send an order to a member. */
  | {
      readonly kind: 'order';
      readonly member: MemberId;
      readonly order: MemberOrder;
      /** Identifies the order when its response is passed back. */
      readonly token: number;
    }
  /** Send the suspicion report to the group's other watchers. */
  | { readonly kind: 'tell'; readonly opinion: SuspicionReport }
  /** Send the view to the instances that use the group. */
  | { readonly kind: 'publish'; readonly view: GroupView }
  | { readonly kind: 'log'; readonly event: WatcherEvent };

/** A log event of a watcher. */
export interface WatcherEvent {
  readonly event: 'suspected' | 'attempt' | 'promoted' | 'attempt-failed' | 'handover';
  readonly group: GroupId;
  readonly term: Term;
  readonly member?: MemberId;
  readonly reason?: string;
}

/** The watched group, and the instance that watches it. */
export interface WatcherIdentity {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
}

/** A member according to the settings. */
export interface WatchedMember {
  readonly id: MemberId;
  readonly failureDomain: FailureDomainId;
  /** Whether the member is being removed; a primary that leaves is replaced. */
  readonly leaving: boolean;
}
