import type { Clock, Milliseconds, OrganisationId } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { EvacuationGuard } from '../members/evacuation-guard.js';
import type { ExchangeResult, MemberConnection } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { MemberPool } from '../members/member-pool.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { GrantChecker } from '../sessions/grants.js';
import type { SlotGate, SlotResult } from './slot-gate.js';
import type { WarmupGate } from './warmup-gate.js';
import {
  type AccessRefusal,
  type BeginRequest,
  type BeginResult,
  type ConnectionRequest,
  createRefusal,
  type MemberAccess,
  type MemberTransaction,
  type StatementRequest,
  type StatementResult,
} from './member-access.js';

/** Timeout of a rollback; the connection is dropped after that, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;

/**
 * Maximum wait for a connection while a slot is held. A new connection takes 12 ms; a longer wait
 * means that transactions hold all connections, and other statements need the slot.
 */
const MAX_CONNECTION_WAIT_IN_SLOT_MS = 100;

/**
 * Finds the part of an organisation relative to others, by which they share an overloaded member;
 * undefined stands for callers without a valid key.
 */
export type WeightLookup = (organisation: OrganisationId | undefined) => number;

/** How certain this instance must be of the primary before a request is sent to it. */
type PrimaryCheck =
  /** The member must be the known primary. */
  | 'known'
  /** The known primary must also have been confirmed recently, so that reads miss no commit. */
  | 'confirmed';

/**
 * Runs statements over this instance's own connections to members. The key and the primary are
 * checked again right before a request is sent, since both may change while it waits.
 */
export class LocalMemberAccess implements MemberAccess {
  private readonly openTransactions = new Set<LocalMemberTransaction>();

  constructor(
    private readonly memberRegistry: MemberRegistry,
    private readonly grantChecker: GrantChecker,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly findWeight: WeightLookup,
    private readonly warmupGate?: WarmupGate,
  ) {}

