import type { MemberId, WarmupDecision } from '@heatherledge/core';
import type { MemberConnection } from '../members/member-connection.js';
import type { MemberWarmups } from '../members/member-warmups.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import { type AccessRefusal, type ConnectionRequest, createRefusal } from './member-access.js';

/** What a command to a member needs; `statement` is left out at the start of a transaction. */
export type TokenRequest = Pick<ConnectionRequest, 'member' | 'values'> & {
  readonly statement?: MemberStatement;
};

/** Reason of refusals, which callers receive. */
const COLD_TEXT = 'the member has just started and accepts few statements';

/** Holds statements to cold members back until the member may get them. */
export class WarmupGate {
  constructor(
    private readonly warmups: MemberWarmups,
    private readonly random: () => number,
  ) {}

  /**
   * Refuses at arrival what a cold member would get too late, so that it holds no slot meanwhile.
   *
   * @param request - the statement or the start of a transaction
   * @returns the refusal, or undefined if the request may go on
   */
  findRefusal(request: ConnectionRequest): AccessRefusal | undefined {
    const maxWaitMs = Math.min(request.maxEstimatedWaitMs, request.timeoutMs);
    const decision = this.warmups.findRefusal(request.member, maxWaitMs);
    return decision && this.createRefusal(decision);
  }

  /**
   * Takes the token for a request that holds its connection, right before it is sent.
   *
   * @param request - the request
   * @param connection - its connection
   * @param maxWaitMs - maximum wait for the token, in milliseconds
   * @returns how long the caller must wait before it sends, in milliseconds, or a refusal
   */
  take(
    request: TokenRequest,
    connection: MemberConnection,
    maxWaitMs: number,
  ): number | AccessRefusal {
    // The commands that set up values and prepare the statement reach the member as well.
    const { member, values, statement } = request;
    const cost = connection.countCommands({ values }, statement?.prepared);
    return this.reserve(member, maxWaitMs, cost);
  }

  /**
   * Takes the token for a rollback. If it is refused, closing the connection rolls back as well.
   *
   * @param member - the member
   * @param maxWaitMs - maximum wait for the token, in milliseconds
   * @returns how long the caller must wait before it sends, in milliseconds, or a refusal
   */
  takeForRollback(member: MemberId, maxWaitMs: number): number | AccessRefusal {
    return this.reserve(member, maxWaitMs, 1);
  }

  private reserve(member: MemberId, maxWaitMs: number, cost: number): number | AccessRefusal {
    const decision = this.warmups.reserve(member, maxWaitMs, cost);
    if (decision === undefined) return 0;
    if (decision.kind === 'refused') return this.createRefusal(decision);
    return Math.ceil(decision.delayMs);
  }

  private createRefusal({ retryAfterMs }: Extract<WarmupDecision, { kind: 'refused' }>) {
    // The random part spreads the callers that were refused together.
    const randomMs = Math.round(retryAfterMs * (1 + this.random()));
    return createRefusal('overloaded', 'busy', `${COLD_TEXT}; retry after ${randomMs} ms`);
  }
}
