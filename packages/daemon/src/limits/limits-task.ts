/** Admits requests by organisation, borrowing tokens from other instances when its own run out. */
import {
  chooseHolders,
  type Clock,
  DEFAULT_LOAN_TIMINGS,
  type InstanceId,
  type LimiterState,
  type Loan,
  type LoanId,
  type Milliseconds,
  type OrganisationId,
  OrganisationLimiter,
  ProxyError,
  rateExceeded,
  type SettingsSnapshot,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { PeerBodyOf } from '../peers/peer-messages.js';

/** What the task needs to know of slots. */
export interface SlotKnowledge {
  readonly owned: readonly number[];
  readonly slotCount: number;
  readonly holders: ReadonlySet<InstanceId>;
}

/** Lenders asked at once. */
const ASK_FANOUT = 4;
const ASK_TIMEOUT_MS = 100;
/** Longest time for which a request waits for a token. */
const LONGEST_WAIT_MS = 250;
const TICK_MS = 10;
const SETTLE_EVERY_MS = 50;
/** A lender that had nothing is not asked again for this long. */
const EMPTY_LENDER_MS = 200;

interface WaitingRequest {
  readonly until: Milliseconds;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

interface LenderNote {
  readonly spare: number;
  readonly at: Milliseconds;
}

interface OrganisationDesk {
  readonly limiter: OrganisationLimiter;
  readonly waiting: WaitingRequest[];
  readonly lenders: Map<InstanceId, LenderNote>;
  asking: boolean;
}

/** Owns the limiters of all organisations at this instance. */
export class LimitsTask {
  private readonly desks = new Map<OrganisationId, OrganisationDesk>();

  private readonly timers: NodeJS.Timeout[] = [];

  private settings: SettingsSnapshot | undefined;

  private slots: SlotKnowledge = { owned: [], slotCount: 0, holders: new Set() };

  /** Requests admitted and refused, for metrics. */
  readonly counts = { admitted: 0, refused: 0, asked: 0 };

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
  ) {
    hub.handle('loan.ask', (body) => this.answerAsk(body));
    hub.handle('loan.settle', (body) => this.takeSettlement(body));
  }

  /** Starts to serve waiting requests and to settle loans. */
  start(): void {
    this.timers.push(setInterval(() => this.tick(), TICK_MS));
    this.timers.push(setInterval(() => this.settleAll(), SETTLE_EVERY_MS));
  }

  /** Gives borrowed tokens back and stops. */
  stop(): void {
    for (const timer of this.timers) clearInterval(timer);
    for (const { limiter } of this.desks.values()) limiter.returnLoans(this.clock.now());
    this.settleAll();
  }

  /**
   * Takes new settings or slots.
   *
   * @param settings - the newest settings
   * @param slots - slots held here
   */
  update(settings: SettingsSnapshot, slots: SlotKnowledge): void {
    this.settings = settings;
    this.slots = slots;
    const now = this.clock.now();
    for (const [id, desk] of this.desks) this.resize(id, desk.limiter, now);
    for (const id of settings.organisations.keys()) this.resolveDesk(id);
  }

  /**
   * Waits until a request may run.
   *
   * @param organisation - whose request it is
   * @throws ProxyError if no token can be had in time
   */
  async admit(organisation: OrganisationId): Promise<void> {
    const desk = this.resolveDesk(organisation);
    const now = this.clock.now();
    desk.limiter.noteDemand(now);
    if (desk.waiting.length === 0 && desk.limiter.admit(now)) {
      this.counts.admitted += 1;
      this.considerAsking(organisation, desk, now);
      return;
    }
    await this.waitForToken(organisation, desk, now);
    this.counts.admitted += 1;
  }

  /** @returns figures for the state dump */
  describe(): ReadonlyMap<OrganisationId, LimiterState> {
    const now = this.clock.now();
    return new Map([...this.desks].map(([id, desk]) => [id, desk.limiter.describe(now)]));
  }

  private resolveDesk(organisation: OrganisationId): OrganisationDesk {
    let desk = this.desks.get(organisation);
    if (desk === undefined) {
      const limiter = new OrganisationLimiter(DEFAULT_LOAN_TIMINGS);
      desk = { limiter, waiting: [], lenders: new Map(), asking: false };
      this.desks.set(organisation, desk);
      this.resize(organisation, limiter, this.clock.now());
    }
    return desk;
  }

  private resize(id: OrganisationId, limiter: OrganisationLimiter, now: Milliseconds): void {
    const organisation = this.settings?.organisations.get(id);
    const part = this.slots.slotCount === 0 ? 0 : this.slots.owned.length / this.slots.slotCount;
    const rate = organisation?.requestsPerSecond ?? 0;
    limiter.resize(rate * part, (organisation?.burst ?? 0) * part, now);
  }

  private async waitForToken(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    now: Milliseconds,
  ): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      desk.waiting.push({ until: toMilliseconds(now + LONGEST_WAIT_MS), resolve, reject });
      this.considerAsking(organisation, desk, now);
    });
  }

  private tick(): void {
    const now = this.clock.now();
    for (const [organisation, desk] of this.desks) {
      if (desk.waiting.length > 0) this.serveWaiting(organisation, desk, now);
    }
  }

  private serveWaiting(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    now: Milliseconds,
  ): void {
    while (desk.waiting.length > 0 && desk.limiter.admit(now)) desk.waiting.shift()?.resolve();
    while (desk.waiting[0] !== undefined && desk.waiting[0].until <= now) {
      this.counts.refused += 1;
      const retryAfterMs = desk.limiter.resolveRetryAfterMs(now);
      desk.waiting.shift()?.reject(ProxyError.create(rateExceeded, { retryAfterMs }));
    }
    this.considerAsking(organisation, desk, now);
  }

  private considerAsking(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    now: Milliseconds,
  ): void {
    if (desk.asking) return;
    const need = desk.limiter.resolveNeed(desk.waiting.length, now);
    const lenders = need > 0 ? this.chooseLenders(organisation, desk, now) : [];
    if (lenders.length === 0) return;
    desk.asking = true;
    void this.askAll(organisation, desk, lenders, need);
  }

  /** Those that had most to spare first; those that had nothing not at all for a while. */
  private chooseLenders(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    now: Milliseconds,
  ): InstanceId[] {
    const others = [...this.slots.holders].filter((id) => id !== this.self);
    const willing = others.filter((id) => {
      const note = desk.lenders.get(id);
      return note === undefined || note.spare > 0 || now - note.at >= EMPTY_LENDER_MS;
    });
    const ordered = chooseHolders(`lender/${organisation}/${this.self}`, willing, willing.length);
    ordered.sort((left, right) => this.spareOf(desk, right) - this.spareOf(desk, left));
    return ordered.slice(0, ASK_FANOUT);
  }

  private spareOf(desk: OrganisationDesk, lender: InstanceId): number {
    return desk.lenders.get(lender)?.spare ?? Infinity;
  }

  private async askAll(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    lenders: readonly InstanceId[],
    need: number,
  ): Promise<void> {
    const tokens = Math.max(1, need) / lenders.length;
    await Promise.all(lenders.map(async (id) => this.askOne(organisation, desk, id, tokens)));
    desk.asking = false;
    this.serveWaiting(organisation, desk, this.clock.now());
  }

  private async askOne(
    organisation: OrganisationId,
    desk: OrganisationDesk,
    lender: InstanceId,
    tokens: number,
  ): Promise<void> {
    this.counts.asked += 1;
    const askedAt = this.clock.now();
    const answer = await this.hub.ask(
      lender,
      { kind: 'loan.ask', organisation, tokens },
      ASK_TIMEOUT_MS,
    );
    const now = this.clock.now();
    const spare = answer?.kind === 'loan.offer' ? answer.spare : 0;
    desk.lenders.set(lender, { spare, at: now });
    if (answer?.kind !== 'loan.offer' || answer.loan === undefined) return;
    const loan: Loan = {
      id: toBrand<LoanId>(answer.loan.id),
      tokens: answer.loan.tokens,
      lifeMs: toMilliseconds(answer.loan.lifeMs),
    };
    desk.limiter.addLoan(lender, loan, askedAt, now);
  }

  private answerAsk(body: PeerBodyOf<'loan.ask'>): PeerBodyOf<'loan.offer'> {
    const desk = this.resolveDesk(toBrand<OrganisationId>(body.organisation));
    const offer = desk.limiter.lend(body.tokens, this.clock.now());
    return { kind: 'loan.offer', loan: offer.loan, spare: offer.spare };
  }

  private takeSettlement(body: PeerBodyOf<'loan.settle'>): undefined {
    const desk = this.desks.get(toBrand<OrganisationId>(body.organisation));
    desk?.limiter.settle(toBrand<LoanId>(body.loan), body.unspent, this.clock.now());
    return undefined;
  }

  private settleAll(): void {
    for (const [organisation, { limiter }] of this.desks) {
      for (const { lender, loan, unspent } of limiter.takeSettlements()) {
        this.hub.tell(lender, { kind: 'loan.settle', organisation, loan, unspent });
      }
    }
  }
}
