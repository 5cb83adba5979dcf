/** What goes into a group's watcher and what comes out of it. */
import type { FailureDomainId, GroupId, InstanceId, MemberId, Term } from '../types/ids.js';
import type { GroupView } from './group-view.js';
import type { MemberOrder } from './member-port.js';

/** Periods and bounds of a watcher, all in milliseconds. */
export interface WatcherTimings {
  /** Period of probes of the primary, and of everything while it is suspected. */
  readonly probeEveryMs: number;
  /** Period of probes of replicas, and of opinions, while all is well. */
  readonly calmEveryMs: number;
  readonly orderTimeoutMs: number;
  /** A primary without a good answer for this long is suspected. */
  readonly suspectAfterMs: number;
  /** Another watcher's opinion counts for this long. */
  readonly opinionLifeMs: number;
  /** An attempt that has not ended by then is given up. */
  readonly attemptTimeoutMs: number;
  /** Time by which watchers that suspect together act one after another. */
  readonly staggerMs: number;
  /** Longest random wait after an attempt that failed. */
  readonly backoffMs: number;
  /** How long a planned change waits for open transactions and replicas. */
  readonly handoverGraceMs: number;
}

/** Timings for distances of up to 12 ms between regions. */
export const DEFAULT_WATCHER_TIMINGS: WatcherTimings = {
  probeEveryMs: 200,
  calmEveryMs: 1000,
  orderTimeoutMs: 400,
  suspectAfterMs: 700,
  opinionLifeMs: 1500,
  attemptTimeoutMs: 1500,
  staggerMs: 400,
  backoffMs: 400,
  handoverGraceMs: 2000,
};

/** One watcher's opinion, told to the group's other watchers. */
export interface WatcherOpinion {
  readonly group: GroupId;
  readonly watcher: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly term: Term;
  readonly suspects: boolean;
}

/** What a watcher wants done. */
export type WatcherAction =
  | {
      readonly kind: 'order';
      readonly member: MemberId;
      readonly order: MemberOrder;
      readonly token: number;
    }
  | { readonly kind: 'tell'; readonly opinion: WatcherOpinion }
  | { readonly kind: 'publish'; readonly view: GroupView }
  | { readonly kind: 'log'; readonly event: WatcherEvent };

/** Something worth a line in the log. */
export interface WatcherEvent {
  readonly event: 'suspected' | 'attempt' | 'promoted' | 'attempt-failed' | 'handover';
  readonly group: GroupId;
  readonly term: Term;
  readonly member?: MemberId;
  readonly reason?: string;
}

/** Who watches what. */
export interface WatcherIdentity {
  readonly group: GroupId;
  readonly instance: InstanceId;
  readonly failureDomain: FailureDomainId;
}

/** A member as the settings have it. */
export interface WatchedMember {
  readonly id: MemberId;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
}
