import type { Clock, GroupId, Milliseconds, ReadPlacement, TermPosition } from '@heatherledge/core';
import type { ConnectionRequest, MemberAccess } from '../hosting/member-access.js';
import type { SessionState } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { PreparedStatement } from '../members/prepared-statement.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { PrimarySampler } from '../members/primary-sampler.js';
import type {
  Access,
  ErrorCode,
  StatementReply,
  TransactionState,
} from '../ports/caller-protocol.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { Grant, GrantChecker } from './grants.js';

/** State of a caller's session that outlasts its statements. */
export interface CallerState extends SessionState {
  readonly prepared: Map<string, PreparedStatement>;
  /** Log position of the session's last commit in each group. */
  readonly commitPositions: Map<GroupId, TermPosition>;
}

/** A read or write that a member runs. */
export interface DataStatement extends MemberStatement {
  readonly access: Access;
  /** When the statement's first byte arrived. */
  readonly arrivedAt: Milliseconds;
}

/** Services needed to run a session's statements. */
export interface SessionServices {
  readonly clock: Clock;
  readonly memberRegistry: MemberRegistry;
  readonly memberAccess: MemberAccess;
  readonly primarySampler: Pick<PrimarySampler, 'request'>;
  readonly grantChecker: GrantChecker;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  readonly random: () => number;
}

/**
 * Creates the reply to a statement that failed or was refused.
 *
 * @param code - why the statement was not served
 * @param text - error text
 * @param state - transaction state after the statement
 * @returns the reply, without rows
 */
export function createErrorReply(
  code: ErrorCode,
  text: string,
  state: TransactionState,
): StatementReply {
  return { rows: [], signature: undefined, error: { code, text }, state, mark: undefined };
}

/**
 * Creates the reply to a statement that the gateway runs itself, without a member.
 *
 * @param state - transaction state after the statement
 * @returns the reply, without rows
 */
export function createLocalReply(state: TransactionState): StatementReply {
  return { rows: [], signature: undefined, error: undefined, state, mark: undefined };
}

/** Ratio of a route's target latency up to which an estimated wait for a connection is accepted. */
export const MAX_ESTIMATED_WAIT_RATIO = 0.7;

/**
 * Creates a request for a connection to a member.
 *
 * @param placement - the member, and the log position that it must have reached
 * @param grant - the caller's route and organisation
 * @param session - the caller's session
 * @param timeoutMs - maximum time for the wait and the reply together, in milliseconds
 * @returns the request
 */
export function createConnectionRequest(
  { member, waitFor }: ReadPlacement,
  { organisation, key, route, allowedRegions }: Grant,
  session: SessionState,
  timeoutMs: number,
): ConnectionRequest {
  return {
    member,
    credentials: { organisation, key },
    values: session.values,
    timeoutMs,
    maxEstimatedWaitMs: route.targetLatencyMs * MAX_ESTIMATED_WAIT_RATIO,
    priority: route.priority,
    waitFor,
    allowedRegions,
  };
}
