import {
  type Clock,
  computeRetryAfterMs,
  type MemberEntry,
  type Milliseconds,
  type OrganisationId,
  toMilliseconds,
  WaitEstimator,
} from '@heatherledge/core';
import type { WireError } from '../ports/caller-protocol.js';
import type { MemberConnector, PrepareCommand } from '../ports/member-protocol.js';
import {
  type MemberConnectionListener,
  type ExchangeResult,
  MemberConnection,
  type SessionState,
} from './member-connection.js';
import {
  type AcquireRequest,
  type AcquireResult,
  type AcquireFailure,
  type Waiter,
  ConnectionWaitQueue,
} from './connection-wait-queue.js';
import type { PoolLimits, PoolListener } from './pool-listener.js';

/** Allows for a round trip between regions, the handshake and a short queue. */
const CONNECTION_OPEN_TIMEOUT_MS = 500;
/**
 * Connections that a pool opens at the same time. Each handshake takes one of the member's two slots
 * for 12 ms: with more at once from every instance, a member at its connection limit would do little
 * else.
 */
const MAX_OPENING_CONNECTIONS = 2;
/**
 * An unused connection is closed after this. Opening it again would take a member's slot for 12 ms,
 * so this is long; the member itself closes connections only after a minute.
 */
const IDLE_TIMEOUT_MS = 30_000;
/**
 * Delay before the next attempt to connect after the member refused a connection at its limit; about
 * as long as a short statement takes.
 */
const MIN_RECONNECT_DELAY_MS = 15;
/**
 * The delay doubles with each refusal in a row up to this, so that a fleet waiting for connections
 * does not fill the member's accept queue; a third of the shortest latency objective observed.
 */
const MAX_RECONNECT_DELAY_MS = 120;
/**
 * Maximum length of the session values of a pool's idle connections. The sessions that set them may have
 * ended, and are no longer counted in the memory of their callers.
 */
const MAX_IDLE_VALUE_BYTES = 1024 * 1024;
/** Time for which other members are preferred after this one could not be reached. */
const UNREACHABLE_TTL_MS = 600;

/**
 * The connections of one instance to one member. Each serves one request at a time and is reused only
 * within its organisation.
 */
export class MemberPool implements MemberConnectionListener {
  private readonly idle: MemberConnection[] = [];

  private readonly busy = new Set<MemberConnection>();

  private readonly opening = new Map<MemberConnection, NodeJS.Timeout>();

  private readonly queue = new ConnectionWaitQueue();

  private readonly waitEstimator = new WaitEstimator();

  /** Time until which another member is preferred, if one can serve. */
  avoidUntil: Milliseconds = toMilliseconds(0);

  /** When the member last accepted a connection or sent a reply. */
  lastReplyAt: Milliseconds;

  private reconnectAt: Milliseconds = toMilliseconds(0);

  private reconnectDelayMs = MIN_RECONNECT_DELAY_MS;

  private servingTimer: NodeJS.Timeout | undefined;

  private isClosed = false;

  /**
   * Prevents re-entry: closing a connection calls `onClosed` synchronously, also while the queue is
   * being served.
   */
  private isServing = false;

  constructor(
    private readonly entry: MemberEntry,
    private readonly connector: MemberConnector,
    private readonly limits: PoolLimits,
    private readonly listener: PoolListener,
    private readonly clock: Clock,
  ) {
    this.lastReplyAt = clock.now();
  }

  /** @returns number of requests that wait for or hold a connection */
  get pending(): number {
    return this.busy.size + this.queue.length;
  }

  /** @returns maximum number of connections of this instance */
  get maxConnections(): number {
    return this.limits.maxConnections;
  }

  /** @returns number of connections, open or being opened */
  get size(): number {
    return this.idle.length + this.busy.size + this.opening.size;
  }

  /** @returns whether the member has accepted a connection that is still open */
  get hasOpenConnection(): boolean {
    return this.idle.length + this.busy.size > 0;
  }

  /** @returns whether an idle connection for an organisation exists */
  hasIdle(organisation: OrganisationId | undefined): boolean {
    return this.idle.some((connection) => connection.organisation === organisation);
  }

