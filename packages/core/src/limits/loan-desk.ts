import { chooseHolders } from '../routing/rendezvous.js';
import type { InstanceId, Milliseconds, OrganisationId } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { Settlement } from './loan-wallet.js';
import {
  type LimiterState,
  type LoanOffer,
  type LoanTimings,
  OrganisationLimiter,
} from './organisation-limiter.js';
import type { LoanId } from './token-slice.js';

/** Identifies a waiting request. */
export type DeskTicket = number;

/** Limits and timeouts for requests that find no token. */
export interface DeskRules {
  readonly loans: LoanTimings;
  /** Maximum number of lenders that receive a loan request at the same time. */
  readonly fanout: number;
  /** Maximum time that a request waits for a token. */
  readonly longestWaitMs: Milliseconds;
  /** Maximum number of waiting requests; those beyond it are refused without waiting. */
  readonly mostWaiting: number;
  /** Time after which an unanswered loan request is abandoned. */
  readonly askTimeoutMs: Milliseconds;
  /** Time for which no loan request is sent to a lender that had nothing to lend. */
  readonly emptyLenderMs: Milliseconds;
  /** Whether a request that cannot get a token before its deadline is refused at once. */
  readonly refusesHopeless?: boolean;
}

/** A loan request to send to a lender. */
export interface LoanQuestion {
  readonly lender: InstanceId;
  /** Matches the lender's response to this request. */
  readonly ask: number;
  readonly tokens: number;
}

/** A refused request. */
export interface DeskRefusal {
  readonly ticket: DeskTicket;
  /** Time after which a retry may succeed, for the hint to the caller. */
  readonly retryAfterMs: number;
}

/** Actions for the caller of {@link AdmissionQueue.step} to carry out. */
export interface DeskActions {
  readonly admitted: readonly DeskTicket[];
  readonly refused: readonly DeskRefusal[];
  readonly questions: readonly LoanQuestion[];
  readonly settlements: readonly Settlement[];
}

/** One instance's share of an organisation's rate. */
export interface DeskPart {
  readonly ratePerSecond: number;
  readonly burst: number;
  /** Tokens available at once when the first share is set. */
  readonly startTokens?: number;
  /** Instances that hold shares; the same set object as long as they do not change. */
  readonly holders: ReadonlySet<InstanceId>;
  /** Those of them that receive loan requests before the others. */
  readonly near?: ReadonlySet<InstanceId>;
}

interface WaitingRequest {
  readonly ticket: DeskTicket;
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
export class LoanDesk {
  private readonly limiter: OrganisationLimiter;

  private waiting: WaitingRequest[] = [];

  private readonly pendingLoanRequests = new Map<number, PendingLoanRequest>();

  private readonly lenderStates = new Map<InstanceId, LenderState>();

  /** Other instances that hold shares; their order differs from instance to instance. */
  private lenders: readonly InstanceId[] = [];

  private preferredLenders: ReadonlySet<InstanceId> = new Set();

  private currentHolders: ReadonlySet<InstanceId> | undefined;

  private nextTicket = 1;

  private nextRequestId = 1;

