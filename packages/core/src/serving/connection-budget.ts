/** Fraction of a member's connections that may stay open while idle; the rest serves requests. */
const MAX_IDLE_FRACTION = 0.75;
/** Minimum budget of an instance for one member, in addition to the connections that it owns. */
const MIN_CONNECTIONS = 2;
/**
 * Minimum budget of an instance if connections have no owners. Transactions hold their connection
 * while the caller pauses, about ten of a member's 42 at a time in all; a few of them at one
 * instance must not block its other callers.
 */
const MIN_CONNECTIONS_WITHOUT_OWNERS = 6;
/** Instances use their connections unevenly, so one may exceed an even share by this factor. */
const UNEVEN_USE_FACTOR = 2;

/** The limit on a member's connections, and the number of those that share them. */
export interface ConnectionDemand {
  /** Connections that the member accepts from all instances together. */
  readonly maxConnections: number;
  readonly instances: number;
  readonly organisations: number;
}

/** Limits on one instance's connections to a member. */
export interface ConnectionBudget {
  /** Maximum number of open connections. */
  readonly maxConnections: number;
  /** Maximum number of connections that stay open without a request. */
  readonly maxIdleConnections: number;
}

/**
 * Checks whether each organisation's connection to a member may stay open at the one instance that
 * owns it.
 *
 * A fleet can outgrow its members: 91 instances and 88 organisations share members that accept 42
 * connections each. If every instance kept one idle connection, or every organisation one at its
 * owner, the member would be full at rest, and each request would be refused. In that case there are
 * no owners: connections are opened for a request and closed after it, which costs a handshake but
 * always finds a free connection.
 */
export function mayKeepOwnedConnections(demand: ConnectionDemand): boolean {
  const { maxConnections, instances, organisations } = demand;
  return Math.max(instances, organisations) <= maxConnections * MAX_IDLE_FRACTION;
}

/**
 * Divides the connections that a member accepts among the instances.
 *
 * @param demand - the member's limit, and the number of instances and organisations
 * @param ownedConnections - number of organisations whose connection to the member this instance
 *   owns
 * @returns this instance's share
 */
export function resolveConnectionBudget(
  demand: ConnectionDemand,
  ownedConnections: number,
): ConnectionBudget {
  const { maxConnections, instances } = demand;
  const evenShare = maxConnections / Math.max(1, instances);
  const unevenShare = Math.floor(evenShare * UNEVEN_USE_FACTOR);
  if (mayKeepOwnedConnections(demand)) {
    const limit = Math.max(MIN_CONNECTIONS + ownedConnections, unevenShare);
    return { maxConnections: limit, maxIdleConnections: limit };
  }
  const idleShare = Math.floor(evenShare * MAX_IDLE_FRACTION);
  return {
    maxConnections: Math.max(MIN_CONNECTIONS_WITHOUT_OWNERS, unevenShare),
    maxIdleConnections: idleShare,
  };
}
