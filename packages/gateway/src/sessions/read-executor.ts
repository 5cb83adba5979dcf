/** Runs single reads: chooses a member, and another one where the first cannot serve in time. */
import {
  chooseReadMember,
  type MemberId,
  type ReadPlacement,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { ExchangeResult } from '../members/member-connection.js';
import type { ErrorCode, StatementReply } from '../ports/caller-protocol.js';
import {
  type CallerState,
  createAcquireRequest,
  createErrorReply,
  type DataStatement,
  type Grant,
  type SessionServices,
} from './session-context.js';

/**
 * A second member is asked when the first has not answered after this: twice the time of a slow
 * read (work of 110 ms at most, a handshake and a round trip between regions).
 */
const HEDGE_AFTER_MS = 300;
/** Queues that are found too long before the read is refused; a group has three members. */
const MOST_OVERLOADS = 2;
/** Pause before another try when no member can serve now. */
const RETRY_PAUSE_MS = 15;

/** Errors of a member that ran a statement and failed; others say truthfully that it did not run. */
const HAS_FAILED = new Set(['failed', 'timeout']);

/** How one try ended. */
type Attempt =
  | { readonly kind: 'served'; readonly reply: StatementReply; readonly member: MemberId }
  /** Another member, or the same one a little later, may serve. */
  /** The queue is too long; another member may have a shorter one. */
  | { readonly kind: 'overloaded'; readonly code: ErrorCode; readonly text: string }
  | { readonly kind: 'retry'; readonly code: ErrorCode; readonly text: string }
  | { readonly kind: 'final'; readonly code: ErrorCode; readonly text: string };

/** Runs reads outside transactions. */
export class ReadExecutor {
  constructor(private readonly services: SessionServices) {}

  /**
   * @param grant - the caller's route and organisation
   * @param state - the caller's session
   * @param statement - the read
   * @returns the answer for the caller
   */
  async execute(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
  ): Promise<StatementReply> {
    const deadline = statement.arrivedAt + grant.route.statementTimeoutMs;
    const tried = new Set<MemberId>();
    let overloads = 0;
    let last: Attempt = { kind: 'retry', code: 'busy', text: 'no member can serve the read' };
    while (this.services.clock.now() < deadline) {
      last = await this.attemptHedged(grant, state, statement, tried, deadline);
      if (last.kind === 'served') return last.reply;
      if (last.kind === 'final') break;
      if (last.kind === 'overloaded') {
        overloads += 1;
        // Where every queue is too long, waiting here would only end late.
        if (overloads >= MOST_OVERLOADS) break;
        continue;
      }
      await delay(RETRY_PAUSE_MS * (1 + this.services.random()));
    }
    return createErrorReply(last.code, last.text, 'idle');
  }

  /** Starts a second try beside one that takes long, and takes the first answer. */
  private async attemptHedged(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    tried: Set<MemberId>,
    deadline: number,
  ): Promise<Attempt> {
    const first = this.attempt(grant, state, statement, tried, deadline);
    const early = await Promise.race([first, delay(HEDGE_AFTER_MS)]);
    if (early !== undefined) return early;
    const second = this.attempt(grant, state, statement, tried, deadline);
    return takeFirstServed(first, second);
  }

  private async attempt(
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    tried: Set<MemberId>,
    deadline: number,
  ): Promise<Attempt> {
    const { clock, groups } = this.services;
    const { route } = grant;
    const needs = {
      route,
      sessionPosition: state.marks.get(route.group),
      stalenessPosition: groups.primaries.findPositionForAge(route, statement.arrivedAt),
      tried,
    };
    const placement = chooseReadMember(groups.listReaders(route.group), needs, clock.now());
    if (placement === undefined) {
      await groups.primaries.waitFor(route.group, deadline - clock.now());
      return { kind: 'retry', code: 'busy', text: 'no member is known to hold recent data' };
    }
    tried.add(placement.member);
    return this.runAt(placement, grant, state, statement, deadline);
  }

  private async runAt(
    placement: ReadPlacement,
    grant: Grant,
    state: CallerState,
    statement: DataStatement,
    deadline: number,
  ): Promise<Attempt> {
    const { clock, groups } = this.services;
    const pool = groups.findPool(placement.member);
    if (pool === undefined) return { kind: 'retry', code: 'busy', text: 'the member has left' };
    const early = this.findObjection(placement, grant);
    if (early !== undefined) return early;
    if (!pool.hasIdle(grant.organisation)) {
      const remainingMs = deadline - clock.now();
      const { organisation } = grant;
      const passed = await this.services.peerReads.forward(
        placement,
        organisation,
        state,
        statement,
        remainingMs,
        grant.route,
      );
      if (passed === 'overloaded') {
        return { kind: 'overloaded', code: 'busy', text: 'the queue for the member is too long' };
      }
      if (passed !== undefined) return this.judgeExchange(passed, placement.member);
    }
    const acquired = await pool.acquire(createAcquireRequest(grant, state, deadline - clock.now()));
    if (acquired.kind === 'refused') {
      const text = `no connection: ${acquired.reason}`;
      return {
        kind: acquired.reason === 'overloaded' ? 'overloaded' : 'retry',
        code: 'busy',
        text,
      };
    }
    const { connection } = acquired;
    const objection = this.findObjection(placement, grant);
    if (objection !== undefined) {
      pool.release(connection);
      return objection;
    }
    const { requestId, text } = statement;
    const exchange = await connection.exchangeInSession(
      state,
      statement.prepared,
      { kind: 'forward', requestId, text, waitFor: placement.waitFor },
      deadline - clock.now(),
    );
    pool.release(connection);
    return this.judgeExchange(exchange, placement.member);
  }

  /** Checks, at the last moment before a read is sent, what may have changed while it waited. */
  private findObjection(placement: ReadPlacement, grant: Grant): Attempt | undefined {
    const { groups, judge, clock } = this.services;
    const code = judge.findObjection(grant);
    if (code !== undefined) {
      return { kind: 'final', code, text: 'the key is not known to be valid' };
    }
    if (placement.waitFor !== undefined) return undefined;
    const isPrimary = groups.primaries.find(grant.route.group) === placement.member;
    if (isPrimary && groups.confirmation.mayTrustPrimary(toMilliseconds(clock.now()))) {
      return undefined;
    }
    return { kind: 'retry', code: 'busy', text: 'the primary is changing' };
  }

  private judgeExchange(exchange: ExchangeResult, member: MemberId): Attempt {
    const { groups } = this.services;
    if (exchange.kind === 'lost') {
      groups.recordOutcome(member, false);
      return { kind: 'retry', code: 'timeout', text: exchange.reason };
    }
    const { reply } = exchange;
    groups.recordOutcome(member, !HAS_FAILED.has(reply.error?.code ?? ''));
    if (reply.error === undefined) return { kind: 'served', reply, member };
    const { code, text } = reply.error;
    if (code === 'lagging') groups.recordLagging(member);
    return code === 'malformed' ? { kind: 'final', code, text } : { kind: 'retry', code, text };
  }
}

/** @returns the first served attempt, or the later of two that were not */
async function takeFirstServed(left: Promise<Attempt>, right: Promise<Attempt>): Promise<Attempt> {
  const first = await Promise.race([left, right]);
  if (first.kind === 'served') return first;
  const [one, other] = await Promise.all([left, right]);
  return one.kind === 'served' ? one : other;
}
