import { chooseHolders } from '../routing/rendezvous.js';
import type { InstanceId, Milliseconds, OrganisationId } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { Settlement } from './borrowed-tokens.js';
import {
  type LimiterState,
  type LoanOffer,
  type LoanTimings,
  OrganisationLimiter,
} from './organisation-limiter.js';
import type { LoanId } from './token-bucket.js';

/** Identifies a waiting request. */
export type AdmissionTicket = number;

/** Limits and timeouts for requests that find no token. */
export interface AdmissionRules {
  readonly loans: LoanTimings;
  /** Maximum number of lenders that receive a loan request at the same time. */
  readonly fanout: number;
  /** Maximum time that a request waits for a token. */
  readonly maxWaitMs: Milliseconds;
  /** Maximum number of waiting requests; those beyond it are refused without waiting. */
  readonly maxWaitingRequests: number;
  /** Time after which an unanswered loan request is abandoned. */
  readonly loanRequestTimeoutMs: Milliseconds;
  /** Time for which no loan request is sent to a lender that had nothing to lend. */
  readonly emptyLenderDelayMs: Milliseconds;
  /** Whether a request that cannot get a token before its deadline is refused at once. */
  readonly refusesUnservable?: boolean;
}

/** A loan request to send to a lender. */
export interface LoanRequest {
  readonly lender: InstanceId;
  /** Matches the lender's response to this request. */
  readonly requestId: number;
  readonly tokens: number;
}

/** A refused request. */
export interface AdmissionRefusal {
  readonly ticket: AdmissionTicket;
  /** Time after which a retry may succeed, for the hint to the caller. */
  readonly retryAfterMs: number;
}

/** Actions for the caller of {@link AdmissionQueue.step} to carry out. */
export interface AdmissionActions {
  readonly admitted: readonly AdmissionTicket[];
  readonly refused: readonly AdmissionRefusal[];
  readonly loanRequests: readonly LoanRequest[];
  readonly settlements: readonly Settlement[];
}

/** One instance's share of an organisation's rate. */
export interface RateShare {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Tokens available at once when the first share is set. */
  readonly initialTokens?: number;
  /** Instances that hold shares; the same set object as long as they do not change. */
  readonly holders: ReadonlySet<InstanceId>;
  /** Holders near this instance; they receive loan requests before the others. */
  readonly near?: ReadonlySet<InstanceId>;
}

interface WaitingRequest {
  readonly ticket: AdmissionTicket;
  readonly deadline: Milliseconds;
}

interface PendingLoanRequest {
  readonly lender: InstanceId;
  readonly sentAt: Milliseconds;
}

/** What a lender last reported; 0 tokens after a timeout or a refusal. */
interface LenderState {
  readonly spare: number;
  readonly updatedAt: Milliseconds;
}

/**
 * Admits, queues or refuses the requests of one organisation at one instance, and borrows and lends
 * tokens. Does no input or output: the caller passes messages and the current time.
 */
export class AdmissionQueue {
  private readonly limiter: OrganisationLimiter;

  private waiting: WaitingRequest[] = [];

  private readonly pendingLoanRequests = new Map<number, PendingLoanRequest>();

  private readonly lenderStates = new Map<InstanceId, LenderState>();

  /** Other instances that hold shares; their order differs from instance to instance. */
  private lenders: readonly InstanceId[] = [];

  private nearHolders: ReadonlySet<InstanceId> = new Set();

  private currentHolders: ReadonlySet<InstanceId> | undefined;

  private nextTicket = 1;

  private nextRequestId = 1;

  /**
   * @param self - this instance
   * @param organisation - organisation that the requests belong to
   * @param rules - limits and timeouts
   * @param unusedSince - time since which no token of this instance's share was spent, if known
   */
  constructor(
    private readonly self: InstanceId,
    private readonly organisation: OrganisationId,
    private readonly rules: AdmissionRules,
    unusedSince?: Milliseconds,
  ) {
    this.limiter = new OrganisationLimiter(rules.loans, unusedSince);
  }

