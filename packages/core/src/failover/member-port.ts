/** What the proxy asks of a database member to change a group's primary. */
import type { InstanceId, MemberId, Term } from '../types/ids.js';
import type { MemberStatus } from './group-view.js';

/** Names one attempt to change the primary: a term and who tries. */
export interface Ballot {
  readonly term: Term;
  readonly by: InstanceId;
}

/** An order to a member. */
export type MemberOrder =
  | { readonly kind: 'status' }
  /** Obey no lower term from now on; stop being primary, stop receiving from one. */
  | { readonly kind: 'fence'; readonly ballot: Ballot }
  /** Become primary of the term, if this ballot holds the member's promise. */
  | { readonly kind: 'promote'; readonly ballot: Ballot }
  /** Receive the log from the primary of the term, dropping what it does not have. */
  | { readonly kind: 'follow'; readonly term: Term; readonly primary: MemberId }
  /** Start no new write transaction for a while; lapses by itself. */
  | { readonly kind: 'quiesce'; readonly term: Term; readonly forMs: number };

/** A member's answer to an order; the status is the one after it. */
export interface OrderAnswer {
  readonly accepted: boolean;
  readonly status: MemberStatus;
}

/** Carries orders to members. */
export interface MemberPort {
  /**
   * @param member - who is to obey
   * @param order - what to do
   * @param timeoutMs - how long to wait, in milliseconds
   * @returns the answer, `refused` if the member's process is gone, `silent` if nothing came
   */
  send(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderAnswer | 'refused' | 'silent'>;
}
