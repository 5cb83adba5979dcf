import type { Clock, Milliseconds, OrganisationId, RejectionCause } from '@heatherledge/core';
import type { ExchangeResult, MemberConnection } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { MemberPool } from '../members/member-pool.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { GrantChecker } from '../sessions/grants.js';
import type { SlotGate, SlotResult } from './slot-gate.js';
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

/** Maximum random part of a retry-after time; the minimum is the estimate itself. */
const RETRY_JITTER_RATIO = 0.5;

const REJECTION_TEXTS: Readonly<Record<RejectionCause, string>> = {
  wait: 'the queue for the member is too long',
  full: 'the queue for the member is full',
  displaced: 'the queue for the member is full of more urgent requests',
  deadline: 'the queue for the member is too slow for the objective',
};

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
  constructor(
    private readonly memberRegistry: MemberRegistry,
    private readonly grantChecker: GrantChecker,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly findWeight: WeightLookup,
  ) {}

  async run(request: StatementRequest): Promise<StatementResult> {
    const startedAt = this.clock.now();
    const gate = this.memberRegistry.findSlotGate(request.member);
    if (gate === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
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
    let hasReply = false;
    try {
      const result = await this.runInSlot(request, startedAt);
      hasReply = result.kind === 'answered';
      return result;
    } finally {
      admitted.release(hasReply);
    }
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    const startedAt = this.clock.now();
    const acquired = await this.acquire(request, 'confirmed');
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
      const transaction = new LocalMemberTransaction(pool, connection, gate, request, weight);
      return { kind: 'open', transaction };
    }
    pool.release(connection);
    return result;
  }

  private createSlotRefusal(result: Exclude<SlotResult, { kind: 'granted' }>): AccessRefusal {
    // The random part spreads the callers that were refused together.
    const retryAfterMs = Math.round(result.retryAfterMs * (1 + RETRY_JITTER_RATIO * this.random()));
    const cause =
      result.kind === 'timeout' ? 'no connection: timeout' : REJECTION_TEXTS[result.cause];
    const text = `${cause}; retry after ${retryAfterMs} ms`;
    return createRefusal(result.kind, 'busy', text);
  }

  private async runInSlot(
    request: StatementRequest,
    startedAt: Milliseconds,
  ): Promise<StatementResult> {
    const check = request.access === 'read' ? 'confirmed' : 'known';
    const remainingMs = request.timeoutMs - (this.clock.now() - startedAt);
    const timeoutMs = Math.min(MAX_CONNECTION_WAIT_IN_SLOT_MS, remainingMs);
    const acquired = await this.acquire({ ...request, timeoutMs }, check);
    if (acquired.kind === 'refused') return acquired;
    const { pool, connection } = acquired;
    const result = await connection.runInSession(
      { values: request.values },
      request.statement,
      request.waitFor,
      request.timeoutMs - (this.clock.now() - startedAt),
    );
    pool.release(connection);
    return result;
  }

  private async acquire(
    request: ConnectionRequest,
    check: PrimaryCheck,
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
    const refusal = this.findRefusal(request, check);
    if (refusal === undefined) return { kind: 'acquired', pool, connection };
    pool.release(connection);
    return refusal;
  }

  private findRefusal(
    { member, credentials, waitFor }: ConnectionRequest,
    check: PrimaryCheck,
  ): AccessRefusal | undefined {
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

/** Statements of open transactions run before those that have not begun, which hold nothing. */
const OPEN_TRANSACTION_PRIORITY = -1;

/** A transaction on one of this instance's own connections. */
class LocalMemberTransaction implements MemberTransaction {
  private isEnded = false;

  constructor(
    private readonly pool: MemberPool,
    private readonly connection: MemberConnection,
    private readonly gate: SlotGate | undefined,
    private readonly request: BeginRequest,
    private readonly weight: number,
  ) {}

  async run(
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
      isInTransaction: true,
      waitMs: timeoutMs,
    });
    if (admitted !== undefined && admitted.kind !== 'granted') {
      return { kind: 'lost', reason: `no slot: ${admitted.kind}`, wasSent: false };
    }
    let hasReply = false;
    try {
      const result = await this.runInSlot(statement, values, timeoutMs);
      hasReply = result.kind === 'answered';
      return result;
    } finally {
      admitted?.release(hasReply);
    }
  }

  private async runInSlot(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    // Another session may use the connection once the transaction has ended.
    if (this.isEnded) {
      return { kind: 'lost', reason: 'the transaction has ended', wasSent: false };
    }
    return this.connection.runInSession({ values }, statement, undefined, timeoutMs);
  }

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    void this.release();
  }

  private async release(): Promise<void> {
    const { pool, connection } = this;
    if (!connection.isClosed && connection.transactionState !== 'idle') {
      const exchange = await connection.exchange({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
      if (exchange.kind === 'answered' && exchange.reply.state !== 'idle') {
        pool.discard(connection, 'the transaction could not be rolled back');
      }
    }
    pool.release(connection);
  }
}
