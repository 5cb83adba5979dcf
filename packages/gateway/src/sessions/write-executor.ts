/** Runs single writes at the primary; one that may have run is never sent again. */
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

/** Pause before a write is offered again after it surely did not run. */
const RETRY_PAUSE_MS = 20;

/** Errors by which a member says that a write did not run, and that a later try may succeed. */
const NOT_RUN = new Set(['busy', 'read-only', 'lagging', 'unknown-name', 'wrong-member']);

/** Runs writes outside transactions. */
export class WriteExecutor {
  constructor(private readonly services: SessionServices) {}

  /**
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param statement - the write
   * @returns the answer for the caller
   */
  async execute(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
  ): Promise<StatementReply> {
    const { clock, random } = this.services;
    const deadline = statement.arrivedAt + grant.route.statementTimeoutMs;
    let refusal = createErrorReply('busy', 'no primary is known', 'idle');
    while (clock.now() < deadline) {
      const result = await this.attempt(grant, state, statement, deadline);
      if (result.isFinal) return result.reply;
      refusal = result.reply;
      await delay(RETRY_PAUSE_MS * (1 + random()));
    }
    return refusal;
  }

  private async attempt(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    deadline: number,
  ): Promise<{ readonly isFinal: boolean; readonly reply: StatementReply }> {
    const { clock, groups, judge } = this.services;
    const { group } = grant.route;
    const member = await groups.primaries.waitFor(group, deadline - clock.now());
    const pool = member === undefined ? undefined : groups.findPool(member);
    if (pool === undefined) return refuse('no primary is known');
    const acquired = await pool.acquire(createAcquireRequest(grant, state, deadline - clock.now()));
    if (acquired.kind === 'refused') {
      const refusal = refuse(`no connection: ${acquired.reason}`);
      return { ...refusal, isFinal: acquired.reason === 'overloaded' };
    }
    const { connection } = acquired;
    const objection = judge.findObjection(grant);
    if (objection !== undefined || groups.primaries.find(group) !== member) {
      pool.release(connection);
      if (objection === undefined) return refuse('the primary is changing');
      const reply = createErrorReply(objection, 'the key is not known to be valid', 'idle');
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
    return this.judgeExchange(exchange, grant, state);
  }

  private judgeExchange(
    exchange: ExchangeResult,
    grant: Grant,
    state: CallerState,
  ): { readonly isFinal: boolean; readonly reply: StatementReply } {
    if (exchange.kind === 'lost') {
      if (!exchange.wasSent) return refuse(exchange.reason);
      const text = `the outcome is not known: ${exchange.reason}`;
      return { isFinal: true, reply: createErrorReply('in-doubt', text, 'idle') };
    }
    const { reply } = exchange;
    if (reply.error === undefined) {
      if (reply.mark !== undefined) state.marks.set(grant.route.group, reply.mark);
      return { isFinal: true, reply };
    }
    return { isFinal: !NOT_RUN.has(reply.error.code), reply: { ...reply, state: 'idle' } };
  }
}

function refuse(text: string): { readonly isFinal: boolean; readonly reply: StatementReply } {
  return { isFinal: false, reply: createErrorReply('busy', text, 'idle') };
}
