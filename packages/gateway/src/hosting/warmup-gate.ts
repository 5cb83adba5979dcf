import type { WarmupDecision } from '@heatherledge/core';
import type { MemberConnection } from '../members/member-connection.js';
import type { MemberWarmups } from '../members/member-warmups.js';
import { type AccessRefusal, type ConnectionRequest, createRefusal } from './member-access.js';

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
    request: Pick<ConnectionRequest, 'member' | 'values'>,
    connection: MemberConnection,
    maxWaitMs: number,
  ): number | AccessRefusal {
    // The commands that set up the session's values reach the member as well.
    const { member, values } = request;
    const cost = connection.hasValues({ values }) ? 1 : 1 + Math.max(1, values.size);
    const decision = this.warmups.reserve(member, maxWaitMs, cost);
    if (decision === undefined) return 0;
    if (decision.kind === 'refused') return this.createRefusal(decision);
    return Math.ceil(decision.delayMs);
  }

  /** Records a rollback, which waits for no token since it frees what the transaction holds. */
  recordRollback({ member }: ConnectionRequest): void {
    this.warmups.reserve(member, Infinity, 1);
  }

  private createRefusal({ retryAfterMs }: Extract<WarmupDecision, { kind: 'refused' }>) {
    // The random part spreads the callers that were refused together.
    const randomMs = Math.round(retryAfterMs * (1 + this.random()));
    return createRefusal('overloaded', 'busy', `${COLD_TEXT}; retry after ${randomMs} ms`);
  }
}
