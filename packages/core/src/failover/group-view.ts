/** What is known of a database group, as told by its watchers. */
import type {
  GroupId,
  InstanceId,
  LogPosition,
  MemberId,
  Milliseconds,
  Term,
} from '../types/ids.js';

/** Part that a member plays at present. */
export type MemberRole = 'primary' | 'replica' | 'fenced';

/** A member's own account of itself. */
export interface MemberStatus {
  readonly member: MemberId;
  readonly role: MemberRole;
  /** Term of the log that the member holds in full. */
  readonly term: Term;
  /** End of the received log. */
  readonly position: LogPosition;
  /** End of the log that reads see. */
  readonly applied: LogPosition;
  /** Highest term that the member has promised; it obeys no lower one. */
  readonly promisedTerm: Term;
  /** Member that a replica receives its log from. */
  readonly source?: MemberId;
  /** For a primary: whether a majority of the group has answered it of late. */
  readonly hasMajority: boolean;
  /** For a primary: write transactions that are open. */
  readonly openTransactions: number;
}

/** A member as last seen by a watcher. */
export interface MemberView {
  readonly status: MemberStatus;
  readonly observedAt: Milliseconds;
  readonly reachable: boolean;
}

/** A group as one watcher sees it; sent to the instances that use the group. */
export interface GroupView {
  readonly group: GroupId;
  readonly watcher: InstanceId;
  /** Highest term with a primary known. */
  readonly term: Term;
  readonly primary: MemberId | undefined;
  /** New write transactions are to be held back briefly. */
  readonly holding: boolean;
  readonly members: readonly MemberStatus[];
  /** Members that the watcher reaches at present. */
  readonly reachable: readonly MemberId[];
}

/**
 * Tells whether a view says something newer of the primary than what is known.
 *
 * @param known - view in use, if any
 * @param next - view that came in
 * @returns whether the next view may replace the known one
 */
export function isNewerView(known: GroupView | undefined, next: GroupView): boolean {
  if (known === undefined || next.term > known.term) return true;
  return next.term === known.term;
}
