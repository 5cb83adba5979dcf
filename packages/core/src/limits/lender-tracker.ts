import type { InstanceId, Milliseconds } from '../types/ids.js';
import type { LoanOffer } from './organisation-limiter.js';

/** Limits and timeouts for loan requests. */
export interface LenderRules {
  /** Maximum number of lenders that receive a loan request at the same time. */
  readonly fanout: number;
  /** Time after which an unanswered loan request is abandoned. */
  readonly loanRequestTimeoutMs: Milliseconds;
  /** Time for which no loan request is sent to a lender that had nothing to lend. */
  readonly emptyLenderDelayMs: Milliseconds;
  /**
   * Time for which no loan request is sent to a lender that did not answer the last two;
   * `emptyLenderDelayMs` if left out. One answer may be late because the link was being opened.
   */
  readonly silentLenderDelayMs?: Milliseconds;
  /**
   * Time after which an unanswered loan request no longer keeps others from being sent;
   * `loanRequestTimeoutMs` if left out.
   */
  readonly lateResponseMs?: Milliseconds;
}

/** Loan requests without an answer after which a lender counts as silent. */
const MIN_UNANSWERED = 2;

/** A loan request without an answer yet. */
export interface PendingLoanRequest {
  readonly lender: InstanceId;
  readonly priority: number;
  readonly sentAt: Milliseconds;
}

/** What a lender last reported; 0 tokens after a timeout or a refusal. */
interface LenderState {
  readonly spare: number;
  readonly updatedAt: Milliseconds;
  /** Priority of the request that it answered. */
  readonly priority: number;
  /** Number of loan requests in a row that were not answered. */
  readonly unanswered: number;
}

/** Tracks the lenders of one organisation's tokens, and the loan requests that wait for answers. */
export class LenderTracker {
  private readonly pending = new Map<number, PendingLoanRequest>();

  private readonly states = new Map<InstanceId, LenderState>();

  /** Other instances that hold shares; their order differs from instance to instance. */
  private lenders: readonly InstanceId[] = [];

  private near: ReadonlySet<InstanceId> = new Set();

  private nextRequestId = 1;

  /** @param rules - limits and timeouts */
  constructor(private readonly rules: LenderRules) {}

  /** @returns whether any loan request has no answer */
  get hasPendingRequests(): boolean {
    return this.pending.size > 0;
  }

  /**
   * Sets the instances that may lend; what was known of others is dropped.
   *
   * @param lenders - the instances, in the order in which they are asked
   * @param near - those of them in this instance's failure domain
   */
  setLenders(lenders: readonly InstanceId[], near: ReadonlySet<InstanceId>): void {
    this.lenders = lenders;
    this.near = near;
    const listed = new Set(lenders);
    for (const id of this.states.keys()) if (!listed.has(id)) this.states.delete(id);
  }

  /**
   * Records a loan request that is about to be sent.
   *
   * @param lender - instance that gets it
   * @param priority - priority of the requests that need the tokens
   * @param now - current time
   * @returns its number
   */
  recordRequest(lender: InstanceId, priority: number, now: Milliseconds): number {
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    this.pending.set(requestId, { lender, priority, sentAt: now });
    return requestId;
  }

  /**
   * Handles a lender's answer.
   *
   * @param requestId - number of the loan request
   * @param offer - the answer
   * @param now - current time
   * @returns the loan request, or undefined if it was abandoned; its lender counts the loan until it
   * expires
   */
  handleOffer(
    requestId: number,
    offer: LoanOffer,
    now: Milliseconds,
  ): PendingLoanRequest | undefined {
    const request = this.pending.get(requestId);
    if (request === undefined) return undefined;
    this.pending.delete(requestId);
    // A lender that granted nothing gets no request for a while, even if it holds a fraction.
    const spare = offer.loan === undefined ? 0 : offer.spare;
    const { lender, priority } = request;
    this.states.set(lender, { spare, updatedAt: now, priority, unanswered: 0 });
    return request;
  }

  /** Abandons the loan requests that were not answered in time. */
  expireRequests(now: Milliseconds): void {
    for (const [requestId, { lender, priority, sentAt }] of this.pending) {
      if (now - sentAt < this.rules.loanRequestTimeoutMs) continue;
      this.pending.delete(requestId);
      const unanswered = (this.states.get(lender)?.unanswered ?? 0) + 1;
      this.states.set(lender, { spare: 0, updatedAt: now, priority, unanswered });
    }
  }

  /** @returns whether a loan request may still be answered soon, so that others need not be sent */
  hasRecentRequest(now: Milliseconds): boolean {
    const { loanRequestTimeoutMs, lateResponseMs = loanRequestTimeoutMs } = this.rules;
    return [...this.pending.values()].some(({ sentAt }) => now - sentAt < lateResponseMs);
  }

  /**
   * Chooses near lenders first, then those that last reported the most tokens to lend; leaves out
   * lenders that recently had none, or did not answer.
   *
   * @param priority - priority of the requests that need the tokens
   * @param now - current time
   * @returns the lenders to ask
   */
  chooseLenders(priority: number, now: Milliseconds): InstanceId[] {
    const pending = new Set([...this.pending.values()].map(({ lender }) => lender));
    const candidates = this.lenders.filter(
      (id) => !pending.has(id) && this.mayAsk(this.states.get(id), priority, now),
    );
    candidates.sort((left, right) => {
      const byNearness = Number(this.near.has(right)) - Number(this.near.has(left));
      return byNearness || this.getLastSpare(right) - this.getLastSpare(left);
    });
    return candidates.slice(0, this.rules.fanout);
  }

  private mayAsk(state: LenderState | undefined, priority: number, now: Milliseconds): boolean {
    const { emptyLenderDelayMs, silentLenderDelayMs = emptyLenderDelayMs } = this.rules;
    if (state === undefined || state.spare > 0) return true;
    const ageMs = now - state.updatedAt;
    if (state.unanswered >= MIN_UNANSWERED) return ageMs >= silentLenderDelayMs;
    // A lender that keeps its tokens for more urgent requests may have some for this one.
    return priority < state.priority || ageMs >= emptyLenderDelayMs;
  }

  private getLastSpare(lender: InstanceId): number {
    return this.states.get(lender)?.spare ?? Number.MAX_VALUE;
  }
}
