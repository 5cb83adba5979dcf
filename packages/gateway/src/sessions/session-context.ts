import type {
  Clock,
  GroupId,
  KeyDigest,
  TermPosition,
  Milliseconds,
  OrganisationId,
  Route,
} from '@heatherledge/core';
import type { PreparedStatement, SessionState } from '../members/member-connection.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { AcquireRequest } from '../members/member-pool.js';
import type { ReadForwarder } from '../members/read-forwarder.js';
import type { ErrorCode, StatementReply, TransactionState } from '../ports/caller-protocol.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';

/** State of a caller's session that outlasts its statements. */
export interface CallerState extends SessionState {
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** Log position of the session's last commit in each group. */
  readonly commitPositions: Map<GroupId, TermPosition>;
}

/** Permission of a caller to run statements on a route. */
export interface Grant {
  readonly route: Route;
  /** Undefined for callers without a valid key, which public routes admit. */
  readonly organisation: OrganisationId | undefined;
  readonly key: KeyDigest | undefined;
}

/** A read or write that a member runs. */
export interface DataStatement {
  readonly requestId: string;
  readonly access: 'read' | 'write';
  readonly text: string;
  readonly prepared: PreparedStatement | undefined;
  /** When the statement's first byte arrived. */
  readonly arrivedAt: Milliseconds;
}

/** Checks whether a caller may still run statements. */
export interface GrantChecker {
  /** @returns the error code if the grant is no longer valid, or undefined if it is */
  findRefusal(grant: Grant): ErrorCode | undefined;
}

/** Services needed to run a session's statements. */
export interface SessionServices {
  readonly clock: Clock;
  readonly memberRegistry: MemberRegistry;
  readonly readForwarder: ReadForwarder;
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
 * Creates a request for a connection from a member's pool.
 *
 * @param grant - the caller's route and organisation
 * @param session - the caller's session
 * @param waitMs - maximum wait, in milliseconds
 * @returns the request
 */
export function createAcquireRequest(
  grant: Grant,
  session: SessionState,
  waitMs: number,
): AcquireRequest {
  const { organisation, route } = grant;
  const maxEstimatedWaitMs = route.targetLatencyMs * MAX_ESTIMATED_WAIT_RATIO;
  return {
    organisation,
    session,
    waitMs,
    maxEstimatedWaitMs,
    priority: route.priority,
  };
}
