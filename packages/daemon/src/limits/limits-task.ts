/** Admits requests by organisation, borrowing tokens from other instances when its own run out. */
import {
  type Clock,
  DEFAULT_LOAN_TIMINGS,
  type AdmissionRules,
  type AdmissionTicket,
  type InstanceId,
  type LimiterState,
  AdmissionQueue,
  type LoanId,
  type LoanOffer,
  type LoanRequest,
  type Milliseconds,
  type OrganisationId,
  ProxyError,
  rateExceeded,
  type RateTolerance,
  computeInitialTokens,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { PeerBodyOf } from '../peers/peer-messages.js';

/** Rates of all organisations, from whatever settings are in use. */
export interface OrganisationRates {
  readonly organisations: ReadonlyMap<
    OrganisationId,
    { readonly requestsPerSecond: number; readonly burst: number }
  >;
}

/** What the task needs to know of slots. */
export interface SlotKnowledge {
  readonly owned: readonly number[];
  readonly slotCount: number;
  readonly holders: ReadonlySet<InstanceId>;
  /** Where given, divides each organisation's rate by itself in place of the slots. */
  readonly divide?: (organisation: OrganisationId, burst: number) => RatePart;
}

/** One instance's part of an organisation's rate. */
export interface RatePart {
  /** 0 to 1; the parts of all instances add up to at most 1. */
  readonly part: number;
  /** Instances that have parts; the same set if nothing has changed. */
  readonly holders: ReadonlySet<InstanceId>;
  /** Those of them in this instance's failure domain. */
  readonly near?: ReadonlySet<InstanceId>;
}

/** Rules for distances of up to 12 ms between regions. */
export const DEFAULT_DESK_RULES: AdmissionRules = {
  loans: DEFAULT_LOAN_TIMINGS,
  fanout: 4,
  maxWaitMs: toMilliseconds(500),
  maxWaitingRequests: 500,
  loanRequestTimeoutMs: toMilliseconds(100),
  emptyLenderDelayMs: toMilliseconds(150),
};

const TICK_MS = 10;

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

interface OrganisationDesk {
  readonly desk: AdmissionQueue;
  readonly waiters: Map<AdmissionTicket, Waiter>;
}

/** Owns the desks of all organisations at this instance. */
export class LimitsTask {
  private readonly desks = new Map<OrganisationId, OrganisationDesk>();

  /** Organisations with requests that wait, questions that are out, or loans to settle. */
  private readonly busy = new Set<OrganisationId>();

  private timer: NodeJS.Timeout | undefined;

  private settings: OrganisationRates | undefined;

  private slots: SlotKnowledge = { owned: [], slotCount: 0, holders: new Set() };

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
    private readonly rules: AdmissionRules = DEFAULT_DESK_RULES,
    private readonly filledSince?: Milliseconds,
    private readonly tolerance?: RateTolerance,
  ) {
    hub.handle('loan.ask', (body) => this.answerAsk(body));
    hub.handle('loan.settle', (body) => this.takeSettlement(body));
  }

  /** Gives borrowed tokens back and stops. */
  stop(): void {
    for (const [organisation, entry] of this.desks) {
      entry.desk.returnLoans(this.clock.now());
      this.step(organisation, entry);
    }
    clearTimeout(this.timer);
  }

  /**
   * Takes new settings or slots.
   *
   * @param settings - the newest settings
   * @param slots - slots held here
   */
  update(settings: OrganisationRates, slots: SlotKnowledge): void {
    this.settings = settings;
    this.slots = slots;
    for (const [id, { desk }] of this.desks) this.resize(id, desk);
  }

  /**
   * Waits until a request may run.
   *
   * @param organisation - whose request it is
   * @throws ProxyError if no token can be had in time
   */
  async admit(organisation: OrganisationId): Promise<void> {
    const rate = this.settings?.organisations.get(organisation)?.requestsPerSecond;
    // Parts of an unlimited rate are no numbers to reckon with.
    if (rate === Infinity) return;
    const entry = this.resolve(organisation);
    const ticket = entry.desk.addRequest(this.clock.now());
    if (ticket === undefined) {
      this.watch(organisation);
      return;
    }
    await new Promise<void>((resolve, reject) => {
      entry.waiters.set(ticket, { resolve, reject });
      this.step(organisation, entry);
    });
  }

  /** @returns figures for the state dump */
  describe(): ReadonlyMap<OrganisationId, LimiterState> {
    const now = this.clock.now();
    return new Map([...this.desks].map(([id, { desk }]) => [id, desk.describe(now)]));
  }

  private resolve(organisation: OrganisationId): OrganisationDesk {
    let entry = this.desks.get(organisation);
    if (entry === undefined) {
      const desk = new AdmissionQueue(this.self, organisation, this.rules, this.filledSince);
      entry = { desk, waiters: new Map() };
      this.desks.set(organisation, entry);
      this.resize(organisation, desk);
    }
    return entry;
  }

  private resize(id: OrganisationId, desk: AdmissionQueue): void {
    const organisation = this.settings?.organisations.get(id);
    const rate = organisation?.requestsPerSecond ?? 0;
    const burst = organisation?.burst ?? 0;
    const { part, holders, near } = this.resolvePart(id, burst);
    const { tolerance } = this;
    const start = tolerance === undefined ? 0 : computeInitialTokens(rate, burst, tolerance);
    desk.setShare(
      {
        ratePerSecond: rate * part,
        burst: burst * part,
        initialTokens: start * part,
        holders,
        ...(near === undefined ? {} : { near }),
      },
      this.clock.now(),
    );
  }

  private resolvePart(id: OrganisationId, burst: number): RatePart {
    const { owned, slotCount, holders, divide } = this.slots;
    if (divide !== undefined) return divide(id, burst);
    return { part: slotCount === 0 ? 0 : owned.length / slotCount, holders };
  }

  /** Steps an organisation's desk soon, and again while it is busy; idle ones cost nothing. */
  private watch(organisation: OrganisationId): void {
    this.busy.add(organisation);
    this.timer ??= setTimeout(() => this.tick(), TICK_MS);
  }

  private tick(): void {
    this.timer = undefined;
    const due = [...this.busy];
    this.busy.clear();
    for (const organisation of due) this.step(organisation, this.resolve(organisation));
  }

  private step(organisation: OrganisationId, entry: OrganisationDesk): void {
    const actions = entry.desk.step(this.clock.now());
    for (const ticket of actions.admitted) takeWaiter(entry, ticket)?.resolve();
    for (const { ticket, retryAfterMs } of actions.refused) {
      takeWaiter(entry, ticket)?.reject(ProxyError.create(rateExceeded, { retryAfterMs }));
    }
    for (const question of actions.loanRequests) void this.ask(organisation, entry, question);
    for (const { lender, loan, unspent } of actions.settlements) {
      this.hub.send(lender, { kind: 'loan.settle', organisation, loan, unspent });
    }
    if (entry.desk.hasPendingWork) this.watch(organisation);
  }

  private async ask(
    organisation: OrganisationId,
    entry: OrganisationDesk,
    question: LoanRequest,
  ): Promise<void> {
    const { lender, requestId, tokens } = question;
    const body = { kind: 'loan.ask' as const, organisation, tokens };
    const answer = await this.hub.request(lender, body, this.rules.loanRequestTimeoutMs);
    if (answer?.kind !== 'loan.offer') return;
    entry.desk.handleOffer(requestId, toOffer(answer), this.clock.now());
    this.step(organisation, entry);
  }

  private answerAsk(body: PeerBodyOf<'loan.ask'>): PeerBodyOf<'loan.offer'> {
    const { desk } = this.resolve(toBrand<OrganisationId>(body.organisation));
    return { kind: 'loan.offer', ...desk.handleLoanRequest(body.tokens, this.clock.now()) };
  }

  private takeSettlement(body: PeerBodyOf<'loan.settle'>): undefined {
    const { desk } = this.resolve(toBrand<OrganisationId>(body.organisation));
    desk.handleSettlement(toBrand<LoanId>(body.loan), body.unspent, this.clock.now());
    return undefined;
  }
}

function takeWaiter(entry: OrganisationDesk, ticket: AdmissionTicket): Waiter | undefined {
  const waiter = entry.waiters.get(ticket);
  entry.waiters.delete(ticket);
  return waiter;
}

function toOffer(answer: PeerBodyOf<'loan.offer'>): LoanOffer {
  const { loan, spare } = answer;
  if (loan === undefined) return { loan, spare };
  const lifeMs = toMilliseconds(loan.lifeMs);
  return { loan: { id: toBrand<LoanId>(loan.id), tokens: loan.tokens, lifeMs }, spare };
}
