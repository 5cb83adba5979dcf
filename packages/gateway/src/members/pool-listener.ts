import type { MemberEntry } from '@heatherledge/core';
import type { PrepareCommand } from '../ports/member-protocol.js';
import type { ExchangeResult, MemberConnection } from './member-connection.js';

/** Receives what a pool observes of its member. */
export interface PoolListener {
  onReply(entry: MemberEntry, exchange: Extract<ExchangeResult, { kind: 'answered' }>): void;
  onUnreachable(entry: MemberEntry, reason: string): void;
  onConnection(outcome: 'opened' | 'refused' | 'failed'): void;
  /**
   * The member accepted a connection, or the last one of the pool failed; connections that are closed
   * because they are not needed do not count.
   */
  onReachable?(entry: MemberEntry, isReachable: boolean): void;
  onPrepare(entry: MemberEntry, connection: MemberConnection, command: PrepareCommand): void;
}

/** Limits of a pool. */
export interface PoolLimits {
  /** Maximum number of connections of this instance. */
  maxConnections: number;
  /** Maximum number of connections that stay open without a request. */
  maxIdleConnections: number;
  /** Maximum number of requests that wait. */
  maxWaiting: number;
}
