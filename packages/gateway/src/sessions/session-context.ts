/** What the parts of a caller's session share. */
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

/** State of a caller that outlives its statements. */
export interface CallerState extends SessionState {
  readonly values: Map<string, string>;
  readonly prepared: Map<string, PreparedStatement>;
  /** Last commit of the session in each group. */
  readonly marks: Map<GroupId, TermPosition>;
}

/** A caller who may run statements on a route. */
export interface Grant {
  readonly route: Route;
  /** Undefined on routes that are open to all. */
  readonly organisation: OrganisationId | undefined;
  readonly key: KeyDigest | undefined;
}

/** One statement for a member. */
export interface DataStatement {
  readonly requestId: string;
  readonly access: 'read' | 'write';
  readonly text: string;
  readonly prepared: PreparedStatement | undefined;
  /** When its first byte arrived. */
  readonly arrivedAt: Milliseconds;
}

/** Judges whether a caller may still run statements. */
export interface GrantJudge {
  /** @returns why the grant does not hold any more, or undefined if it does */
  findObjection(grant: Grant): ErrorCode | undefined;
}

/** Services for the parts of a session. */
export interface SessionServices {
  readonly clock: Clock;
  readonly groups: MemberRegistry;
  readonly peerReads: ReadForwarder;
  readonly judge: GrantJudge;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  readonly random: () => number;
}

/**
 * @param code - why the statement was not served
 * @param text - for people
 * @param state - state of the session after it
 * @returns an answer without rows
 */
export function createErrorReply(
  code: ErrorCode,
  text: string,
  state: TransactionState,
): StatementReply {
  return { rows: [], signature: undefined, error: { code, text }, state, mark: undefined };
}

/**
 * @param state - state of the session after it
 * @returns the answer to a statement that the gateway carries out by itself
 */
export function createOwnReply(state: TransactionState): StatementReply {
  return { rows: [], signature: undefined, error: undefined, state, mark: undefined };
}

/** Part of the latency objective for which a wait is still worth while. */
export const PATIENCE_PART = 0.7;

/**
 * @param grant - the caller's route and organisation
 * @param session - the caller's session
 * @param waitMs - longest wait, in milliseconds
 * @returns what to ask a pool for
 */
export function createAcquireRequest(
  grant: Grant,
  session: SessionState,
  waitMs: number,
): AcquireRequest {
  const { organisation, route } = grant;
  const maxEstimatedWaitMs = route.targetLatencyMs * PATIENCE_PART;
  return {
    organisation,
    session,
    waitMs,
    maxEstimatedWaitMs,
    priority: route.priority,
  };
}
