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

/** Rates of all organisations; the part of the settings that limits requests. */
export interface OrganisationRates {
  readonly organisations: ReadonlyMap<
    OrganisationId,
    { readonly requestsPerSecond: number; readonly burst: number }
  >;
}

/** This instance's share of the slots into which rates and permits are divided. */
export interface SlotAllocation {
  /** Slots that this instance may use. */
  readonly owned: readonly number[];
  /** Total number of slots. */
  readonly slotCount: number;
  /** Instances that hold slots. */
  readonly holders: ReadonlySet<InstanceId>;
  /** Computes the share of each organisation's rate separately, in place of the slots. */
  readonly divide?: (organisation: OrganisationId, burst: number) => OrganisationShare;
}

/** One instance's share of an organisation's rate. */
export interface OrganisationShare {
  /** Fraction from 0 to 1; the fractions of all instances add up to at most 1. */
  readonly fraction: number;
  /** Instances that hold shares; the same set object as long as they do not change. */
  readonly holders: ReadonlySet<InstanceId>;
  /** Those of them in this instance's failure domain. */
  readonly near?: ReadonlySet<InstanceId>;
}

/** Rules for latencies of up to 12 ms between regions. */
export const DEFAULT_ADMISSION_RULES: AdmissionRules = {
  loans: DEFAULT_LOAN_TIMINGS,
  fanout: 4,
  maxWaitMs: toMilliseconds(500),
  maxWaitingRequests: 500,
  loanRequestTimeoutMs: toMilliseconds(100),
  emptyLenderDelayMs: toMilliseconds(150),
};

/** Interval of steps while an organisation is active. */
const STEP_INTERVAL_MS = 10;

interface Waiter {
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

interface OrganisationEntry {
  readonly queue: AdmissionQueue;
  readonly waiters: Map<AdmissionTicket, Waiter>;
}

/**
 * Admits requests within the rates of their organisations. An organisation without tokens at this
 * instance borrows some from other instances.
 */
export class LimitsTask {
  private readonly entries = new Map<OrganisationId, OrganisationEntry>();

  /** Organisations with waiting requests, loan requests in progress, or loans to settle. */
  private readonly activeOrganisations = new Set<OrganisationId>();

  private timer: NodeJS.Timeout | undefined;

  private settings: OrganisationRates | undefined;

  private slots: SlotAllocation = { owned: [], slotCount: 0, holders: new Set() };

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
    private readonly rules: AdmissionRules = DEFAULT_ADMISSION_RULES,
    private readonly unusedSince?: Milliseconds,
    private readonly tolerance?: RateTolerance,
  ) {
    hub.handle('loan.ask', (body) => this.handleLoanRequest(body));
    hub.handle('loan.settle', (body) => this.handleSettlement(body));
  }

  /** Returns borrowed tokens and stops. */
  stop(): void {
    for (const [organisation, entry] of this.entries) {
      entry.queue.returnLoans(this.clock.now());
      this.stepQueue(organisation, entry);
    }
    clearTimeout(this.timer);
  }

  /**
   * Applies new settings or slots.
   *
   * @param settings - rates of all organisations
   * @param slots - this instance's share of the slots
   */
  update(settings: OrganisationRates, slots: SlotAllocation): void {
    this.settings = settings;
    this.slots = slots;
    for (const [id, { queue }] of this.entries) this.updateShare(id, queue);
  }

  /**
   * Waits until a request may run.
   *
   * @param organisation - organisation that the request belongs to
   * @param priority - 0 is the most urgent; all requests are alike if it is left out
   * @throws ProxyError if no token becomes available in time
   */
  async admit(organisation: OrganisationId, priority?: number): Promise<void> {
    const rate = this.settings?.organisations.get(organisation)?.requestsPerSecond;
    // Fractions of an unlimited rate are not finite numbers (0 × Infinity is NaN).
    if (rate === Infinity) return;
    const entry = this.getOrCreateEntry(organisation);
    const ticket = entry.queue.addRequest(this.clock.now(), priority);
    if (ticket === undefined) {
      this.scheduleStep(organisation);
      return;
    }
    await new Promise<void>((resolve, reject) => {
      entry.waiters.set(ticket, { resolve, reject });
      this.stepQueue(organisation, entry);
    });
  }

  /** @returns state of each organisation's limiter, for the state dump */
  describe(): ReadonlyMap<OrganisationId, LimiterState> {
    const now = this.clock.now();
    return new Map([...this.entries].map(([id, { queue }]) => [id, queue.describe(now)]));
  }

