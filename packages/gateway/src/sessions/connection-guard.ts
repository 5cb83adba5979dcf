import type { Socket } from 'node:net';
import {
  type Clock,
  ConnectionLimiter,
  type ConnectionLimits,
  type MemoryBudget,
  type ProgressLimits,
  ProgressMeter,
} from '@heatherledge/core';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';

/** Interval at which connections are checked for progress. */
const CHECK_INTERVAL_MS = 1000;

/** Who opens the connections that a guard decides on. */
export type GuardedSide = 'callers' | 'peers';

/** Limits of the connections of one side. */
export interface GuardLimits extends ConnectionLimits {
  /** When a connection on which bytes are expected is closed. */
  readonly progress: ProgressLimits;
}

/** Where a guard reports what it refuses and closes. */
export interface GuardServices {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: GatewayMetrics;
}

interface GuardedConnection {
  readonly meter: ProgressMeter;
  /** Whether the other side has begun something that it has not ended. */
  isExpecting: () => boolean;
}

/**
 * Keeps the connections that others open within their limits, so that descriptors remain for members, the
 * store and the other side, and closes those that have begun something and move too few bytes.
 */
export class ConnectionGuard {
  private readonly limiter: ConnectionLimiter<Socket>;

  private readonly connections = new Map<Socket, GuardedConnection>();

  private checkTimer: NodeJS.Timeout | undefined;

  /**
   * @param side - who opens the connections
   * @param limits - limits of the connections
   * @param services - where refusals are reported
   * @param budget - memory of the connections
   */
  constructor(
    private readonly side: GuardedSide,
    private readonly limits: GuardLimits,
    private readonly services: GuardServices,
    private readonly budget: MemoryBudget,
  ) {
    this.limiter = new ConnectionLimiter(limits);
  }

  /**
   * Decides on a connection that was just accepted; one that is refused is closed at once.
   *
   * @returns whether the connection is kept
   */
  admit(socket: Socket): boolean {
    const { clock, metrics } = this.services;
    const { isAdmitted, evicted } = this.limiter.admit(socket, `${socket.remoteAddress}`);
    if (evicted !== undefined) this.refuse(evicted, 'evicted');
    if (!isAdmitted) {
      // A reset takes no further state of the system, as waiting for the other side would.
      this.refuse(socket, 'limit');
      return false;
    }
    this.connections.set(socket, {
      meter: new ProgressMeter(this.limits.progress, clock.now()),
      isExpecting: () => true,
    });
    socket.once('close', () => {
      this.limiter.remove(socket);
      this.connections.delete(socket);
      metrics.guardedConnections.set({ side: this.side }, this.limiter.count);
    });
    metrics.guardedConnections.set({ side: this.side }, this.limiter.count);
    this.checkTimer ??= setInterval(() => this.checkProgress(), CHECK_INTERVAL_MS);
    return true;
  }

  /**
   * Records that a connection has begun to serve, so that it is not closed for a new one.
   *
   * @param isExpecting - whether the other side has begun something that it has not ended
   */
  recordEstablished(socket: Socket, isExpecting: () => boolean): void {
    this.limiter.recordEstablished(socket);
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.isExpecting = isExpecting;
  }

  /** Stops checking; the connections stay open. */
  stop(): void {
    clearInterval(this.checkTimer);
    this.checkTimer = undefined;
  }

  private checkProgress(): void {
    const now = this.services.clock.now();
    // The clock of the connections, which keeps running while the process is suspended.
    this.budget.reclaimStalled(performance.now());
    for (const [socket, { meter, isExpecting }] of this.connections) {
      const moved = socket.bytesRead + socket.bytesWritten - socket.writableLength;
      if (meter.checkSlow(now, moved, isExpecting())) this.refuse(socket, 'slow');
    }
  }

  private refuse(socket: Socket, reason: 'limit' | 'evicted' | 'slow'): void {
    const { log, metrics } = this.services;
    const { side } = this;
    log.warn('connection.refused', { side, reason, remote: socket.remoteAddress });
    metrics.connectionsRefused.inc({ side, reason });
    socket.resetAndDestroy();
  }
}
