import type { Clock, Milliseconds, StatementOutcome } from '@heatherledge/core';
import type { MemberConnection } from '../members/member-connection.js';
import type { MemberPool } from '../members/member-pool.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { GrantChecker } from '../sessions/grants.js';
import { LocalMemberTransaction, waitForToken } from './local-member-transaction.js';
import {
  type AccessRefusal,
  type BeginRequest,
  type BeginResult,
  type ConnectionRequest,
  createRefusal,
  type MemberAccess,
  type StatementRequest,
  type StatementResult,
} from './member-access.js';
import { MemberAdmission, type WeightLookup } from './member-admission.js';
import type { GrantedSlot, SlotGate } from './slot-gate.js';
import { classifyOutcome } from './statement-outcome.js';
import { findConnectionRejection, SILENT_OBSERVER, type SlotObserver } from './slot-rejections.js';
import type { WarmupGate } from './warmup-gate.js';

/**
 * Maximum wait for a connection while a slot is held. A new connection takes 12 ms; a longer wait
 * means that transactions hold all connections, and other statements need the slot.
 */
const MAX_CONNECTION_WAIT_IN_SLOT_MS = 100;

/** How certain this instance must be of the primary before a request is sent to it. */
type PrimaryCheck =
  /** The member must be the known primary. */
  | 'known'
  /** The known primary must also have been confirmed recently, so that reads miss no commit. */
  | 'confirmed';

type AcquiredConnection = {
  readonly kind: 'acquired';
  readonly pool: MemberPool;
  readonly connection: MemberConnection;
};

/** Optional parts of the access to members. */
export interface LocalAccessOptions {
  /** Limits the statements to cold members; none is limited without it. */
  readonly warmupGate?: WarmupGate | undefined;
  /** Is told of each decision on a slot. */
  readonly observer?: SlotObserver | undefined;
}

/**
 * Runs statements over this instance's own connections to members. The key and the primary are
 * checked again right before a request is sent, since both may change while it waits.
 */
export class LocalMemberAccess implements MemberAccess {
  private readonly openTransactions = new Set<LocalMemberTransaction>();

  private readonly admission: MemberAdmission;

  private readonly warmupGate: WarmupGate | undefined;

  constructor(
    private readonly memberRegistry: MemberRegistry,
    private readonly grantChecker: GrantChecker,
    private readonly clock: Clock,
    random: () => number,
    private readonly findWeight: WeightLookup,
    { warmupGate, observer = SILENT_OBSERVER }: LocalAccessOptions = {},
  ) {
    this.warmupGate = warmupGate;
    this.admission = new MemberAdmission(clock, random, findWeight, observer);
  }

