/** Limits of the connections that an instance accepts. */
export interface ConnectionLimits {
  /** Limit of all connections together. */
  readonly maxConnections: number;
  /** Limit of the connections of one source address. */
  readonly maxPerAddress: number;
}

/** Whether a new connection is accepted, and which one is to be closed for it. */
export interface ConnectionDecision<Connection> {
  readonly isAdmitted: boolean;
  readonly evicted: Connection | undefined;
}

interface AddressEntry<Connection> {
  count: number;
  /** Connections that have not begun to serve, the oldest first. */
  readonly pending: Set<Connection>;
}

/**
 * Decides which connections an instance keeps. At a limit, a new connection takes the place of the oldest one
 * that has not begun to serve, of the address that has the most of them; established ones are kept.
 */
export class ConnectionLimiter<Connection extends object> {
  private readonly addressByConnection = new Map<Connection, string>();

  private readonly byAddress = new Map<string, AddressEntry<Connection>>();

  /** @param limits - limits of the connections */
  constructor(private readonly limits: ConnectionLimits) {}

  /** @returns number of connections that are kept */
  get count(): number {
    return this.addressByConnection.size;
  }

  /**
   * Decides on a new connection, and counts it if it is admitted. The evicted one is not counted any more.
   *
   * @param connection - the new connection
   * @param address - its source address
   */
  admit(connection: Connection, address: string): ConnectionDecision<Connection> {
    const own = this.byAddress.get(address);
    const isAddressFull = (own?.count ?? 0) >= this.limits.maxPerAddress;
    const isFull = this.count >= this.limits.maxConnections;
    let evicted: Connection | undefined;
    if (isAddressFull || isFull) {
      const candidates = isAddressFull ? own : this.findMostPending();
      [evicted] = candidates?.pending ?? [];
      if (evicted === undefined) return { isAdmitted: false, evicted };
      this.remove(evicted);
    }
    const entry = this.byAddress.get(address) ?? { count: 0, pending: new Set<Connection>() };
    entry.count += 1;
    entry.pending.add(connection);
    this.byAddress.set(address, entry);
    this.addressByConnection.set(connection, address);
    return { isAdmitted: true, evicted };
  }

  /** Records that a connection has begun to serve, so that it is kept at a limit. */
  recordEstablished(connection: Connection): void {
    const address = this.addressByConnection.get(connection);
    if (address !== undefined) this.byAddress.get(address)?.pending.delete(connection);
  }

  /** Removes a connection that has closed. */
  remove(connection: Connection): void {
    const address = this.addressByConnection.get(connection);
    if (address === undefined) return;
    this.addressByConnection.delete(connection);
    const entry = this.byAddress.get(address);
    if (entry === undefined) return;
    entry.count -= 1;
    entry.pending.delete(connection);
    if (entry.count === 0) this.byAddress.delete(address);
  }

  private findMostPending(): AddressEntry<Connection> | undefined {
    let found: AddressEntry<Connection> | undefined;
    for (const entry of this.byAddress.values()) {
      if (entry.pending.size > (found?.pending.size ?? 0)) found = entry;
    }
    return found;
  }
}
