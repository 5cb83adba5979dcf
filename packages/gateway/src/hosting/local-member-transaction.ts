import type { Clock } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { EvacuationGuard } from '../members/evacuation-guard.js';
import type { ExchangeResult, MemberConnection } from '../members/member-connection.js';
import type { MemberPool } from '../members/member-pool.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { BeginRequest, MemberTransaction } from './member-access.js';
import type { GrantedSlot, SlotGate } from './slot-gate.js';
import { classifyOutcome } from './statement-outcome.js';
import type { WarmupGate } from './warmup-gate.js';

/** Timeout of a rollback; the connection is dropped after that, which rolls back as well. */
const ROLLBACK_TIMEOUT_MS = 1000;

/** Statements of open transactions run before those that have not begun, which hold nothing. */
const OPEN_TRANSACTION_PRIORITY = -1;

/**
 * Waits for the token of a cold member; others get connections of the pool in the meantime.
 *
 * @param pool - the member's pool
 * @param slot - slot that the statement holds; undefined if it needs none
 * @param waitMs - time until the token is due, in milliseconds
 */
export async function waitForToken(
  pool: MemberPool,
  slot: GrantedSlot | undefined,
  waitMs: number,
): Promise<void> {
  pool.serveQueue();
  slot?.excludeWait(waitMs);
  await delay(waitMs);
}

/** What an open transaction holds. */
export interface TransactionOptions {
  readonly clock: Pick<Clock, 'now'>;
  readonly pool: MemberPool;
  readonly connection: MemberConnection;
  readonly gate: SlotGate;
  readonly request: BeginRequest;
  readonly weight: number;
  /** Limits the statements to a cold member; undefined if none is limited. */
  readonly warmupGate: WarmupGate | undefined;
  readonly evacuationGuard: EvacuationGuard;
  /** Called when the transaction ends. */
  readonly onEnd: () => void;
  /** Called when the connection has been released. */
  readonly onReleased: () => void;
}

/** A transaction on one of this instance's own connections. */
export class LocalMemberTransaction implements MemberTransaction {
  private isEnded = false;

  /** Statements that wait or run. */
  private running = 0;

  constructor(private readonly options: TransactionOptions) {}

  /** Whether the member's domain is evacuated, the time for open transactions is over and none runs. */
  get isExpired(): boolean {
    const { evacuationGuard, request } = this.options;
    return this.running === 0 && !evacuationGuard.mayContinue(request.member);
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

  end(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.options.onEnd();
    void this.release();
  }

  private async runAdmitted(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const { clock, gate, request, weight } = this.options;
    const deadline = clock.now() + timeoutMs;
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
    let result: ExchangeResult | undefined;
    try {
      result = await this.runInSlot(statement, values, timeoutMs, deadline, admitted);
      return result;
    } finally {
      admitted.release(result?.kind === 'answered', result && classifyOutcome(result));
    }
  }

  /**
   * Runs a statement that holds a slot.
   *
   * @param statement - the statement
   * @param values - session values that the member must have
   * @param timeoutMs - maximum wait for the token and the reply together, in milliseconds
   * @param deadline - time by which the token must be due; later, the caller has been told of a failure
   * @param slot - the slot
   */
  private async runInSlot(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
    deadline: number,
    slot: GrantedSlot,
  ): Promise<ExchangeResult> {
    const { clock, pool, connection, request, warmupGate, evacuationGuard } = this.options;
    const { member } = request;
    const maxTokenWaitMs = deadline - clock.now();
    const token = warmupGate?.take({ member, values, statement }, connection, maxTokenWaitMs) ?? 0;
    if (typeof token !== 'number') return { kind: 'lost', reason: token.text, wasSent: false };
    if (token > 0) await waitForToken(pool, slot, token);
    // Another session may use the connection once the transaction has ended.
    if (this.isEnded) {
      return { kind: 'lost', reason: 'the transaction has ended', wasSent: false };
    }
    const evacuated = evacuationGuard.findRefusal({ member, access: 'transaction' });
    if (evacuated !== undefined) return { kind: 'lost', reason: evacuated.text, wasSent: false };
    return connection.runInSession({ values }, statement, undefined, timeoutMs - token);
  }

  private async release(): Promise<void> {
    const { pool, connection, request, warmupGate, onReleased } = this.options;
    if (!connection.isClosed && connection.transactionState !== 'idle') {
      const token = warmupGate?.takeForRollback(request.member, ROLLBACK_TIMEOUT_MS) ?? 0;
      if (typeof token !== 'number') pool.discard(connection, token.text);
      else await this.rollback(token);
    }
    pool.release(connection);
    onReleased();
  }

  private async rollback(tokenWaitMs: number): Promise<void> {
    const { pool, connection } = this.options;
    if (tokenWaitMs > 0) {
      await waitForToken(pool, undefined, tokenWaitMs);
      // A commit that was under way may have ended the transaction meanwhile.
      if (connection.isClosed || connection.transactionState === 'idle') return;
    }
    const exchange = await connection.exchange({ kind: 'rollback' }, ROLLBACK_TIMEOUT_MS);
    if (exchange.kind === 'answered' && exchange.reply.state !== 'idle') {
      pool.discard(connection, 'the transaction could not be rolled back');
    }
  }
}