  async run(request: StatementRequest): Promise<StatementResult> {
    const startedAt = this.clock.now();
    const gate = this.memberRegistry.findSlotGate(request.member);
    if (gate === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    this.recordUnreachable(request);
    const admitted =
      this.warmupGate?.findRefusal(request) ?? (await this.admission.acquireSlot(gate, request));
    if (admitted.kind === 'refused') return admitted;
    let result: StatementResult | undefined;
    try {
      result = await this.runInSlot(request, startedAt, admitted);
      return result;
    } finally {
      admitted.release(result?.kind === 'answered', result && classifyOutcome(result));
    }
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    const startedAt = this.clock.now();
    const { member, credentials } = request;
    const gate = this.memberRegistry.findSlotGate(member);
    const maxConnections = this.memberRegistry.findPool(member)?.maxConnections;
    if (gate === undefined || maxConnections === undefined) {
      return createRefusal('closed', 'busy', 'the member is not listed');
    }
    this.recordUnreachable(request);
    const coldRefusal = this.warmupGate?.findRefusal(request);
    if (coldRefusal !== undefined) return coldRefusal;
    const permit = gate.acquireTransaction(credentials.organisation, maxConnections);
    if (permit.kind === 'refused') {
      return this.admission.refuse(request, { ...permit, kind: 'overloaded' });
    }
    let isOpen = false;
    try {
      const result = await this.beginInSlot(request, startedAt, gate, permit.end);
      isOpen = result.kind === 'open';
      return result;
    } finally {
      if (!isOpen) permit.end();
    }
  }

  /**
   * Rolls back the transactions at members of evacuated domains whose time is over, except those with a
   * statement or a commit under way.
   *
   * @returns number of transactions rolled back
   */
  endEvacuatedTransactions(): number {
    const expired = [...this.openTransactions].filter((transaction) => transaction.isExpired);
    for (const transaction of expired) transaction.end();
    return expired.length;
  }

  private async beginInSlot(
    request: BeginRequest,
    startedAt: Milliseconds,
    gate: SlotGate,
    onReleased: () => void,
  ): Promise<BeginResult> {
    const admitted = await this.admission.acquireSlot(gate, request);
    if (admitted.kind === 'refused') return admitted;
    let outcome: StatementOutcome = 'unsent';
    try {
      const acquired = await this.acquire(request, 'confirmed', startedAt, admitted);
      if (acquired.kind === 'refused') return acquired;
      const { pool, connection } = acquired;
      const result = await connection.exchangeInSession(
        { values: request.values },
        { kind: 'begin', readOnly: request.readOnly, waitFor: request.waitFor },
        request.timeoutMs - (this.clock.now() - startedAt),
      );
      outcome = classifyOutcome(result);
      if (result.kind === 'answered' && result.reply.error === undefined) {
        const transaction = this.createTransaction(request, acquired, gate, onReleased);
        return { kind: 'open', transaction };
      }
      pool.release(connection);
      return result;
    } finally {
      admitted.release(outcome !== 'unsent' && outcome !== 'lost', outcome);
    }
  }

  private createTransaction(
    request: BeginRequest,
    { pool, connection }: AcquiredConnection,
    gate: SlotGate,
    onReleased: () => void,
  ): LocalMemberTransaction {
    const transaction: LocalMemberTransaction = new LocalMemberTransaction({
      clock: this.clock,
      pool,
      connection,
      gate,
      request,
      weight: this.findWeight(request.credentials.organisation),
      warmupGate: this.warmupGate,
      evacuationGuard: this.memberRegistry.evacuationGuard,
      onEnd: () => this.openTransactions.delete(transaction),
      onReleased,
    });
    this.openTransactions.add(transaction);
    return transaction;
  }

  private async runInSlot(
    request: StatementRequest,
    startedAt: Milliseconds,
    slot: GrantedSlot,
  ): Promise<StatementResult> {
    const check = request.access === 'read' ? 'confirmed' : 'known';
    const acquired = await this.acquire(request, check, startedAt, slot);
    if (acquired.kind === 'refused') return acquired;
    const { pool, connection } = acquired;
    const sentAt = this.clock.now();
    const result = await connection.runInSession(
      { values: request.values },
      request.statement,
      request.waitFor,
      request.timeoutMs - (sentAt - startedAt),
    );
    pool.release(connection);
    // A refusal or a lost reply tells nothing about how long statements take.
    if (result.kind === 'answered' && result.reply.error === undefined) {
      const now = this.clock.now();
      const times = this.memberRegistry.findLoad(request.member)?.times;
      times?.record(request.priority, now - sentAt, now);
    }
    return result;
  }

  /** Records what the request's previous host reported, before a connection to the member is opened. */
  private recordUnreachable({ member, wasUnreachable }: ConnectionRequest): void {
    if (wasUnreachable === true) this.memberRegistry.recordUnreachableElsewhere(member);
  }

  /** Acquires a connection for a request that holds a slot, and checks the request once more. */
  private async acquire(
    request: ConnectionRequest,
    check: PrimaryCheck,
    startedAt: Milliseconds,
    slot: GrantedSlot,
  ): Promise<AcquiredConnection | AccessRefusal> {
    const pool = this.memberRegistry.findPool(request.member);
    if (pool === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    const earlyRefusal = this.findRefusal(request, check);
    if (earlyRefusal !== undefined) return earlyRefusal;
    const { credentials, values, timeoutMs, maxEstimatedWaitMs, priority } = request;
    const deadline = startedAt + timeoutMs;
    const acquired = await pool.acquire({
      organisation: credentials.organisation,
      session: { values },
      waitMs: Math.min(MAX_CONNECTION_WAIT_IN_SLOT_MS, deadline - this.clock.now()),
      maxEstimatedWaitMs,
      priority,
    });
    if (acquired.kind === 'refused') {
      const rejection = findConnectionRejection(acquired.reason, acquired.retryAfterMs);
      return rejection === undefined
        ? createRefusal(acquired.reason)
        : this.admission.refuse(request, rejection);
    }
    const { connection } = acquired;
    const maxTokenWaitMs = Math.min(deadline - this.clock.now(), maxEstimatedWaitMs);
    const token = this.warmupGate?.take(request, connection, maxTokenWaitMs) ?? 0;
    if (typeof token === 'number' && token > 0) await waitForToken(pool, slot, token);
    const refusal = typeof token === 'number' ? this.findRefusal(request, check) : token;
    if (refusal === undefined) return { kind: 'acquired', pool, connection };
    pool.release(connection);
    return refusal;
  }

  private findRefusal(request: ConnectionRequest, check: PrimaryCheck): AccessRefusal | undefined {
    const { member, credentials, waitFor } = request;
    const evacuated = this.memberRegistry.evacuationGuard.findRefusal(request);
    if (evacuated !== undefined) return evacuated;
    const code = this.grantChecker.findRefusal(credentials);
    if (code !== undefined) {
      const reason = code === 'key-rejected' ? 'key' : 'stale-key';
      return createRefusal(reason, code, 'the key is not known to be valid');
    }
    if (waitFor !== undefined) return undefined;
    if (!this.memberRegistry.isPrimary(member)) {
      return createRefusal('primary', 'busy', 'the primary is changing');
    }
    if (check === 'known' || this.memberRegistry.mayReadLatestAt(member)) return undefined;
    return createRefusal('stale-primary', 'busy', 'the primary was not confirmed recently');
  }
}