  private getOrCreateEntry(organisation: OrganisationId): OrganisationEntry {
    let entry = this.entries.get(organisation);
    if (entry === undefined) {
      const queue = new AdmissionQueue(this.self, organisation, this.rules, this.unusedSince);
      entry = { queue, waiters: new Map() };
      this.entries.set(organisation, entry);
      this.updateShare(organisation, queue);
    }
    return entry;
  }

  private updateShare(id: OrganisationId, queue: AdmissionQueue): void {
    const organisation = this.settings?.organisations.get(id);
    const rate = organisation?.requestsPerSecond ?? 0;
    const burst = organisation?.burst ?? 0;
    const { fraction, holders, near } = this.computeShare(id, burst);
    const { tolerance } = this;
    const initialTokens =
      tolerance === undefined ? 0 : computeInitialTokens(rate, burst, tolerance);
    queue.setShare(
      {
        ratePerSecond: rate * fraction,
        burst: burst * fraction,
        initialTokens: initialTokens * fraction,
        holders,
        ...(near === undefined ? {} : { near }),
      },
      this.clock.now(),
    );
  }

  private computeShare(id: OrganisationId, burst: number): OrganisationShare {
    const { owned, slotCount, holders, divide } = this.slots;
    if (divide !== undefined) return divide(id, burst);
    return { fraction: slotCount === 0 ? 0 : owned.length / slotCount, holders };
  }

  /** Schedules steps of an organisation's queue while it is active; idle queues need no timer. */
  private scheduleStep(organisation: OrganisationId): void {
    this.activeOrganisations.add(organisation);
    this.timer ??= setTimeout(() => this.stepActiveOrganisations(), STEP_INTERVAL_MS);
  }

  private stepActiveOrganisations(): void {
    this.timer = undefined;
    const organisations = [...this.activeOrganisations];
    this.activeOrganisations.clear();
    for (const id of organisations) this.stepQueue(id, this.getOrCreateEntry(id));
  }

  private stepQueue(organisation: OrganisationId, entry: OrganisationEntry): void {
    const actions = entry.queue.step(this.clock.now());
    for (const ticket of actions.admitted) removeWaiter(entry, ticket)?.resolve();
    for (const { ticket, retryAfterMs } of actions.refused) {
      removeWaiter(entry, ticket)?.reject(ProxyError.create(rateExceeded, { retryAfterMs }));
    }
    for (const request of actions.loanRequests) void this.requestLoan(organisation, entry, request);
    for (const { lender, loan, unspent } of actions.settlements) {
      this.hub.send(lender, { kind: 'loan.settle', organisation, loan, unspent });
    }
    if (entry.queue.hasPendingWork) this.scheduleStep(organisation);
  }

  private async requestLoan(
    organisation: OrganisationId,
    entry: OrganisationEntry,
    request: LoanRequest,
  ): Promise<void> {
    const { lender, requestId, tokens, priority } = request;
    const body = { kind: 'loan.ask' as const, organisation, tokens, priority };
    const response = await this.hub.request(lender, body, this.rules.loanRequestTimeoutMs);
    if (response?.kind !== 'loan.offer') return;
    entry.queue.handleOffer(requestId, parseOffer(response), this.clock.now());
    this.stepQueue(organisation, entry);
  }

  private handleLoanRequest(body: PeerBodyOf<'loan.ask'>): PeerBodyOf<'loan.offer'> {
    const { queue } = this.getOrCreateEntry(toBrand<OrganisationId>(body.organisation));
    const offer = queue.handleLoanRequest(body.tokens, this.clock.now(), body.priority);
    return { kind: 'loan.offer', ...offer };
  }

  private handleSettlement(body: PeerBodyOf<'loan.settle'>): undefined {
    const { queue } = this.getOrCreateEntry(toBrand<OrganisationId>(body.organisation));
    queue.handleSettlement(toBrand<LoanId>(body.loan), body.unspent, this.clock.now());
    return undefined;
  }
}

function removeWaiter(entry: OrganisationEntry, ticket: AdmissionTicket): Waiter | undefined {
  const waiter = entry.waiters.get(ticket);
  entry.waiters.delete(ticket);
  return waiter;
}

function parseOffer(response: PeerBodyOf<'loan.offer'>): LoanOffer {
  const { loan, spare } = response;
  if (loan === undefined) return { loan, spare };
  const lifeMs = toMilliseconds(loan.lifeMs);
  return { loan: { id: toBrand<LoanId>(loan.id), tokens: loan.tokens, lifeMs }, spare };
}
