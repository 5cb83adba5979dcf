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

/** Options of {@link LoanStrategy}. */
export interface LoanStrategyOptions {
  readonly instances: readonly NodeName[];
  readonly organisations: readonly ExperimentOrganisation[];
  readonly slotCount: number;
  readonly rules: AdmissionRules;
  readonly claimTimings: ClaimTimings;
  /** Returns the clock of an instance; the clocks differ in offset and speed. */
  readonly getClock: (instance: NodeName) => Clock;
  /** Set by mutation runs only: multiple of a loan's lifetime for which borrowers use it. */
  readonly borrowerLoanTtlFactor?: number;
  /** Set by mutation runs only: multiple of the lease for which holders use their slots. */
  readonly holderLeaseFactor?: number;
}

const SLOTS_KEY = 'slots';
const CLAIM_STEP_INTERVAL_MS = 1000;
const QUEUE_STEP_INTERVAL_MS = 10;
/** Time after the last request until an admission queue without waiting requests is not stepped. */
const QUEUE_IDLE_TIMEOUT_MS = 1500;

/** Admission state of one organisation at one instance. */
interface OrganisationState {
  readonly organisation: ExperimentOrganisation;
  readonly admissionQueue: AdmissionQueue;
  readonly decisionCallbacks: Map<AdmissionTicket, (isAdmitted: boolean) => void>;
  lastRequestAt: number;
}

/** One instance's claims and admission queues; a restart after a kill begins without them. */
export class LoanInstance {
  claims!: SlotClaims;

  /** Decides which slots this instance uses; differs from `claims` in a mutation run only. */
  private holderClaims!: SlotClaims;

  private organisationStates = new Map<OrganisationId, OrganisationState>();

  private readonly clock: Clock;

  private incarnation = 0;

  /** Version of the slot record that was read last. */
  private recordVersion = 0;

  constructor(
    readonly name: NodeName,
    private readonly strategy: LoanStrategy,
  ) {
    this.clock = strategy.options.getClock(name);
  }

  /** Starts a new incarnation, at the beginning and after a kill. */
  start(): void {
    this.incarnation += 1;
    this.organisationStates = new Map();
    const id = toBrand<InstanceId>(this.name);
    const { claimTimings, holderLeaseFactor = 1 } = this.strategy.options;
    this.claims = new SlotClaims(id, `${this.name}.${this.incarnation}`, claimTimings);
    this.holderClaims = this.claims;
    if (holderLeaseFactor !== 1) this.extendHolderLease(id, claimTimings, holderLeaseFactor);
    this.stepClaims();
    this.stepQueues();
  }

  /** Releases all slots, as a planned stop does. */
  releaseSlots(): void {
    this.claims.releaseAll();
    this.writeClaims();
  }