  /**
   * Acquires a connection, which the caller must release.
   *
   * @param request - whose connection, and the maximum wait
   * @returns the connection, or why the request was refused
   */
  async acquire(request: AcquireRequest): Promise<AcquireResult> {
    if (this.isClosed) return { kind: 'refused', reason: 'closed' };
    const { organisation, session, waitMs, maxEstimatedWaitMs, priority } = request;
    const connection = this.takeIdle(organisation, session);
    if (connection !== undefined) return { kind: 'connection', connection };
    if (!this.mayOpen(organisation)) return { kind: 'refused', reason: 'closed' };
    const index = this.queue.findInsertIndex(priority);
    const estimatedWaitMs = this.waitEstimator.estimateWait(index, this.clock.now());
    if (index >= this.limits.maxWaiting || estimatedWaitMs > Math.min(waitMs, maxEstimatedWaitMs)) {
      const retryAfterMs = computeRetryAfterMs(estimatedWaitMs - maxEstimatedWaitMs);
      return { kind: 'refused', reason: 'overloaded', retryAfterMs };
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.expire(waiter), Math.max(1, waitMs));
      const since = this.clock.now();
      const waiter = { organisation, session, resolve, timer, since, priority };
      this.queue.insert(waiter, index);
      this.serveQueue();
    });
  }

  /**
   * Returns a connection to the pool.
   *
   * @param connection - must be outside a transaction; otherwise it is destroyed
   */
  release(connection: MemberConnection): void {
    if (connection.transactionState !== 'idle') connection.discard('left inside a transaction');
    if (!this.busy.delete(connection) || connection.isClosed) return;
    if (this.isClosed) {
      connection.close();
      return;
    }
    connection.idleSince = this.clock.now();
    const next = this.queue.takeNext(connection.organisation, this.clock.now());
    if (next !== undefined) {
      this.grant(connection, next);
      return;
    }
    this.keepIdle(connection);
    if (this.queue.length > 0) this.serveQueue();
  }

  /**
   * Keeps a released connection in place of the one that has been idle for longest.
   *
   * Load pattern: many more organisations than idle connections, most of which send little. If the
   * connections that became idle first were kept, those of rare organisations would stay for the
   * idle timeout, and the active ones would open a connection for almost every statement.
   */
  private keepIdle(connection: MemberConnection): void {
    const { maxIdleConnections } = this.limits;
    if (maxIdleConnections === 0 || !this.mayKeepValues(connection)) {
      connection.close();
      return;
    }
    // Requests that wait are served afterwards, when the released connection counts again.
    const wasServing = this.isServing;
    this.isServing = true;
    while (this.idle.length >= maxIdleConnections) this.closeOldestIdle();
    this.isServing = wasServing;
    this.idle.push(connection);
  }

  private mayKeepValues(connection: MemberConnection): boolean {
    let bytes = connection.valueBytes;
    if (bytes === 0) return true;
    for (const other of this.idle) bytes += other.valueBytes;
    return bytes <= MAX_IDLE_VALUE_BYTES;
  }

  /** Drops an acquired connection whose state is unknown. */
  discard(connection: MemberConnection, reason: string): void {
    connection.discard(reason);
  }

  /** Closes connections that are not needed; called periodically. */
  trim(): void {
    const now = this.clock.now();
    for (const connection of [...this.idle]) {
      const exceedsMaxIdle = this.idle.length > this.limits.maxIdleConnections;
      if (exceedsMaxIdle || now - connection.idleSince >= IDLE_TIMEOUT_MS) connection.close();
    }
  }

  /**
   * @param now - current time
   * @returns milliseconds without a reply while one is outstanding; 0 if none is
   */
  computeSilenceMs(now: Milliseconds): number {
    let oldest: Milliseconds | undefined;
    for (const connection of this.busy) {
      const sentAt = connection.oldestSentAt;
      if (sentAt !== undefined && (oldest === undefined || sentAt < oldest)) oldest = sentAt;
    }
    if (oldest === undefined) return 0;
    return now - Math.max(oldest, this.lastReplyAt);
  }

  /**
   * Closes the idle connections and refuses the requests that wait; connections in use or being
   * opened are closed when they are released.
   */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.servingTimer);
    for (const connection of [...this.idle]) connection.close();
    for (const waiter of this.queue.takeAll()) this.refuse(waiter, 'closed');
  }

  onOpen(connection: MemberConnection): void {
    this.listener.onConnection('opened');
    this.listener.onReachable?.(this.entry, true);
    this.lastReplyAt = this.clock.now();
    this.avoidUntil = toMilliseconds(0);
    this.reconnectDelayMs = MIN_RECONNECT_DELAY_MS;
    this.removeOpening(connection);
    this.busy.add(connection);
    this.release(connection);
  }

  onReply(_: MemberConnection, exchange: Extract<ExchangeResult, { kind: 'answered' }>): void {
    this.lastReplyAt = this.clock.now();
    this.listener.onReply(this.entry, exchange);
  }

  onPrepare(connection: MemberConnection, command: PrepareCommand): void {
    this.listener.onPrepare(this.entry, connection, command);
  }

  onClosed(connection: MemberConnection, error: WireError | undefined): void {
    const wasOpening = this.removeOpening(connection);
    this.busy.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    const isAtLimit = error?.code === 'connection-limit';
    const hasFailed = !connection.isOrderlyClosed && !isAtLimit && !this.isClosed;
    // A connection that is being opened may reach the member after its restart.
    if (hasFailed && !this.hasOpenConnection) this.listener.onReachable?.(this.entry, false);
    if (wasOpening) this.handleOpenFailure(error);
    else this.serveQueue();
  }

  /** An attempt to open a connection would fail, and make the member look unreachable to all. */
  private mayOpen(organisation: OrganisationId | undefined): boolean {
    const { entry } = this;
    return this.connector.mayOpen({ entry, group: entry.group, organisation });
  }

  private handleOpenFailure(error: WireError | undefined): void {
    const isAtLimit = error?.code === 'connection-limit';
    this.listener.onConnection(isAtLimit ? 'refused' : 'failed');
    if (isAtLimit) {
      const now = this.clock.now();
      this.reconnectAt = toMilliseconds(now + this.reconnectDelayMs);
      // Makes room for the organisation that waits.
      this.closeOldestIdle();
      this.scheduleServing(this.reconnectDelayMs);
      this.reconnectDelayMs = Math.min(MAX_RECONNECT_DELAY_MS, this.reconnectDelayMs * 2);
      return;
    }
    this.avoidUntil = toMilliseconds(this.clock.now() + UNREACHABLE_TTL_MS);
    this.listener.onUnreachable(this.entry, error?.text ?? 'the connection was closed');
    const reason = error?.code === 'wrong-member' ? 'wrong-member' : 'unreachable';
    for (const waiter of this.queue.takeAll()) this.refuse(waiter, reason);
  }

  private takeIdle(
    organisation: OrganisationId | undefined,
    session: SessionState,
  ): MemberConnection | undefined {
    let bestIndex = -1;
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index] as MemberConnection;
      if (connection.organisation !== organisation) continue;
      if (connection.hasValues(session)) {
        bestIndex = index;
        break;
      }
      if (bestIndex < 0) bestIndex = index;
    }
    if (bestIndex < 0) return undefined;
    const [connection] = this.idle.splice(bestIndex, 1) as [MemberConnection];
    this.busy.add(connection);
    return connection;
  }

  /**
   * Gives idle connections to waiting requests, and opens new ones as far as the limits allow. Also
   * called when a request will hold its connection for long: the next release may be far away.
   */
  serveQueue(): void {
    if (this.isClosed || this.isServing) return;
    this.isServing = true;
    this.assignConnections();
    this.isServing = false;
  }

  private assignConnections(): void {
    // Each connection that is being opened will serve one of the first requests of the queue.
    while (this.queue.length > this.opening.size) {
      const waiter = this.queue.at(this.opening.size) as Waiter;
      const connection = this.takeIdle(waiter.organisation, waiter.session);
      if (connection !== undefined) {
        this.queue.remove(waiter);
        this.grant(connection, waiter);
        continue;
      }
      if (this.opening.size >= MAX_OPENING_CONNECTIONS) return;
      if (this.clock.now() < this.reconnectAt) {
        this.scheduleServing(this.reconnectAt - this.clock.now());
        return;
      }
      if (this.size >= this.limits.maxConnections && !this.closeOldestIdle()) return;
      this.open(waiter.organisation);
    }
  }

  private closeOldestIdle(): boolean {
    const [oldest] = this.idle;
    if (oldest === undefined) return false;
    oldest.close();
    return true;
  }

  private open(organisation: OrganisationId | undefined): void {
    const target = { entry: this.entry, group: this.entry.group, organisation };
    const connection = new MemberConnection(this.connector, target, this, this.clock);
    const timer = setTimeout(
      () => connection.destroy('not accepted in time'),
      CONNECTION_OPEN_TIMEOUT_MS,
    );
    this.opening.set(connection, timer);
  }

  private removeOpening(connection: MemberConnection): boolean {
    clearTimeout(this.opening.get(connection));
    return this.opening.delete(connection);
  }

  private grant(connection: MemberConnection, waiter: Waiter): void {
    clearTimeout(waiter.timer);
    this.waitEstimator.recordDequeue(this.clock.now(), this.queue.length > 0);
    this.busy.add(connection);
    waiter.resolve({ kind: 'connection', connection });
  }

  private expire(waiter: Waiter): void {
    if (this.queue.remove(waiter)) this.refuse(waiter, 'timeout');
  }

  private refuse(waiter: Waiter, reason: AcquireFailure): void {
    clearTimeout(waiter.timer);
    const now = this.clock.now();
    const estimatedWaitMs = this.waitEstimator.estimateWait(this.queue.length, now);
    const retryAfterMs = reason === 'timeout' ? computeRetryAfterMs(estimatedWaitMs) : undefined;
    waiter.resolve({ kind: 'refused', reason, retryAfterMs });
  }

  private scheduleServing(ms: number): void {
    this.servingTimer ??= setTimeout(() => {
      this.servingTimer = undefined;
      this.serveQueue();
    }, ms);
  }
}
