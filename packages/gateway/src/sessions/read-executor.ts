import { chooseReadMember, type MemberId, type ReadPlacement } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { AccessRefusal } from '../hosting/member-access.js';
import type { ExchangeResult } from '../members/member-connection.js';
import type { ErrorCode, StatementReply } from '../ports/caller-protocol.js';
import type { Grant } from './grants.js';
import { findRegionRefusal, listAllowedReaders } from './region-rules.js';
import {
  type CallerState,
  createConnectionRequest,
  createErrorReply,
  type DataStatement,
  type SessionServices,
} from './session-context.js';

/**
 * Delay after which a read without a reply is sent to a second member as well: twice the time of a
 * slow read (work of 110 ms at most, a handshake and a round trip between regions).
 */
const HEDGE_DELAY_MS = 300;
/**
 * Maximum number of attempts that end because a member is overloaded; the read is then refused. A
 * group has three members.
 */
const MAX_OVERLOADED_ATTEMPTS = 2;
/** Minimum delay before the read is retried; the maximum is twice as long. */
const MIN_RETRY_DELAY_MS = 15;

/**
 * Error codes that count as a failure of the member. With any other code, a working member reports
 * that it did not run the statement.
 */
const FAILURE_CODES = new Set(['failed', 'timeout']);

/** Outcome of one attempt. */
type Attempt =
  | { readonly kind: 'served'; readonly reply: StatementReply; readonly member: MemberId }
  /** The queue for the member is too long; another member may have a shorter one. */
  | { readonly kind: 'overloaded'; readonly code: ErrorCode; readonly text: string }
  /** Another member may serve, or the same one after a delay. */
  | { readonly kind: 'retry'; readonly code: ErrorCode; readonly text: string }
  | { readonly kind: 'final'; readonly code: ErrorCode; readonly text: string };

/**
 * Runs reads outside transactions. A read is retried at other members until its timeout; one that
 * takes long is also sent to a second member.
 */
export class ReadExecutor {
  constructor(private readonly services: SessionServices) {}

  /**
   * Runs a read.
   *
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param statement - the read
   * @returns the reply for the caller
   */
  async execute(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
  ): Promise<StatementReply> {
    const deadline = statement.arrivedAt + grant.route.statementTimeoutMs;
    const tried = new Set<MemberId>();
    let overloadedAttempts = 0;
    let lastAttempt: Attempt = {
      kind: 'retry',
      code: 'busy',
      text: 'no member can serve the read',
    };
    while (this.services.clock.now() < deadline) {
      lastAttempt = await this.runHedgedAttempt(grant, state, statement, tried, deadline);
      if (lastAttempt.kind === 'served') return lastAttempt.reply;
      if (lastAttempt.kind === 'final') break;
      if (lastAttempt.kind === 'overloaded') {
        overloadedAttempts += 1;
        // If every queue is too long, further attempts would only delay the refusal.
        if (overloadedAttempts >= MAX_OVERLOADED_ATTEMPTS) break;
        continue;
      }
      await delay(MIN_RETRY_DELAY_MS * (1 + this.services.random()));
    }
    return createErrorReply(lastAttempt.code, lastAttempt.text, 'idle');
  }

  /** Starts a second attempt if the first takes long, and returns the one that is served first. */
  private async runHedgedAttempt(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    tried: Set<MemberId>,
    deadline: number,
  ): Promise<Attempt> {
    const first = this.runAttempt(grant, state, statement, tried, deadline);
    const earlyResult = await Promise.race([first, delay(HEDGE_DELAY_MS)]);
    if (earlyResult !== undefined) return earlyResult;
    const second = this.runAttempt(grant, state, statement, tried, deadline);
    return chooseServedAttempt(first, second);
  }

  private async runAttempt(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    tried: Set<MemberId>,
    deadline: number,
  ): Promise<Attempt> {
    const { clock, memberRegistry } = this.services;
    const { route } = grant;
    const requirements = {
      route,
      needsPrimary: !memberRegistry.connector.mayWaitForPosition(statement),
      sessionPosition: state.commitPositions.get(route.group),
      stalenessPosition: memberRegistry.primaryTracker.findPositionForAge(
        route,
        statement.arrivedAt,
      ),
      tried,
    };
    const access = requirements.needsPrimary ? 'primary' : 'any';
    const refusal = findRegionRefusal(this.services, grant, access);
    if (refusal !== undefined) return { kind: 'final', ...refusal };
    const placement = chooseReadMember(
      listAllowedReaders(this.services, grant),
      requirements,
      clock.now(),
    );
    if (placement === undefined) {
      const primary = memberRegistry.primaryTracker.find(route.group);
      const evacuated =
        primary && memberRegistry.evacuationGuard.findRefusal({ member: primary, access: 'read' });
      if (evacuated !== undefined) return { ...evacuated, kind: 'final' };
      await memberRegistry.primaryTracker.waitFor(route.group, deadline - clock.now());
      return { kind: 'retry', code: 'busy', text: 'no member is known to hold recent data' };
    }
    tried.add(placement.member);
    return this.runAtMember(placement, grant, state, statement, deadline);
  }

  private async runAtMember(
    placement: ReadPlacement,
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    deadline: number,
  ): Promise<Attempt> {
    const { clock, memberAccess } = this.services;
    const request = createConnectionRequest(placement, grant, state, deadline - clock.now());
    const result = await memberAccess.run({ ...request, access: 'read', statement });
    return result.kind === 'refused'
      ? this.handleRefusal(result, placement.member)
      : this.handleExchange(result, placement.member);
  }

  private handleRefusal({ reason, code, text }: AccessRefusal, member: MemberId): Attempt {
    if (reason === 'overloaded') return { kind: 'overloaded', code, text };
    if (reason === 'unreachable') this.services.memberRegistry.recordUnreachable(member);
    return { kind: reason === 'key' || reason === 'stale-key' ? 'final' : 'retry', code, text };
  }

  private handleExchange(exchange: ExchangeResult, member: MemberId): Attempt {
    const { memberRegistry } = this.services;
    if (exchange.kind === 'lost') {
      memberRegistry.recordOutcome(member, false);
      return { kind: 'retry', code: 'timeout', text: exchange.reason };
    }
    const { reply } = exchange;
    memberRegistry.recordOutcome(member, !FAILURE_CODES.has(reply.error?.code ?? ''));
    if (reply.error === undefined) return { kind: 'served', reply, member };
    const { code, text } = reply.error;
    if (code === 'lagging') memberRegistry.recordLagRefusal(member);
    return code === 'malformed' ? { kind: 'final', code, text } : { kind: 'retry', code, text };
  }
}

/** @returns the first attempt that is served, or the second attempt if neither is */
async function chooseServedAttempt(
  first: Promise<Attempt>,
  second: Promise<Attempt>,
): Promise<Attempt> {
  const earlier = await Promise.race([first, second]);
  if (earlier.kind === 'served') return earlier;
  const [firstResult, secondResult] = await Promise.all([first, second]);
  return firstResult.kind === 'served' ? firstResult : secondResult;
}