  async run(request: StatementRequest): Promise<StatementResult> {
    const startedAt = this.clock.now();
    const gate = this.memberRegistry.findSlotGate(request.member);
    if (gate === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    const coldRefusal = this.warmupGate?.findRefusal(request);
    if (coldRefusal !== undefined) return coldRefusal;
    const { credentials, priority, maxEstimatedWaitMs, timeoutMs: waitMs } = request;
    const { organisation } = credentials;
    const weight = this.findWeight(organisation);
    const admitted = await gate.acquire({
      organisation,
      weight,
      priority,
      maxEstimatedWaitMs,
      waitMs,
    });
    if (admitted.kind !== 'granted') return this.createSlotRefusal(admitted);
    try {
      return await this.runInSlot(request, startedAt);
    } finally {
      admitted.release();
    }
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    const startedAt = this.clock.now();
    const acquired =
      this.warmupGate?.findRefusal(request) ??
      (await this.acquire(request, 'confirmed', startedAt + request.timeoutMs));
    if (acquired.kind === 'refused') return acquired;
    const { pool, connection } = acquired;
    const result = await connection.exchangeInSession(
      { values: request.values },
      { kind: 'begin', readOnly: request.readOnly, waitFor: request.waitFor },
      request.timeoutMs - (this.clock.now() - startedAt),
    );
    if (result.kind === 'answered' && result.reply.error === undefined) {
      const gate = this.memberRegistry.findSlotGate(request.member);
      const weight = this.findWeight(request.credentials.organisation);
      const { evacuationGuard } = this.memberRegistry;
      const transaction: LocalMemberTransaction = new LocalMemberTransaction(
        pool,
        connection,
        gate,
        request,
        weight,
        this.warmupGate,
        evacuationGuard,
        () => this.openTransactions.delete(transaction),
      );
      this.openTransactions.add(transaction);
      return { kind: 'open', transaction };
    }
    pool.release(connection);
    return result;
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

  private createSlotRefusal(result: Exclude<SlotResult, { kind: 'granted' }>): AccessRefusal {
    if (result.kind === 'timeout') return createRefusal('timeout');
    // The random part spreads the callers that were refused together.
    const retryAfterMs = Math.round(result.retryAfterMs * (1 + this.random()));
    const text = `the queue for the member is too long; retry after ${retryAfterMs} ms`;
    return createRefusal('overloaded', 'busy', text);
  }

  private async runInSlot(
    request: StatementRequest,
    startedAt: Milliseconds,
  ): Promise<StatementResult> {
    const check = request.access === 'read' ? 'confirmed' : 'known';
    const remainingMs = request.timeoutMs - (this.clock.now() - startedAt);
    const timeoutMs = Math.min(MAX_CONNECTION_WAIT_IN_SLOT_MS, remainingMs);
    const deadline = startedAt + request.timeoutMs;
    const acquired = await this.acquire({ ...request, timeoutMs }, check, deadline);
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

  private async acquire(
    request: ConnectionRequest,
    check: PrimaryCheck,
    deadline: number,
  ): Promise<
    | {
        readonly kind: 'acquired';
        readonly pool: MemberPool;
        readonly connection: MemberConnection;
      }
    | AccessRefusal
  > {
    const pool = this.memberRegistry.findPool(request.member);
    if (pool === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    const earlyRefusal = this.findRefusal(request, check);
    if (earlyRefusal !== undefined) return earlyRefusal;
    const { credentials, values, timeoutMs: waitMs, maxEstimatedWaitMs, priority } = request;
    const acquired = await pool.acquire({
      organisation: credentials.organisation,
      session: { values },
      waitMs,
      maxEstimatedWaitMs,
      priority,
    });
    if (acquired.kind === 'refused') return createRefusal(acquired.reason);
    const { connection } = acquired;
    const maxTokenWaitMs = Math.min(deadline - this.clock.now(), maxEstimatedWaitMs);
    const token = this.warmupGate?.take(request, connection, maxTokenWaitMs) ?? 0;
    if (typeof token === 'number' && token > 0) await waitForToken(pool, token);
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

/** Waits for the token of a cold member; others get connections of the pool in the meantime. */
async function waitForToken(pool: MemberPool, waitMs: number): Promise<void> {
  pool.serveQueue();
  await delay(waitMs);
}

/** Statements of open transactions run before those that have not begun, which hold nothing. */
const OPEN_TRANSACTION_PRIORITY = -1;

/** A transaction on one of this instance's own connections. */
class LocalMemberTransaction implements MemberTransaction {
  private isEnded = false;

  /** Statements that wait or run. */
  private running = 0;

  constructor(
    private readonly pool: MemberPool,
    private readonly connection: MemberConnection,
    private readonly gate: SlotGate | undefined,
    private readonly request: BeginRequest,
    private readonly weight: number,
    private readonly warmupGate: WarmupGate | undefined,
    private readonly evacuationGuard: EvacuationGuard,
    private readonly onEnd: () => void,
  ) {}

  /** Whether the member's domain is evacuated, the time for open transactions is over and none runs. */
  get isExpired(): boolean {
    return this.running === 0 && !this.evacuationGuard.mayContinue(this.request.member);
  }

  async run(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    this.running += 1;
    try {
      return await this.runAdmitted(statement, values, timeoutMs);
    } finally {
      this.running -= 1;
    }
  }

  private async runAdmitted(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const { credentials } = this.request;
    // A statement of an open transaction is not refused for its wait: the work done would be lost.
    const admitted = await this.gate?.acquire({
      organisation: credentials.organisation,
      weight: this.weight,
      priority: OPEN_TRANSACTION_PRIORITY,
      maxEstimatedWaitMs: timeoutMs,
      waitMs: timeoutMs,
    });
    if (admitted !== undefined && admitted.kind !== 'granted') {
      return { kind: 'lost', reason: `no slot: ${admitted.kind}`, wasSent: false };
    }
    try {
      return await this.runInSlot(statement, values, timeoutMs);
    } finally {
      admitted?.release();
    }
  }

  private async runInSlot(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const { member } = this.request;
    const needs = { member, values, statement };
    const token = this.warmupGate?.take(needs, this.connection, timeoutMs) ?? 0;
    if (typeof token !== 'number') return { kind: 'lost', reason: token.text, wasSent: false };
    if (token > 0) await waitForToken(this.pool, token);
    // Another session may use the connection once the transaction has ended.
    if (this.isEnded) {
      return { kind: 'lost', reason: 'the transaction has ended', wasSent: false };
    }
    const evacuated = this.evacuationGuard.findRefusal({ member, access: 'transaction' });
    if (evacuated !== undefined) return { kind: 'lost', reason: evacuated.text, wasSent: false };
    return this.connection.runInSession({ values }, statement, undefined, timeoutMs - token);
  }

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.onEnd();
    void this.release();
  }

  private async release(): Promise<void> {
    const { pool, connection } = this;
    if (!connection.isClosed && connection.transactionState !== 'idle') {
      const { member } = this.request;
      const token = this.warmupGate?.takeForRollback(member, ROLLBACK_TIMEOUT_MS) ?? 0;
      if (typeof token !== 'number') pool.discard(connection, token.text);
      else await this.rollback(token);
    }
    pool.release(connection);
  }

  private async rollback(tokenWaitMs: number): Promise<void> {
    const { pool, connection } = this;
    if (tokenWaitMs > 0) {
      await waitForToken(pool, tokenWaitMs);
      // A commit that was under way may have ended the transaction meanwhile.
      if (connection.isClosed || connection.transactionState === 'idle') return;
    }
    const exchange = await connection.exchange({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
    if (exchange.kind === 'answered' && exchange.reply.state !== 'idle') {
      pool.discard(connection, 'the transaction could not be rolled back');
    }
  }
}
