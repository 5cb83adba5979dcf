import type { InstanceId, MemberId, Term } from '../types/ids.js';
import type { MemberStatus } from './group-view.js';

/** Identifies one attempt to change the primary: its term and the instance that runs it. */
export interface Ballot {
  readonly term: Term;
  readonly by: InstanceId;
}

/** A control command for a database member. */
export type MemberOrder =
  | { readonly kind: 'status' }
  /** Refuse lower terms from now on; step down as primary and stop receiving the log. */
  | { readonly kind: 'fence'; readonly ballot: Ballot }
  /** Become primary of the ballot's term, if the member has promised this ballot. */
  | { readonly kind: 'promote'; readonly ballot: Ballot }
  /** Receive the log from the primary of the term; truncate entries that the primary lacks. */
  | { readonly kind: 'follow'; readonly term: Term; readonly primary: MemberId }
  /** Start no new write transaction for `forMs` milliseconds; expires without another order. */
  | { readonly kind: 'quiesce'; readonly term: Term; readonly forMs: number };

/** A member's response to an order, with its status after the order was handled. */
export interface OrderResponse {
  readonly accepted: boolean;
  readonly status: MemberStatus;
}

/** Sends orders to members. */
export interface MemberPort {
  /**
   * @param member - member that receives the order
   * @param order - the order
   * @param timeoutMs - maximum wait for the response, in milliseconds
   * @returns the response; `refused` if the member's process is gone, so that its machine refuses
   * the connection; `silent` if nothing arrived in time
   */
  send(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderResponse | 'refused' | 'silent'>;
}
