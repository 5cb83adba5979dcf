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
import { LenderTracker, type LenderRules } from './lender-tracker.js';
import type { LoanId } from './token-bucket.js';
import { UrgencyReserve } from './urgency-reserve.js';

/** Identifies a waiting request. */
export type AdmissionTicket = number;

/** Limits and timeouts for requests that find no token. */
export interface AdmissionRules extends LenderRules {
  readonly loans: LoanTimings;
  /** Maximum time that a request waits for a token. */
  readonly maxWaitMs: Milliseconds;
  /** Maximum number of waiting requests; those beyond it are refused without waiting. */
  readonly maxWaitingRequests: number;
  /** Whether a request that cannot get a token before its deadline is refused at once. */
  readonly refusesUnservable?: boolean;
}

/** A loan request to send to a lender. */
export interface LoanRequest {
  readonly lender: InstanceId;
  /** Matches the lender's response to this request. */
  readonly requestId: number;
  readonly tokens: number;
  /** Priority of the requests that need the tokens; 0 is the most urgent. */
  readonly priority: number;
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
  readonly priority: number;
  readonly deadline: Milliseconds;
}

/**
 * Admits, queues or refuses the requests of one organisation at one instance, and borrows and lends
 * tokens. Does no input or output: the caller passes messages and the current time.
 */
export class AdmissionQueue {
  private readonly limiter: OrganisationLimiter;

  private readonly reserve = new UrgencyReserve();

  /** Priority with which tokens are borrowed in advance, for requests that are not known yet. */
  private leastUrgentPriority = 0;

  /** The most urgent first, and those of one priority in the order of their arrival. */
  private waiting: WaitingRequest[] = [];

  private readonly lenders: LenderTracker;

  private currentHolders: ReadonlySet<InstanceId> | undefined;

  private nextTicket = 1;

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
    this.lenders = new LenderTracker(rules);
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
    const others = [...holders].filter((id) => id !== this.self);
    const order = chooseHolders(`lender/${this.organisation}/${this.self}`, others, others.length);
    this.lenders.setLenders(order, near ?? new Set());
  }

  /**
   * Admits a request at once if a token is available and no request that is as urgent waits; queues it
   * otherwise.
   *
   * @param now - current time
   * @param priority - 0 is the most urgent; requests of which nothing is known are alike
   * @returns undefined if the request may run at once, or the ticket under which it waits
   */
  addRequest(now: Milliseconds, priority = 0): AdmissionTicket | undefined {
    this.leastUrgentPriority = Math.max(this.leastUrgentPriority, priority);
    this.limiter.recordDemand(now);
    this.reserve.recordDemand(priority, 1, now);
    const behind = this.waiting.findIndex((other) => other.priority > priority);
    const index = behind < 0 ? this.waiting.length : behind;
    if (index === 0 && this.admitOne(priority, now)) return undefined;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    const deadline = toMilliseconds(now + this.rules.maxWaitMs);
    this.waiting.splice(index, 0, { ticket, priority, deadline });
    return ticket;
  }

  /**
   * Admits and refuses waiting requests, expires unanswered loan requests and creates new ones.
   *
   * @param now - current time
   * @returns actions to carry out
   */
  step(now: Milliseconds): AdmissionActions {
    this.lenders.expireRequests(now);
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
    const request = this.lenders.handleOffer(requestId, offer, now);
    if (request === undefined) return;
    if (offer.loan !== undefined) {
      this.limiter.addLoan(request.lender, offer.loan, request.sentAt, now);
    }
  }

  /**
   * Handles another instance's loan request.
   *
   * @param tokens - tokens requested
   * @param now - current time
   * @param priority - priority of the requests that need them; 0 is the most urgent
   * @returns the response
   */
  handleLoanRequest(tokens: number, now: Milliseconds, priority = 0): LoanOffer {
    this.reserve.recordDemand(priority, tokens, now);
    return this.limiter.lend(tokens, now, this.computeReserve(priority, now));
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
    return this.waiting.length > 0 || this.lenders.hasPendingRequests;
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
      if (first === undefined || !this.admitOne(first.priority, now)) return admitted;
      this.waiting.shift();
      admitted.push(first.ticket);
    }
  }

  private admitOne(priority: number, now: Milliseconds): boolean {
    return this.limiter.admit(now, this.computeReserve(priority, now));
  }

  private computeReserve(priority: number, now: Milliseconds): number {
    return this.reserve.computeReserve(priority, this.limiter.share, now);
  }

  /** Refuses the least urgent beyond the maximum queue length, and requests past their deadlines. */
  private refuseExpired(now: Milliseconds): AdmissionRefusal[] {
    const refused: WaitingRequest[] = this.waiting.splice(this.rules.maxWaitingRequests);
    this.waiting = this.waiting.filter((request) => {
      if (request.deadline <= now) refused.push(request);
      return request.deadline > now;
    });
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
    const [first] = this.waiting;
    if (first === undefined || this.lenders.hasRecentRequest(now)) return [];
    if (this.lenders.chooseLenders(first.priority, now).length > 0) return [];
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
    if (this.lenders.hasRecentRequest(now)) return [];
    const priority = this.waiting[0]?.priority ?? this.leastUrgentPriority;
    // Less urgent requests get a loan request of their own, since the lender treats them differently.
    const waiting = this.waiting.filter((request) => request.priority === priority).length;
    const shortfall = this.limiter.computeShortfall(waiting, now);
    if (shortfall <= 0) return [];
    const candidates = this.lenders.chooseLenders(priority, now);
    const { lenders, tokens } = this.divideShortfall(shortfall, waiting, candidates);
    return lenders.map((lender) => {
      const requestId = this.lenders.recordRequest(lender, priority, now);
      return { lender, requestId, tokens, priority };
    });
  }

  /**
   * Divides the tokens to borrow among lenders. If loans are multiples of a unit, chooses at most
   * as many lenders as units are needed.
   */
  private divideShortfall(
    shortfall: number,
    waiting: number,
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
    const units = Math.max(Math.ceil(waiting / unit), Math.floor(shortfall / unit));
    const lenders = candidates.slice(0, units);
    return { lenders, tokens: Math.ceil(units / Math.max(1, lenders.length)) * unit };
  }
}
