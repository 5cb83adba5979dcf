/** Position of an instance among those that may connect to a member. */
export type HostRank =
  /** Owns the member's connections, or stands in for an instance that does and does not answer. */
  | 'host'
  /** Takes over while the host cannot be reached. */
  | 'standby'
  /** Connects only while it can reach neither. */
  | 'other';

/**
 * Fraction of a member's connections that its host may hold. Open transactions hold one each, so the
 * host of a primary that accepts 16 needs nearly all of them.
 */
const HOST_FRACTION = 0.82;
/**
 * Fraction that the host may keep open without a request. After a power loss of the fleet, members
 * hold the connections that were open for 3 s more, and only the others can be opened again.
 */
const HOST_IDLE_FRACTION = 0.5;
/**
 * Fraction that the standby may hold while the host serves. Together with the host's it leaves a few
 * connections for instances that reach neither, and for the change of primary.
 */
const STANDBY_FRACTION = 0.1;
/** Connections of an instance that reaches neither host; closed as soon as they are unused. */
const MAX_OTHER_CONNECTIONS = 2;
/** A host needs at least this many to run statements while one transaction rests. */
const MIN_HOST_CONNECTIONS = 3;

/** Limits on one instance's connections to a member. */
export interface ConnectionBudget {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum number of connections that stay open without a request. */
  readonly maxIdleConnections: number;
}

/**
 * Divides the connections that a member accepts among its host, its standby and the others.
 *
 * Load pattern: a fleet of hundreds of instances shares members that accept 16 to 90 connections.
 * The limits of host and standby add up to less than the member accepts, so that both can serve for
 * a moment when views of the fleet differ.
 *
 * @param memberLimit - connections that the member accepts from all instances together
 * @param rank - position of this instance
 * @returns this instance's limits
 */
export function resolveConnectionBudget(memberLimit: number, rank: HostRank): ConnectionBudget {
  switch (rank) {
    case 'host': {
      const limit = Math.max(MIN_HOST_CONNECTIONS, Math.floor(memberLimit * HOST_FRACTION));
      const maxIdleConnections = Math.min(limit, Math.ceil(memberLimit * HOST_IDLE_FRACTION));
      return { maxConnections: limit, maxIdleConnections };
    }
    case 'standby': {
      const limit = Math.max(MAX_OTHER_CONNECTIONS, Math.floor(memberLimit * STANDBY_FRACTION));
      return { maxConnections: limit, maxIdleConnections: limit };
    }
    case 'other':
      return { maxConnections: MAX_OTHER_CONNECTIONS, maxIdleConnections: 0 };
  }
}