  /**
   * Sets this instance's share and the lenders.
   *
   * @param share - the share and the instances that hold the others
   * @param now - current time
   */
  setShare(share: RateShare, now: Milliseconds): void {
    const { ratePerSecond, burst, initialTokens = 0, holders, near } = share;
    this.limiter.setShare(ratePerSecond, burst, now, initialTokens);
    if (holders === this.currentHolders) return;
    this.currentHolders = holders;
    this.nearHolders = near ?? new Set();
    const others = [...holders].filter((id) => id !== this.self);
    this.lenders = chooseHolders(`lender/${this.organisation}/${this.self}`, others, others.length);
  }

  /**
   * Admits a request at once if a token is available and no other request waits; queues it
   * otherwise.
   *
   * @param now - current time
   * @returns undefined if the request may run at once, or the ticket under which it waits
   */
  addRequest(now: Milliseconds): AdmissionTicket | undefined {
    this.limiter.recordDemand(now);
    if (this.waiting.length === 0 && this.limiter.admit(now)) return undefined;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    this.waiting.push({ ticket, deadline: toMilliseconds(now + this.rules.maxWaitMs) });
    return ticket;
  }

  /**
   * Admits and refuses waiting requests, expires unanswered loan requests and creates new ones.
   *
   * @param now - current time
   * @returns actions to carry out
   */
  step(now: Milliseconds): AdmissionActions {
    this.expireLoanRequests(now);
    const admitted = this.admitWaiting(now);
    const expired = this.refuseExpired(now);
    const loanRequests = this.createLoanRequests(now);
    const refused = [...expired, ...this.refuseUnservable(now)];
    return {
      admitted,
      refused,
      loanRequests,
      settlements: this.limiter.takeSettlements(),
    };
  }

  /**
   * Handles a lender's response.
   *
   * @param requestId - identifies the loan request
   * @param offer - the response
   * @param now - current time
   */
  handleOffer(requestId: number, offer: LoanOffer, now: Milliseconds): void {
    const request = this.pendingLoanRequests.get(requestId);
    // A response after the timeout is ignored; its lender counts the loan until it expires.
    if (request === undefined) return;
    this.pendingLoanRequests.delete(requestId);
    // A lender that granted nothing gets no request for a while, even if it holds a fraction.
    const spare = offer.loan === undefined ? 0 : offer.spare;
    this.lenderStates.set(request.lender, { spare, updatedAt: now });
    if (offer.loan !== undefined) {
      this.limiter.addLoan(request.lender, offer.loan, request.sentAt, now);
    }
  }

  /**
   * Handles another instance's loan request.
   *
   * @param tokens - tokens requested
   * @param now - current time
   * @returns the response
   */
  handleLoanRequest(tokens: number, now: Milliseconds): LoanOffer {
    return this.limiter.lend(tokens, now);
  }

  /**
   * Ends a loan that this instance has granted.
   *
   * @param loan - the loan
   * @param unspent - tokens that the borrower returns
   * @param now - current time
   */
  handleSettlement(loan: LoanId, unspent: number, now: Milliseconds): void {
    this.limiter.settleLoan(loan, unspent, now);
  }

  /**
   * Returns all borrowed tokens; the next {@link step} reports the settlements.
   *
   * @param now - current time
   */
  returnLoans(now: Milliseconds): void {
    this.limiter.returnLoans(now);
  }

  /** @returns whether {@link step} must be called again even if no further request arrives */
  get hasPendingWork(): boolean {
    return this.waiting.length > 0 || this.pendingLoanRequests.size > 0;
  }

  /** @returns number of waiting requests */
  get waitingCount(): number {
    return this.waiting.length;
  }

  /**
   * @param now - current time
   * @returns token counts and demand for the state dump
   */
  describe(now: Milliseconds): LimiterState {
    return this.limiter.describe(now);
  }

  private admitWaiting(now: Milliseconds): AdmissionTicket[] {
    const admitted: AdmissionTicket[] = [];
    for (;;) {
      const first = this.waiting[0];
      if (first === undefined || !this.limiter.admit(now)) return admitted;
      this.waiting.shift();
      admitted.push(first.ticket);
    }
  }

