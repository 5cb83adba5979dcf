import type { AllowedRegions, InstanceId, MemberId, TermPosition } from '@heatherledge/core';
import type { AcquireFailure } from '../members/connection-wait-queue.js';
import type { ExchangeResult } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { Access, ErrorCode } from '../ports/caller-protocol.js';
import type { Credentials } from '../sessions/grants.js';

/** What a request needs of a connection to a member. */
export interface ConnectionRequest {
  readonly member: MemberId;
  readonly credentials: Credentials;
  /** Session values that the member must have. */
  readonly values: ReadonlyMap<string, string>;
  /** Maximum time for the wait and the reply together, in milliseconds. */
  readonly timeoutMs: number;
  /** The request is refused at once if its estimated wait is longer, in milliseconds. */
  readonly maxEstimatedWaitMs: number;
  /** Lower values are served first; 0 is the most urgent. */
  readonly priority: number;
  /** Log position that a replica must have reached; undefined at the primary. */
  readonly waitFor: TermPosition | undefined;
  /** Regions whose instances may get the request; undefined for all. Hosts do not receive it. */
  readonly allowedRegions?: AllowedRegions | undefined;
  /** Whether a host that got the request before could not reach the member, which may have restarted. */
  readonly wasUnreachable?: boolean | undefined;
}

/** A statement outside transactions. */
export interface StatementRequest extends ConnectionRequest {
  readonly access: Access;
  readonly statement: MemberStatement;
}

/** The start of a transaction. */
export interface BeginRequest extends ConnectionRequest {
  readonly readOnly: boolean;
}

/** Why a request was refused before anything was sent to the member. */
export type RefusalReason =
  | AcquireFailure
  /** The request is too large to be sent to the member's host; other requests are not. */
  | 'too-large'
  /** The key is not valid according to this instance's settings. */
  | 'key'
  /** The settings were not confirmed recently enough to check the key; another instance's may be. */
  | 'stale-key'
  /** The primary was not confirmed recently enough; another instance may have confirmed it. */
  | 'stale-primary'
  /** The member is not known to be the primary. */
  | 'primary';

/** A request that was refused; the member has not received it. */
export interface AccessRefusal {
  readonly kind: 'refused';
  readonly reason: RefusalReason;
  readonly code: ErrorCode;
  readonly text: string;
  /** Whether the host reported that it cannot reach the member; not set if the host did not respond. */
  readonly isReportedUnreachable?: boolean | undefined;
}

/** How a statement outside transactions ended. */
export type StatementResult = ExchangeResult | AccessRefusal;

/** How the start of a transaction ended. */
export type BeginResult =
  | { readonly kind: 'open'; readonly transaction: MemberTransaction }
  | ExchangeResult
  | AccessRefusal;

/** A transaction that is open at a member, with the connection that it holds. */
export interface MemberTransaction {
  /** The other instance that runs its statements; undefined if this instance does. */
  readonly host?: InstanceId | undefined;
  /**
   * Runs a statement of the transaction, or its commit.
   *
   * @param statement - the statement
   * @param values - session values that the member must have
   * @param timeoutMs - maximum wait for the reply, in milliseconds
   * @returns how it ended
   */
  run(
    statement: MemberStatement,
    values: ReadonlyMap<string, string>,
    timeoutMs: number,
  ): Promise<ExchangeResult>;
  /** Rolls back if the transaction is still open, and releases the connection. */
  end(): void;
}

/** Runs statements at members. */
export interface MemberAccess {
  /**
   * Runs a statement outside transactions.
   *
   * @param request - the statement, and what it needs of its connection
   * @returns how it ended
   */
  run(request: StatementRequest): Promise<StatementResult>;
  /**
   * Begins a transaction.
   *
   * @param request - what the transaction needs of its connection
   * @returns the open transaction, or why there is none
   */
  begin(request: BeginRequest): Promise<BeginResult>;
}

/**
 * Creates the refusal of a request that the member has not received.
 *
 * @param reason - why
 * @param code - error code for the caller, if no other attempt succeeds
 * @param text - error text
 */
export function createRefusal(
  reason: RefusalReason,
  code: ErrorCode = 'busy',
  text: string = `no connection: ${reason}`,
): AccessRefusal {
  return { kind: 'refused', reason, code, text };
}
