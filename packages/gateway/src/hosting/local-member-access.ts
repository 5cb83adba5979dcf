import type { Clock, Milliseconds } from '@heatherledge/core';
import type { ExchangeResult, MemberConnection } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { MemberPool } from '../members/member-pool.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { GrantChecker } from '../sessions/grants.js';
import type { SlotGate } from './slot-gate.js';
import { MemberAdmission, type WeightLookup } from './member-admission.js';
import { findConnectionRejection, SILENT_OBSERVER, type SlotObserver } from './slot-rejections.js';
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
  private readonly admission: MemberAdmission;

  constructor(
    private readonly memberRegistry: MemberRegistry,
    private readonly grantChecker: GrantChecker,
    private readonly clock: Clock,
    random: () => number,
    private readonly findWeight: WeightLookup,
    observer: SlotObserver = SILENT_OBSERVER,
  ) {
    this.admission = new MemberAdmission(clock, random, findWeight, observer);
  }

  async run(request: StatementRequest): Promise<StatementResult> {
    const startedAt = this.clock.now();
    const gate = this.memberRegistry.findSlotGate(request.member);
    if (gate === undefined) return createRefusal('closed', 'busy', 'the member is not listed');
    const admitted = await this.admission.acquireSlot(gate, request);
    if (admitted.kind === 'refused') return admitted;
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
    const { member, credentials } = request;
    const gate = this.memberRegistry.findSlotGate(member);
    const maxConnections = this.memberRegistry.findPool(member)?.maxConnections;
    if (gate === undefined || maxConnections === undefined) {
      return createRefusal('closed', 'busy', 'the member is not listed');
    }
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

  private async beginInSlot(
    request: BeginRequest,
    startedAt: Milliseconds,
    gate: SlotGate,
    onEnd: () => void,
  ): Promise<BeginResult> {
    const admitted = await this.admission.acquireSlot(gate, request);
    if (admitted.kind === 'refused') return admitted;
    let hasReply = false;
    try {
      const acquired = await this.acquire(this.limitWait(request, startedAt), 'confirmed');
      if (acquired.kind === 'refused') return acquired;
      const { pool, connection } = acquired;
      const result = await connection.exchangeInSession(
        { values: request.values },
        { kind: 'begin', readOnly: request.readOnly, waitFor: request.waitFor },
        request.timeoutMs - (this.clock.now() - startedAt),
      );
      hasReply = result.kind === 'answered';
      if (result.kind === 'answered' && result.reply.error === undefined) {
        const weight = this.findWeight(request.credentials.organisation);
        const options = { pool, connection, gate, request, weight, onEnd };
        return { kind: 'open', transaction: new LocalMemberTransaction(options) };
      }
      pool.release(connection);
      return result;
    } finally {
      admitted.release(hasReply);
    }
  }

  /** Limits the wait for a connection of a request that holds a slot. */
  private limitWait(request: ConnectionRequest, startedAt: Milliseconds): ConnectionRequest {
    const remainingMs = request.timeoutMs - (this.clock.now() - startedAt);
    return { ...request, timeoutMs: Math.min(MAX_CONNECTION_WAIT_IN_SLOT_MS, remainingMs) };
  }

  private async runInSlot(
    request: StatementRequest,
    startedAt: Milliseconds,
  ): Promise<StatementResult> {
    const check = request.access === 'read' ? 'confirmed' : 'known';
    const acquired = await this.acquire(this.limitWait(request, startedAt), check);
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
    if (acquired.kind === 'refused') {
      const rejection = findConnectionRejection(acquired.reason, acquired.retryAfterMs);
      return rejection === undefined
        ? createRefusal(acquired.reason)
        : this.admission.refuse(request, rejection);
    }
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

/** What an open transaction holds. */
interface TransactionOptions {
  readonly pool: MemberPool;
  readonly connection: MemberConnection;
  readonly gate: SlotGate;
  readonly request: BeginRequest;
  readonly weight: number;
  /** Called when the connection has been released. */
  readonly onEnd: () => void;
}

/** A transaction on one of this instance's own connections. */
class LocalMemberTransaction implements MemberTransaction {
  private isEnded = false;

  constructor(private readonly options: TransactionOptions) {}

  async run(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const { gate, request, weight } = this.options;
    // A statement of an open transaction is not refused for its wait: the work done would be lost.
    const admitted = await gate.acquire({
      organisation: request.credentials.organisation,
      weight,
      priority: OPEN_TRANSACTION_PRIORITY,
      maxEstimatedWaitMs: timeoutMs,
      isInTransaction: true,
      waitMs: timeoutMs,
    });
    if (admitted.kind !== 'granted') {
      return { kind: 'lost', reason: `no slot: ${admitted.kind}`, wasSent: false };
    }
    let hasReply = false;
    try {
      const result = await this.runInSlot(statement, values, timeoutMs);
      hasReply = result.kind === 'answered';
      return result;
    } finally {
      admitted.release(hasReply);
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
    return this.options.connection.runInSession({ values }, statement, undefined, timeoutMs);
  }

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    void this.release();
  }

  private async release(): Promise<void> {
    const { pool, connection, onEnd } = this.options;
    if (!connection.isClosed && connection.transactionState !== 'idle') {
      const exchange = await connection.exchange({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
      if (exchange.kind === 'answered' && exchange.reply.state !== 'idle') {
        pool.discard(connection, 'the transaction could not be rolled back');
      }
    }
    pool.release(connection);
    onEnd();
  }
}