  /** Refuses the requests beyond the maximum queue length and those past their deadlines. */
  private refuseExpired(now: Milliseconds): AdmissionRefusal[] {
    const refused: WaitingRequest[] = this.waiting.splice(this.rules.maxWaitingRequests);
    while (this.waiting[0] !== undefined && this.waiting[0].deadline <= now) {
      refused.push(...this.waiting.splice(0, 1));
    }
    const retryAfterMs = refused.length === 0 ? 0 : this.limiter.computeRetryAfterMs(now);
    return refused.map(({ ticket }) => ({ ticket, retryAfterMs }));
  }

  /**
   * Refuses at once the requests that cannot get a token before their deadlines: every lender has
   * just had none to lend, and this instance's share refills too slowly. This occurs when one
   * organisation sends requests at many times its rate.
   */
  private refuseUnservable(now: Milliseconds): AdmissionRefusal[] {
    if (this.rules.refusesUnservable !== true) return [];
    if (this.waiting.length === 0 || this.pendingLoanRequests.size > 0) return [];
    if (this.chooseLenders(now).length > 0) return [];
    const retryAfterMs = this.limiter.computeRetryAfterMs(now);
    const refused: AdmissionRefusal[] = [];
    this.waiting = this.waiting.filter(({ ticket, deadline }, index) => {
      const isUnservable = now + retryAfterMs * (index + 1) > deadline;
      if (isUnservable) refused.push({ ticket, retryAfterMs });
      return !isUnservable;
    });
    return refused;
  }

  private createLoanRequests(now: Milliseconds): LoanRequest[] {
    if (this.pendingLoanRequests.size > 0) return [];
    const shortfall = this.limiter.computeShortfall(this.waiting.length, now);
    if (shortfall <= 0) return [];
    const { lenders, tokens } = this.divideShortfall(shortfall, this.chooseLenders(now));
    return lenders.map((lender) => {
      const requestId = this.nextRequestId;
      this.nextRequestId += 1;
      this.pendingLoanRequests.set(requestId, { lender, sentAt: now });
      return { lender, requestId, tokens };
    });
  }

  /**
   * Divides the tokens to borrow among lenders. If loans are multiples of a unit, chooses at most
   * as many lenders as units are needed.
   */
  private divideShortfall(
    shortfall: number,
    candidates: readonly InstanceId[],
  ): { lenders: readonly InstanceId[]; tokens: number } {
    const unit = this.rules.loans.loanUnitTokens ?? 0;
    if (unit <= 0) {
      return {
        lenders: candidates,
        tokens: Math.max(1, shortfall) / Math.max(1, candidates.length),
      };
    }
    // Rounds down the expected demand: at an instance that gets few of an organisation's requests, a
    // token borrowed in advance would expire unused.
    const units = Math.max(Math.ceil(this.waiting.length / unit), Math.floor(shortfall / unit));
    const lenders = candidates.slice(0, units);
    return { lenders, tokens: Math.ceil(units / Math.max(1, lenders.length)) * unit };
  }

  /**
   * Chooses near lenders first, then those that last reported the most tokens to lend; leaves out
   * lenders that recently had none.
   */
  private chooseLenders(now: Milliseconds): InstanceId[] {
    const { emptyLenderDelayMs, fanout } = this.rules;
    const candidates = this.lenders.filter((id) => {
      const state = this.lenderStates.get(id);
      return state === undefined || state.spare > 0 || now - state.updatedAt >= emptyLenderDelayMs;
    });
    candidates.sort((left, right) => {
      const byNearness = Number(this.nearHolders.has(right)) - Number(this.nearHolders.has(left));
      return byNearness || this.getLastSpare(right) - this.getLastSpare(left);
    });
    return candidates.slice(0, fanout);
  }

  private getLastSpare(lender: InstanceId): number {
    return this.lenderStates.get(lender)?.spare ?? Number.MAX_VALUE;
  }

  private expireLoanRequests(now: Milliseconds): void {
    for (const [requestId, { lender, sentAt }] of this.pendingLoanRequests) {
      if (now - sentAt < this.rules.loanRequestTimeoutMs) continue;
      this.pendingLoanRequests.delete(requestId);
      this.lenderStates.set(lender, { spare: 0, updatedAt: now });
    }
  }
}
