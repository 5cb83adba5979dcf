import {
  type Clock,
  connectionsExhausted,
  FairQueue,
  type MemberId,
  type Milliseconds,
  type OrganisationId,
  ProxyError,
  type QueueBounds,
  type QueueTicket,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '../runtime/system-clock.js';
import {
  ConnectionLost,
  type UpstreamAddress,
  UpstreamConnection,
  UpstreamFailure,
} from './upstream-connection.js';

/** Timeouts and intervals of a pool. */
export interface PoolTimings {
  readonly connectTimeoutMs: number;
  /** A connection that was idle for longer is probed before it is reused. */
  readonly probeAfterIdleMs: number;
  readonly probeTimeoutMs: number;
}

/** Default timeouts and intervals. */
export const DEFAULT_POOL_TIMINGS: PoolTimings = {
  connectTimeoutMs: 1000,
  probeAfterIdleMs: 5000,
  probeTimeoutMs: 300,
};

/** Default bounds of the queue for connections. */
export const DEFAULT_QUEUE_BOUNDS: QueueBounds = { perOrganisation: 500, total: 2000 };

/** Request for a connection. */
export interface ConnectionRequest {
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly deadline: Milliseconds;
}

interface Waiter {
  readonly resolve: (connection: UpstreamConnection) => void;
  readonly reject: (error: Error) => void;
}

/** Counts for the state dump and metrics; the fields are printed under these names. */
export interface PoolState {
  readonly member: MemberId;
  /** Connections that are open or being opened. */
  readonly open: number;
  /** Open connections that are not in use. */
  readonly idle: number;
  /** Requests that wait for a connection. */
  readonly waiting: number;
  /** Maximum number of open connections. */
  readonly permits: number;
}

/**
 * Connections of this instance to one member. Waiting requests are served fairly by organisation;
 * connections that do not respond to a probe are replaced.
 */
export class UpstreamPool {
  private readonly queue: FairQueue;

  private readonly waiters = new Map<QueueTicket, Waiter>();

  private idle: UpstreamConnection[] = [];

  /** All open connections, idle ones and those in use. */
  private readonly connections = new Set<UpstreamConnection>();

  /** Connections that are open or being opened. */
  private openCount = 0;

  private openingCount = 0;

  private permits = 0;

  private expiryTimer: NodeJS.Timeout | undefined;

  constructor(
    readonly member: MemberId,
    private readonly address: UpstreamAddress,
    private readonly clock: Clock,
    private readonly timings: PoolTimings,
    bounds: QueueBounds,
  ) {
    this.queue = new FairQueue(bounds);
  }

  /**
   * Sets how many connections may be open; excess ones are closed once they are idle.
   *
   * @param permits - maximum number of open connections
   */
  setPermits(permits: number): void {
    this.permits = permits;
    while (this.openCount > this.permits && this.idle.length > 0) this.discard(this.idle.pop());
    this.serveQueue();
  }

  /** @returns number of requests that run or wait */
  get load(): number {
    return this.openCount - this.idle.length + this.queue.size;
  }

  /** @returns counts for the state dump and metrics */
  get state(): PoolState {
    const { member, openCount: open, permits } = this;
    return { member, open, idle: this.idle.length, waiting: this.queue.size, permits };
  }

  /**
   * Waits for a connection.
   *
   * @param request - the requesting organisation, its weight and the deadline
   * @returns a connection for exclusive use until it is released or discarded
   * @throws ProxyError if the queue is full or no connection is available before the deadline
   * @throws ConnectionLost if the member is unreachable
   */
  async acquire(request: ConnectionRequest): Promise<UpstreamConnection> {
    const { organisation, weight, deadline } = request;
    const ticket = this.queue.push(organisation, weight, deadline);
    if (ticket === undefined) throw ProxyError.create(connectionsExhausted, undefined);
    const promise = new Promise<UpstreamConnection>((resolve, reject) => {
      this.waiters.set(ticket, { resolve, reject });
    });
    this.serveQueue();
    this.scheduleExpiry(deadline);
    return promise;
  }

  /**
   * Returns a connection to the pool.
   *
   * @param connection - connection without session state left over from the request
   */
  release(connection: UpstreamConnection): void {
    if (!connection.isUsable || this.openCount > this.permits) this.discard(connection);
    else this.idle.push(connection);
    this.serveQueue();
  }

  /**
   * Closes a connection whose state is unknown.
   *
   * @param connection - the connection
   */
  discard(connection: UpstreamConnection | undefined): void {
    if (connection === undefined || !this.connections.delete(connection)) return;
    connection.close();
    this.openCount -= 1;
    this.serveQueue();
  }

  /** Closes all connections, including those in use, after the member was replaced as primary. */
  closeAll(): void {
    for (const connection of this.connections) connection.close();
    this.closeIdle();
  }

  /** Closes all idle connections, for instance after the member was replaced or the proxy stops. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  private serveQueue(): void {
    while (this.queue.size > 0 && this.idle.length > 0) {
      const connection = this.idle.pop();
      if (connection !== undefined) this.checkAndAssign(connection);
    }
    const newConnections = Math.min(
      this.queue.size - this.openingCount,
      this.permits - this.openCount,
    );
    for (let count = 0; count < newConnections; count += 1) void this.openConnection();
  }

  private checkAndAssign(connection: UpstreamConnection): void {
    if (!connection.isUsable) {
      this.discard(connection);
      return;
    }
    if (connection.idleMs > this.timings.probeAfterIdleMs) {
      void this.probe(connection);
      return;
    }
    this.assign(connection);
  }

  private assign(connection: UpstreamConnection): void {
    for (;;) {
      const ticket = this.queue.shift();
      if (ticket === undefined) break;
      const waiter = this.waiters.get(ticket);
      this.waiters.delete(ticket);
      if (waiter === undefined) continue;
      waiter.resolve(connection);
      return;
    }
    this.idle.push(connection);
  }

  /** Checks a connection after a long idle time; a device on the path may have dropped it. */
  private async probe(connection: UpstreamConnection): Promise<void> {
    const timer = setTimeout(() => connection.close(), this.timings.probeTimeoutMs);
    try {
      await connection.query('SELECT 1');
      this.assign(connection);
    } catch {
      this.discard(connection);
    } finally {
      clearTimeout(timer);
    }
  }

  private async openConnection(): Promise<void> {
    this.openCount += 1;
    this.openingCount += 1;
    try {
      const connection = await UpstreamConnection.open(this.address, this.timings.connectTimeoutMs);
      this.openingCount -= 1;
      this.connections.add(connection);
      if (this.openCount > this.permits) this.discard(connection);
      else this.assign(connection);
    } catch (error) {
      this.openingCount -= 1;
      this.openCount -= 1;
      await this.handleOpenFailure(error);
    }
    this.serveQueue();
  }

  private async handleOpenFailure(error: unknown): Promise<void> {
    // A member that refuses the login, for instance at its connection limit, may soon accept one;
    // the requests wait until their deadlines.
    if (error instanceof UpstreamFailure) await delay(OPEN_RETRY_DELAY_MS);
    else this.rejectAllWaiters(error instanceof Error ? error : new ConnectionLost(String(error)));
  }

  /** Rejects all waiting requests of an unreachable member, so that they can use another one. */
  private rejectAllWaiters(error: Error): void {
    for (;;) {
      const ticket = this.queue.shift();
      if (ticket === undefined) return;
      const waiter = this.waiters.get(ticket);
      this.waiters.delete(ticket);
      waiter?.reject(error);
    }
  }

  private scheduleExpiry(deadline: Milliseconds): void {
    if (this.expiryTimer !== undefined) return;
    const waitMs = Math.max(1, Math.min(deadline - this.clock.now(), EXPIRY_INTERVAL_MS));
    this.expiryTimer = setTimeout(() => this.expireWaiters(), waitMs);
  }

  private expireWaiters(): void {
    this.expiryTimer = undefined;
    for (const ticket of this.queue.expire(this.clock.now())) {
      const waiter = this.waiters.get(ticket);
      this.waiters.delete(ticket);
      waiter?.reject(ProxyError.create(connectionsExhausted, undefined));
    }
    if (this.queue.size > 0) {
      this.scheduleExpiry(toMilliseconds(this.clock.now() + EXPIRY_INTERVAL_MS));
    }
  }
}

/** Maximum interval between checks for waiting requests whose deadline has passed. */
const EXPIRY_INTERVAL_MS = 50;
/** Delay before the next attempt after the member refused a login. */
const OPEN_RETRY_DELAY_MS = 20;
