import { delay } from '@heatherledge/daemon';
import type { ExchangeResult } from '../members/member-connection.js';
import type { StatementReply } from '../ports/caller-protocol.js';
import {
  type CallerState,
  createAcquireRequest,
  createErrorReply,
  type DataStatement,
  type Grant,
  type SessionServices,
} from './session-context.js';

/** Minimum delay before a write that did not run is retried; the maximum is twice as long. */
const MIN_RETRY_DELAY_MS = 20;

/** Error codes of a member for a write that did not run and may succeed if it is retried. */
const RETRYABLE_CODES = new Set(['busy', 'read-only', 'lagging', 'unknown-name', 'wrong-member']);

/** Runs writes outside transactions at the primary; a write that may have run is never retried. */
export class WriteExecutor {
  constructor(private readonly services: SessionServices) {}

  /**
   * Runs a write.
   *
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param statement - the write
   * @returns the reply for the caller
   */
  async execute(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
  ): Promise<StatementReply> {
    const { clock, random } = this.services;
    const deadline = statement.arrivedAt + grant.route.statementTimeoutMs;
    let lastRefusal = createErrorReply('busy', 'no primary is known', 'idle');
    while (clock.now() < deadline) {
      const result = await this.runAttempt(grant, state, statement, deadline);
      if (result.isFinal) return result.reply;
      lastRefusal = result.reply;
      await delay(MIN_RETRY_DELAY_MS * (1 + random()));
    }
    return lastRefusal;
  }

  private async runAttempt(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    deadline: number,
  ): Promise<{ readonly isFinal: boolean; readonly reply: StatementReply }> {
    const { clock, memberRegistry, grantChecker } = this.services;
    const { group } = grant.route;
    const member = await memberRegistry.primaryTracker.waitFor(group, deadline - clock.now());
    const pool = member === undefined ? undefined : memberRegistry.findPool(member);
    if (pool === undefined) return createRetryableRefusal('no primary is known');
    const acquired = await pool.acquire(createAcquireRequest(grant, state, deadline - clock.now()));
    if (acquired.kind === 'refused') {
      const refusal = createRetryableRefusal(`no connection: ${acquired.reason}`);
      return { ...refusal, isFinal: acquired.reason === 'overloaded' };
    }
    const { connection } = acquired;
    const refusalCode = grantChecker.findRefusal(grant);
    if (refusalCode !== undefined || memberRegistry.primaryTracker.find(group) !== member) {
      pool.release(connection);
      if (refusalCode === undefined) return createRetryableRefusal('the primary is changing');
      const reply = createErrorReply(refusalCode, 'the key is not known to be valid', 'idle');
      return { isFinal: true, reply };
    }
    const { requestId, text, prepared } = statement;
    const exchange = await connection.exchangeInSession(
      state,
      prepared,
      { kind: 'forward', requestId, text, waitFor: undefined },
      deadline - clock.now(),
    );
    pool.release(connection);
    return this.handleExchange(exchange, grant, state);
  }

  private handleExchange(
    exchange: ExchangeResult,
    grant: Grant,
    state: CallerState,
  ): { readonly isFinal: boolean; readonly reply: StatementReply } {
    if (exchange.kind === 'lost') {
      if (!exchange.wasSent) return createRetryableRefusal(exchange.reason);
      const text = `the outcome is not known: ${exchange.reason}`;
      return { isFinal: true, reply: createErrorReply('in-doubt', text, 'idle') };
    }
    const { reply } = exchange;
    if (reply.error === undefined) {
      if (reply.mark !== undefined) state.commitPositions.set(grant.route.group, reply.mark);
      return { isFinal: true, reply };
    }
    return { isFinal: !RETRYABLE_CODES.has(reply.error.code), reply: { ...reply, state: 'idle' } };
  }
}

function createRetryableRefusal(text: string): {
  readonly isFinal: boolean;
  readonly reply: StatementReply;
} {
  return { isFinal: false, reply: createErrorReply('busy', text, 'idle') };
}
