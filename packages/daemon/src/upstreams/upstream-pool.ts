/** Connections of one instance to one member: few, shared fairly, replaced when silent. */
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

/** Bounds and periods of a pool. */
export interface PoolTimings {
  readonly connectTimeoutMs: number;
  /** A connection idle for longer is probed before it is used again. */
  readonly probeAfterIdleMs: number;
  readonly probeTimeoutMs: number;
}

/** Default bounds and periods. */
export const DEFAULT_POOL_TIMINGS: PoolTimings = {
  connectTimeoutMs: 1000,
  probeAfterIdleMs: 5000,
  probeTimeoutMs: 300,
};

/** Default bounds of the queue for connections. */
export const DEFAULT_QUEUE_BOUNDS: QueueBounds = { perOrganisation: 500, total: 2000 };

/** Who asks for a connection. */
export interface ConnectionRequest {
  readonly organisation: OrganisationId;
  readonly weight: number;
  readonly deadline: Milliseconds;
}

interface Waiter {
  readonly resolve: (connection: UpstreamConnection) => void;
  readonly reject: (error: Error) => void;
}

/** Counts for the state dump and metrics. */
export interface PoolState {
  readonly member: MemberId;
  readonly open: number;
  readonly idle: number;
  readonly waiting: number;
  readonly permits: number;
}

/** Owns the connections to one member. */
export class UpstreamPool {
  private readonly queue: FairQueue;

  private readonly waiters = new Map<QueueTicket, Waiter>();

  private idle: UpstreamConnection[] = [];

  /** All open connections, idle ones and those in use. */
  private readonly connections = new Set<UpstreamConnection>();

  private open = 0;

  private opening = 0;

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
   * Sets how many connections may be open; those above it close as soon as they are free.
   *
   * @param permits - most open connections
   */
  setPermits(permits: number): void {
    this.permits = permits;
    while (this.open > this.permits && this.idle.length > 0) this.discard(this.idle.pop());
    this.serve();
  }

  /** @returns requests that run or wait here */
  get load(): number {
    return this.open - this.idle.length + this.queue.size;
  }

  /** @returns counts for people */
  get state(): PoolState {
    const { member, open, permits } = this;
    return { member, open, idle: this.idle.length, waiting: this.queue.size, permits };
  }

  /**
   * Waits for a connection.
   *
   * @param request - who asks, and until when
   * @returns a connection that is the caller's until it is released
   * @throws ProxyError if none comes free in time
   * @throws ConnectionLost if the member cannot be reached
   */
  async acquire(request: ConnectionRequest): Promise<UpstreamConnection> {
    const { organisation, weight, deadline } = request;
    const ticket = this.queue.push(organisation, weight, deadline);
    if (ticket === undefined) throw ProxyError.create(connectionsExhausted, undefined);
    const promise = new Promise<UpstreamConnection>((resolve, reject) => {
      this.waiters.set(ticket, { resolve, reject });
    });
    this.serve();
    this.scheduleExpiry(deadline);
    return promise;
  }

  /**
   * Gives a connection back.
   *
   * @param connection - connection whose session holds nothing of the request any more
   */
  release(connection: UpstreamConnection): void {
    if (!connection.isUsable || this.open > this.permits) this.discard(connection);
    else this.idle.push(connection);
    this.serve();
  }

  /**
   * Ends a connection whose state is not known.
   *
   * @param connection - the connection
   */
  discard(connection: UpstreamConnection | undefined): void {
    if (connection === undefined || !this.connections.delete(connection)) return;
    connection.close();
    this.open -= 1;
    this.serve();
  }

  /** Ends what runs here, because the member has been replaced as primary. */
  interrupt(): void {
    for (const connection of this.connections) connection.close();
    this.closeIdle();
  }

  /** Ends all idle connections, for instance after the member was replaced or the proxy stops. */
  closeIdle(): void {
    for (const connection of this.idle.splice(0)) this.discard(connection);
  }

  private serve(): void {
    while (this.queue.size > 0 && this.idle.length > 0) {
      const connection = this.idle.pop();
      if (connection !== undefined) this.hand(connection);
    }
    const wanted = Math.min(this.queue.size - this.opening, this.permits - this.open);
    for (let count = 0; count < wanted; count += 1) void this.openOne();
  }

  private hand(connection: UpstreamConnection): void {
    if (!connection.isUsable) {
      this.discard(connection);
      return;
    }
    if (connection.idleMs > this.timings.probeAfterIdleMs) {
      void this.probe(connection);
      return;
    }
    this.give(connection);
  }

  private give(connection: UpstreamConnection): void {
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

  /** Something between the ends may have lost track of a connection that was idle for long. */
  private async probe(connection: UpstreamConnection): Promise<void> {
    const timer = setTimeout(() => connection.close(), this.timings.probeTimeoutMs);
    try {
      await connection.query('SELECT 1');
      this.give(connection);
    } catch {
      this.discard(connection);
    } finally {
      clearTimeout(timer);
    }
  }

  private async openOne(): Promise<void> {
    this.open += 1;
    this.opening += 1;
    try {
      const connection = await UpstreamConnection.open(this.address, this.timings.connectTimeoutMs);
      this.opening -= 1;
      this.connections.add(connection);
      if (this.open > this.permits) this.discard(connection);
      else this.give(connection);
    } catch (error) {
      this.opening -= 1;
      this.open -= 1;
      await this.handleOpenFailure(error);
    }
    this.serve();
  }

  private async handleOpenFailure(error: unknown): Promise<void> {
    // A member that has no connection left may have one soon; the requests keep their deadlines.
    if (error instanceof UpstreamFailure) await delay(REFUSED_PAUSE_MS);
    else this.failAll(error instanceof Error ? error : new ConnectionLost(String(error)));
  }

  /** All who wait learn at once that the member cannot be reached, and may go elsewhere. */
  private failAll(error: Error): void {
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
    const waitMs = Math.max(1, Math.min(deadline - this.clock.now(), EXPIRY_STEP_MS));
    this.expiryTimer = setTimeout(() => this.expire(), waitMs);
  }

  private expire(): void {
    this.expiryTimer = undefined;
    for (const ticket of this.queue.expire(this.clock.now())) {
      const waiter = this.waiters.get(ticket);
      this.waiters.delete(ticket);
      waiter?.reject(ProxyError.create(connectionsExhausted, undefined));
    }
    if (this.queue.size > 0) this.scheduleExpiry(toMilliseconds(this.clock.now() + EXPIRY_STEP_MS));
  }
}

const EXPIRY_STEP_MS = 50;
const REFUSED_PAUSE_MS = 20;
