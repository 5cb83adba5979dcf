/** The product's own way: slots by long leases, and short loans between their holders. */
import {
  type ClaimTimings,
  type Clock,
  createSlotRecord,
  type AdmissionRules,
  type AdmissionTicket,
  type InstanceId,
  AdmissionQueue,
  type LoanOffer,
  type LoanRequest,
  type OrganisationId,
  type SlotRecord,
  SlotClaims,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../faults/fake-network.js';
import type { SeededRandom } from '../faults/random.js';
import type { AdmissionStrategy, ExperimentOrganisation } from './admission-strategy.js';
import type { FakeStore } from './fake-store.js';

/** How the strategy is set up. */
export interface LoanStrategyOptions {
  readonly instances: readonly NodeName[];
  readonly organisations: readonly ExperimentOrganisation[];
  readonly slotCount: number;
  readonly rules: AdmissionRules;
  readonly claims: ClaimTimings;
  /** Clock of each instance; clocks drift and have no common start. */
  readonly clockOf: (instance: NodeName) => Clock;
  /** Set by mutations only: by how much borrowers overstay a loan. */
  readonly borrowerLifeFactor?: number;
  /** Set by mutations only: by how much holders overstay their lease. */
  readonly holderLeaseFactor?: number;
}

const SLOTS_KEY = 'slots';
const CLAIM_STEP_MS = 1000;
const DESK_STEP_MS = 10;
/** A desk without a request for this long is not stepped. */
const ACTIVE_MS = 1500;

interface ActiveDesk {
  readonly organisation: ExperimentOrganisation;
  readonly desk: AdmissionQueue;
  readonly waiters: Map<AdmissionTicket, (isAdmitted: boolean) => void>;
  usedAt: number;
}

/** One instance's claims and desks; it keeps nothing over a kill. */
export class LoanInstance {
  claims!: SlotClaims;

  /** What this instance believes to hold; differs from its claims in a mutation only. */
  private holderClaims!: SlotClaims;

  private desks = new Map<OrganisationId, ActiveDesk>();

  private readonly clock: Clock;

  private life = 0;

  private version = 0;

  constructor(
    readonly name: NodeName,
    private readonly strategy: LoanStrategy,
  ) {
    this.clock = strategy.options.clockOf(name);
  }

  /** Begins to run, at the start and after a kill. */
  start(): void {
    this.life += 1;
    this.desks = new Map();
    const id = toBrand<InstanceId>(this.name);
    const { claims, holderLeaseFactor = 1 } = this.strategy.options;
    this.claims = new SlotClaims(id, `${this.name}.${this.life}`, claims);
    this.holderClaims = this.claims;
    if (holderLeaseFactor !== 1) this.overstay(id, claims, holderLeaseFactor);
    this.stepClaims();
    this.stepDesks();
  }

  /** Gives up its slots, as at a planned stop. */
  release(): void {
    this.claims.releaseAll();
    this.writeClaims();
  }

  request(organisation: ExperimentOrganisation, settle: (isAdmitted: boolean) => void): void {
    const active = this.resolveDesk(organisation);
    active.usedAt = this.network.queue.now();
    const ticket = active.desk.addRequest(this.clock.now());
    if (ticket === undefined) settle(true);
    else active.waiters.set(ticket, settle);
    this.step(active);
  }

  /** Answers a borrower. */
  handleAsk(
    organisation: ExperimentOrganisation,
    tokens: number,
  ): ReturnType<AdmissionQueue['handleLoanRequest']> {
    return this.resolveDesk(organisation).desk.handleLoanRequest(tokens, this.clock.now());
  }

  /** @returns the desk of an organisation */
  deskOf(organisation: ExperimentOrganisation): AdmissionQueue {
    return this.resolveDesk(organisation).desk;
  }

  /** @returns tokens of an organisation that could be spent here now */
  countTokens(organisation: ExperimentOrganisation): number {
    const { own, borrowed } = this.deskOf(organisation).describe(this.clock.now());
    return own + borrowed;
  }

  private get network(): FakeNetwork {
    return this.strategy.network;
  }

  private resolveDesk(organisation: ExperimentOrganisation): ActiveDesk {
    let active = this.desks.get(organisation.id);
    if (active === undefined) {
      const id = toBrand<InstanceId>(this.name);
      const desk = new AdmissionQueue(id, organisation.id, this.strategy.options.rules);
      active = { organisation, desk, waiters: new Map(), usedAt: -Infinity };
      this.desks.set(organisation.id, active);
    }
    this.resize(active);
    return active;
  }

  private resize(active: ActiveDesk): void {
    const now = this.clock.now();
    const { slotCount } = this.strategy.options;
    const part = this.holderClaims.listUsableSlots(now).length / slotCount;
    const { ratePerSecond, burst } = active.organisation;
    const { holders } = this.claims;
    active.desk.setShare(
      { ratePerSecond: ratePerSecond * part, burst: burst * part, holders },
      now,
    );
  }

  private stepDesks(): void {
    const now = this.network.queue.now();
    for (const active of this.desks.values()) {
      const isUsed = now - active.usedAt < ACTIVE_MS || active.desk.waitingCount > 0;
      if (isUsed) this.step(active);
    }
    this.network.scheduleOnNode(this.name, DESK_STEP_MS, () => this.stepDesks());
  }

  private step(active: ActiveDesk): void {
    this.resize(active);
    const actions = active.desk.step(this.clock.now());
    for (const ticket of actions.admitted) settleTicket(active, ticket, true);
    for (const { ticket } of actions.refused) settleTicket(active, ticket, false);
    for (const question of actions.loanRequests) this.ask(active, question);
    for (const { lender, loan, unspent } of actions.settlements) {
      const target = this.strategy.find(lender);
      this.network.send('settle', this.name, lender, () => {
        target?.deskOf(active.organisation).handleSettlement(loan, unspent, target.clock.now());
      });
    }
  }

  private ask(active: ActiveDesk, { lender, requestId, tokens }: LoanRequest): void {
    const target = this.strategy.find(lender);
    const { life } = this;
    this.network.send('ask', this.name, lender, () => {
      const offer = target?.handleAsk(active.organisation, tokens);
      if (offer === undefined) return;
      this.network.send('grant', lender, this.name, () => {
        if (life !== this.life) return;
        active.desk.handleOffer(requestId, this.strategy.stretch(offer), this.clock.now());
        this.step(active);
      });
    });
  }

  private stepClaims(): void {
    const jitter = 0.75 + this.strategy.random.next() / 2;
    this.network.scheduleOnNode(this.name, CLAIM_STEP_MS * jitter, () => this.stepClaims());
    if (!this.claims.needsRead(this.strategy.liveInstances, this.clock.now())) return;
    const { life } = this;
    this.strategy.store.read(this.name, SLOTS_KEY, ({ value, version }) => {
      if (life !== this.life) return;
      this.version = version;
      const record = value ?? createSlotRecord(this.strategy.options.slotCount);
      this.observeRecord(record);
      this.writeClaims();
    });
  }

  /** The mutation: a holder that believes in a longer lease than others observe. */
  private overstay(id: InstanceId, claims: ClaimTimings, factor: number): void {
    const leaseMs = toMilliseconds(claims.leaseMs * factor);
    this.holderClaims = new SlotClaims(id, `${this.name}.${this.life}`, { ...claims, leaseMs });
  }

  private observeRecord(record: SlotRecord): void {
    this.claims.observe(record, this.clock.now());
    if (this.holderClaims !== this.claims) this.holderClaims.observe(record, this.clock.now());
  }

  private writeClaims(): void {
    const { life } = this;
    const write = this.claims.createWrite(this.strategy.liveInstances, this.clock.now());
    if (write === undefined) return;
    this.claims.recordSentWrite(write, this.clock.now());
    if (this.holderClaims !== this.claims) {
      this.holderClaims.recordSentWrite(write, this.clock.now());
    }
    this.strategy.store.swap(this.name, SLOTS_KEY, this.version, write.record, (isDone) => {
      if (life !== this.life) return;
      if (isDone) this.observeRecord(write.record);
      else this.claims.markRecordStale();
    });
  }
}

/** All instances of an experiment. */
export class LoanStrategy implements AdmissionStrategy {
  readonly instances: LoanInstance[];

  liveInstances: number;

  private readonly byName = new Map<string, LoanInstance>();

  constructor(
    readonly network: FakeNetwork,
    readonly random: SeededRandom,
    readonly store: FakeStore<SlotRecord>,
    readonly options: LoanStrategyOptions,
  ) {
    this.instances = options.instances.map((name) => new LoanInstance(name, this));
    for (const instance of this.instances) this.byName.set(instance.name, instance);
    this.liveInstances = this.instances.length;
  }

  start(): void {
    for (const instance of this.instances) instance.start();
  }

  request(
    instance: number,
    organisation: ExperimentOrganisation,
    settle: (isAdmitted: boolean) => void,
  ): void {
    this.instances[instance]?.request(organisation, settle);
  }

  get platformCalls(): number {
    return this.store.calls;
  }

  /**
   * @param organisation - an organisation
   * @returns tokens that running instances could spend now
   */
  countTokens(organisation: ExperimentOrganisation): number {
    return this.instances
      .filter(({ name }) => this.network.isRunning(name))
      .reduce((sum, instance) => sum + instance.countTokens(organisation), 0);
  }

  /** The mutation: a borrower that believes in a longer life of its loans. */
  stretch(offer: LoanOffer): LoanOffer {
    const { borrowerLifeFactor: factor = 1 } = this.options;
    if (offer.loan === undefined || factor === 1) return offer;
    const lifeMs = toMilliseconds(offer.loan.lifeMs * factor);
    return { ...offer, loan: { ...offer.loan, lifeMs } };
  }

  /** @returns the instance of a name */
  find(name: string): LoanInstance | undefined {
    return this.byName.get(name);
  }
}

/** Rules of the daemon, for experiments. */
export const EXPERIMENT_DESK_RULES: AdmissionRules = {
  loans: {
    loanTtlMs: toMilliseconds(1000),
    demandHorizonMs: toMilliseconds(150),
    demandSmoothingMs: toMilliseconds(400),
  },
  fanout: 4,
  maxWaitMs: toMilliseconds(500),
  maxWaitingRequests: 500,
  loanRequestTimeoutMs: toMilliseconds(100),
  emptyLenderDelayMs: toMilliseconds(150),
};

function settleTicket(active: ActiveDesk, ticket: AdmissionTicket, isAdmitted: boolean): void {
  const settle = active.waiters.get(ticket);
  active.waiters.delete(ticket);
  settle?.(isAdmitted);
}