  /**
   * Decides on a request, now or later.
   *
   * @param organisation - organisation that the request belongs to
   * @param onDecision - called once with whether the request is admitted, unless the instance is
   *   killed before
   */
  requestAdmission(
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void {
    const state = this.resolveState(organisation);
    state.lastRequestAt = this.network.queue.now();
    const ticket = state.admissionQueue.addRequest(this.clock.now());
    if (ticket === undefined) onDecision(true);
    else state.decisionCallbacks.set(ticket, onDecision);
    this.step(state);
  }

  /** Handles a borrower's loan request; returns the offer to send back. */
  handleLoanRequest(
    organisation: ExperimentOrganisation,
    tokens: number,
  ): ReturnType<AdmissionQueue['handleLoanRequest']> {
    return this.resolveState(organisation).admissionQueue.handleLoanRequest(
      tokens,
      this.clock.now(),
    );
  }

  /** @returns the admission queue of an organisation */
  getQueue(organisation: ExperimentOrganisation): AdmissionQueue {
    return this.resolveState(organisation).admissionQueue;
  }

  /** @returns tokens of an organisation that this instance could spend now */
  countTokens(organisation: ExperimentOrganisation): number {
    const { own, borrowed } = this.getQueue(organisation).describe(this.clock.now());
    return own + borrowed;
  }

  private get network(): FakeNetwork {
    return this.strategy.network;
  }

  /** Returns the state of an organisation, with its share brought up to date. */
  private resolveState(organisation: ExperimentOrganisation): OrganisationState {
    let state = this.organisationStates.get(organisation.id);
    if (state === undefined) {
      const id = toBrand<InstanceId>(this.name);
      const admissionQueue = new AdmissionQueue(id, organisation.id, this.strategy.options.rules);
      state = {
        organisation,
        admissionQueue,
        decisionCallbacks: new Map(),
        lastRequestAt: -Infinity,
      };
      this.organisationStates.set(organisation.id, state);
    }
    this.updateShare(state);
    return state;
  }

  /** Sets the share of the rate and burst in proportion to the slots that this instance may use. */
  private updateShare(state: OrganisationState): void {
    const now = this.clock.now();
    const { slotCount } = this.strategy.options;
    const slotShare = this.holderClaims.listUsableSlots(now).length / slotCount;
    const { ratePerSecond, burst } = state.organisation;
    const { holders } = this.claims;
    state.admissionQueue.setShare(
      { ratePerSecond: ratePerSecond * slotShare, burst: burst * slotShare, holders },
      now,
    );
  }

  private stepQueues(): void {
    const now = this.network.queue.now();
    for (const state of this.organisationStates.values()) {
      const isActive =
        now - state.lastRequestAt < QUEUE_IDLE_TIMEOUT_MS || state.admissionQueue.waitingCount > 0;
      if (isActive) this.step(state);
    }
    this.network.scheduleOnNode(this.name, QUEUE_STEP_INTERVAL_MS, () => this.stepQueues());
  }

  /** Carries out the actions of an admission queue. */
  private step(state: OrganisationState): void {
    this.updateShare(state);
    const actions = state.admissionQueue.step(this.clock.now());
    for (const ticket of actions.admitted) notifyDecision(state, ticket, true);
    for (const { ticket } of actions.refused) notifyDecision(state, ticket, false);
    for (const request of actions.loanRequests) this.sendLoanRequest(state, request);
    for (const { lender: lenderId, loan, unspent } of actions.settlements) {
      const lender = this.strategy.findInstance(lenderId);
      this.network.send('settle', this.name, lenderId, () => {
        lender?.getQueue(state.organisation).handleSettlement(loan, unspent, lender.clock.now());
      });
    }
  }

  private sendLoanRequest(
    state: OrganisationState,
    { lender: lenderId, requestId, tokens }: LoanRequest,
  ): void {
    const lender = this.strategy.findInstance(lenderId);
    const { incarnation } = this;
    this.network.send('ask', this.name, lenderId, () => {
      const offer = lender?.handleLoanRequest(state.organisation, tokens);
      if (offer === undefined) return;
      this.network.send('grant', lenderId, this.name, () => {
        if (incarnation !== this.incarnation) return;
        state.admissionQueue.handleOffer(
          requestId,
          this.strategy.applyBorrowerFactor(offer),
          this.clock.now(),
        );
        this.step(state);
      });
    });
  }

  private stepClaims(): void {
    const jitter = 0.75 + this.strategy.random.next() / 2;
    this.network.scheduleOnNode(this.name, CLAIM_STEP_INTERVAL_MS * jitter, () =>
      this.stepClaims(),
    );
    if (!this.claims.needsRead(this.strategy.liveInstances, this.clock.now())) return;
    const { incarnation } = this;
    this.strategy.store.read(this.name, SLOTS_KEY, ({ value, version }) => {
      if (incarnation !== this.incarnation) return;
      this.recordVersion = version;
      const record = value ?? createSlotRecord(this.strategy.options.slotCount);
      this.observeRecord(record);
      this.writeClaims();
    });
  }

  /** Mutation: this instance uses its slots for longer than the lease that the others observe. */
  private extendHolderLease(id: InstanceId, timings: ClaimTimings, factor: number): void {
    const leaseMs = toMilliseconds(timings.leaseMs * factor);
    this.holderClaims = new SlotClaims(id, `${this.name}.${this.incarnation}`, {
      ...timings,
      leaseMs,
    });
  }

  private observeRecord(record: SlotRecord): void {
    this.claims.observe(record, this.clock.now());
    if (this.holderClaims !== this.claims) this.holderClaims.observe(record, this.clock.now());
  }

  private writeClaims(): void {
    const { incarnation } = this;
    const write = this.claims.createWrite(this.strategy.liveInstances, this.clock.now());
    if (write === undefined) return;
    this.claims.recordSentWrite(write, this.clock.now());
    if (this.holderClaims !== this.claims) {
      this.holderClaims.recordSentWrite(write, this.clock.now());
    }
    this.strategy.store.compareAndSwap(
      this.name,
      SLOTS_KEY,
      this.recordVersion,
      write.record,
      (isReplaced) => {
        if (incarnation !== this.incarnation) return;
        if (isReplaced) this.observeRecord(write.record);
        else this.claims.markRecordStale();
      },
    );
  }
}

/**
 * The gateway's strategy: instances hold slots of every rate by long leases, and lend each other
 * tokens for a short time.
 */
export class LoanStrategy implements AdmissionStrategy {
  readonly instances: LoanInstance[];