  /**
   * @param self - this instance
   * @param organisation - organisation that the requests belong to
   * @param rules - limits and timeouts
   * @param unusedSince - time since which no token of the own share was spent, if known
   */
  constructor(
    private readonly self: InstanceId,
    private readonly organisation: OrganisationId,
    private readonly rules: DeskRules,
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
  resize(share: DeskPart, now: Milliseconds): void {
    const { ratePerSecond, burst, startTokens: initialTokens = 0, holders, near } = share;
    this.limiter.resize(ratePerSecond, burst, now, initialTokens);
    if (holders === this.currentHolders) return;
    this.currentHolders = holders;
    this.preferredLenders = near ?? new Set();
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
  request(now: Milliseconds): DeskTicket | undefined {
    this.limiter.noteDemand(now);
    if (this.waiting.length === 0 && this.limiter.admit(now)) return undefined;
    const ticket = this.nextTicket;
    this.nextTicket += 1;
    this.waiting.push({ ticket, deadline: toMilliseconds(now + this.rules.longestWaitMs) });
    return ticket;
  }

  /**
   * Admits and refuses waiting requests, expires unanswered loan requests and creates new ones.
   *
   * @param now - current time
   * @returns actions to carry out
   */
  step(now: Milliseconds): DeskActions {
    this.expireLoanRequests(now);
    const admitted = this.admitWaiting(now);
    const expired = this.refuseExpired(now);
    const loanRequests = this.createLoanRequests(now);
    const refused = [...expired, ...this.refuseUnservable(now)];
    return {
      admitted,
      refused,
      questions: loanRequests,
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
  handleAsk(tokens: number, now: Milliseconds): LoanOffer {
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
    this.limiter.settle(loan, unspent, now);
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
  get isBusy(): boolean {
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

  private admitWaiting(now: Milliseconds): DeskTicket[] {
    const admitted: DeskTicket[] = [];
    for (;;) {
      const first = this.waiting[0];
      if (first === undefined || !this.limiter.admit(now)) return admitted;
      this.waiting.shift();
      admitted.push(first.ticket);
    }
  }

  /** Refuses the requests beyond the maximum queue length and those past their deadlines. */
  private refuseExpired(now: Milliseconds): DeskRefusal[] {
    const refused: WaitingRequest[] = this.waiting.splice(this.rules.mostWaiting);
    while (this.waiting[0] !== undefined && this.waiting[0].deadline <= now) {
      refused.push(...this.waiting.splice(0, 1));
    }
    const retryAfterMs = refused.length === 0 ? 0 : this.limiter.resolveRetryAfterMs(now);
    return refused.map(({ ticket }) => ({ ticket, retryAfterMs }));
  }

  /**
   * Refuses at once the requests that cannot get a token before their deadlines: every lender has
   * just had none to lend, and the own share refills too slowly. This occurs when one organisation
   * sends requests at many times its rate.
   */
  private refuseUnservable(now: Milliseconds): DeskRefusal[] {
    if (this.rules.refusesHopeless !== true) return [];
    if (this.waiting.length === 0 || this.pendingLoanRequests.size > 0) return [];
    if (this.chooseLenders(now).length > 0) return [];
    const retryAfterMs = this.limiter.resolveRetryAfterMs(now);
    const refused: DeskRefusal[] = [];
    this.waiting = this.waiting.filter(({ ticket, deadline }, index) => {
      const isUnservable = now + retryAfterMs * (index + 1) > deadline;
      if (isUnservable) refused.push({ ticket, retryAfterMs });
      return !isUnservable;
    });
    return refused;
  }

  private createLoanRequests(now: Milliseconds): LoanQuestion[] {
    if (this.pendingLoanRequests.size > 0) return [];
    const shortfall = this.limiter.resolveNeed(this.waiting.length, now);
    if (shortfall <= 0) return [];
    const { lenders, tokens } = this.divideShortfall(shortfall, this.chooseLenders(now));
    return lenders.map((lender) => {
      const requestId = this.nextRequestId;
      this.nextRequestId += 1;
      this.pendingLoanRequests.set(requestId, { lender, sentAt: now });
      return { lender, ask: requestId, tokens };
    });
  }

  /**
   * Divides the tokens to borrow among lenders. If loans are whole units, chooses at most as many
   * lenders as units are needed.
   */
  private divideShortfall(
    shortfall: number,
    candidates: readonly InstanceId[],
  ): { lenders: readonly InstanceId[]; tokens: number } {
    const unit = this.rules.loans.loanUnit ?? 0;
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
   * Chooses preferred lenders first, then those that last reported the most tokens to lend; leaves
   * out lenders that recently had none.
   */
  private chooseLenders(now: Milliseconds): InstanceId[] {
    const { emptyLenderMs: emptyLenderDelayMs, fanout } = this.rules;
    const candidates = this.lenders.filter((id) => {
      const state = this.lenderStates.get(id);
      return state === undefined || state.spare > 0 || now - state.updatedAt >= emptyLenderDelayMs;
    });
    candidates.sort((left, right) => {
      const byPreference =
        Number(this.preferredLenders.has(right)) - Number(this.preferredLenders.has(left));
      return byPreference || this.getLastSpare(right) - this.getLastSpare(left);
    });
    return candidates.slice(0, fanout);
  }

  private getLastSpare(lender: InstanceId): number {
    return this.lenderStates.get(lender)?.spare ?? Number.MAX_VALUE;
  }

  private expireLoanRequests(now: Milliseconds): void {
    for (const [requestId, { lender, sentAt }] of this.pendingLoanRequests) {
      if (now - sentAt < this.rules.askTimeoutMs) continue;
      this.pendingLoanRequests.delete(requestId);
      this.lenderStates.set(lender, { spare: 0, updatedAt: now });
    }
  }
}
