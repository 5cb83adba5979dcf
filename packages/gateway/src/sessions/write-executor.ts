import { delay } from '@heatherledge/daemon';
import type { AccessRefusal, RefusalReason } from '../hosting/member-access.js';
import type { ExchangeResult } from '../members/member-connection.js';
import type { StatementReply, WireError } from '../ports/caller-protocol.js';
import type { Grant } from './grants.js';
import { findRegionRefusal } from './region-rules.js';
import {
  type CallerState,
  createConnectionRequest,
  createErrorReply,
  type DataStatement,
  type SessionServices,
} from './session-context.js';

/** Minimum delay before a write that did not run is retried; the maximum is twice as long. */
const MIN_RETRY_DELAY_MS = 20;

/** Error codes of a member for a write that did not run and may succeed if it is retried. */
const RETRYABLE_CODES = new Set(['busy', 'read-only', 'lagging', 'unknown-name', 'wrong-member']);

/** Refusals that another attempt would meet as well. */
const FINAL_REFUSALS: ReadonlySet<RefusalReason> = new Set(['overloaded', 'key', 'stale-key']);

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
    const { clock, memberRegistry, memberAccess } = this.services;
    const { group } = grant.route;
    const earlyRefusal = findRegionRefusal(this.services, grant, 'primary');
    if (earlyRefusal !== undefined) return createFinalRefusal(earlyRefusal);
    const member = await memberRegistry.primaryTracker.waitFor(group, deadline - clock.now());
    if (member === undefined) return createRetryableRefusal('no primary is known');
    const refusal = findRegionRefusal(this.services, grant, 'primary');
    if (refusal !== undefined) return createFinalRefusal(refusal);
    const evacuated = memberRegistry.evacuationGuard.findRefusal({ member, access: 'write' });
    if (evacuated !== undefined) return { ...handleRefusal(evacuated), isFinal: true };
    const placement = { member, waitFor: undefined };
    const request = createConnectionRequest(placement, grant, state, deadline - clock.now());
    const result = await memberAccess.run({ ...request, access: 'write', statement });
    return result.kind === 'refused'
      ? handleRefusal(result)
      : this.handleExchange(result, grant, state);
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

function createFinalRefusal({ code, text }: WireError): {
  readonly isFinal: boolean;
  readonly reply: StatementReply;
} {
  return { isFinal: true, reply: createErrorReply(code, text, 'idle') };
}

function createRetryableRefusal(text: string): {
  readonly isFinal: boolean;
  readonly reply: StatementReply;
} {
  return { isFinal: false, reply: createErrorReply('busy', text, 'idle') };
}

function handleRefusal({ reason, code, text }: AccessRefusal): {
  readonly isFinal: boolean;
  readonly reply: StatementReply;
} {
  return { isFinal: FINAL_REFUSALS.has(reason), reply: createErrorReply(code, text, 'idle') };
}