  /** Number of live instances as all instances see it in the membership. */
  liveInstances: number;

  private readonly instancesByName = new Map<string, LoanInstance>();

  constructor(
    readonly network: FakeNetwork,
    readonly random: SeededRandom,
    readonly store: FakeStore<SlotRecord>,
    readonly options: LoanStrategyOptions,
  ) {
    this.instances = options.instances.map((name) => new LoanInstance(name, this));
    for (const instance of this.instances) this.instancesByName.set(instance.name, instance);
    this.liveInstances = this.instances.length;
  }

  start(): void {
    for (const instance of this.instances) instance.start();
  }

  requestAdmission(
    instance: number,
    organisation: ExperimentOrganisation,
    onDecision: (isAdmitted: boolean) => void,
  ): void {
    this.instances[instance]?.requestAdmission(organisation, onDecision);
  }

  get platformCalls(): number {
    return this.store.callCount;
  }

  /**
   * @param organisation - organisation whose tokens are counted
   * @returns tokens that all running instances together could spend now
   */
  countTokens(organisation: ExperimentOrganisation): number {
    return this.instances
      .filter(({ name }) => this.network.isRunning(name))
      .reduce((sum, instance) => sum + instance.countTokens(organisation), 0);
  }

  /** Mutation: a borrower uses its loans for longer than the lender granted them. */
  applyBorrowerFactor(offer: LoanOffer): LoanOffer {
    const { borrowerLoanTtlFactor: factor = 1 } = this.options;
    if (offer.loan === undefined || factor === 1) return offer;
    const lifeMs = toMilliseconds(offer.loan.lifeMs * factor);
    return { ...offer, loan: { ...offer.loan, lifeMs } };
  }

  /** @returns the instance with a name, or undefined if there is none */
  findInstance(name: string): LoanInstance | undefined {
    return this.instancesByName.get(name);
  }
}

/** Admission rules of the daemon, as experiments use them. */
export const EXPERIMENT_ADMISSION_RULES: AdmissionRules = {
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

function notifyDecision(
  state: OrganisationState,
  ticket: AdmissionTicket,
  isAdmitted: boolean,
): void {
  const onDecision = state.decisionCallbacks.get(ticket);
  state.decisionCallbacks.delete(ticket);
  onDecision?.(isAdmitted);
}
