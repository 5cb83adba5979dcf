import type {
  GroupId,
  InstanceId,
  LogPosition,
  MemberId,
  Milliseconds,
  Term,
} from '../types/ids.js';

/** Current role of a member. */
export type MemberRole = 'primary' | 'replica' | 'fenced';

/** Status that a member reports about itself. */
export interface MemberStatus {
  readonly member: MemberId;
  readonly role: MemberRole;
  /** Term of the log that the member holds completely. */
  readonly term: Term;
  /** End of the received log. */
  readonly position: LogPosition;
  /** End of the applied log, which reads see. */
  readonly applied: LogPosition;
  /** Highest term that the member has promised; it refuses orders of lower terms. */
  readonly promisedTerm: Term;
  /** For a replica: the member that it receives the log from. */
  readonly source?: MemberId;
  /** For a primary: whether a majority of the group has responded to it recently. */
  readonly hasMajority: boolean;
  /** For a primary: number of open write transactions. */
  readonly openTransactions: number;
}

/** Last known status of a member at a watcher. */
export interface MemberView {
  readonly status: MemberStatus;
  readonly observedAt: Milliseconds;
  readonly reachable: boolean;
}

/** State of a group as observed by one watcher; sent to the instances that use the group. */
export interface GroupView {
  readonly group: GroupId;
  readonly watcher: InstanceId;
  /** Term of the known primary; the highest known term if there is none. */
  readonly term: Term;
  readonly primary: MemberId | undefined;
  /** Whether instances should delay new write transactions while the primary may change. */
  readonly holding: boolean;
  readonly members: readonly MemberStatus[];
  /** Members whose last order got a response. */
  readonly reachable: readonly MemberId[];
}

/**
 * Checks whether a received view may replace the current one: its term must not be lower.
 *
 * @param known - current view, if any
 * @param next - received view
 */
export function mayReplaceView(known: GroupView | undefined, next: GroupView): boolean {
  if (known === undefined || next.term > known.term) return true;
  return next.term === known.term;
}
