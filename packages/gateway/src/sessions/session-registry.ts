import { delay } from '@heatherledge/daemon';
import type { CallerChannel, CallerHandler } from '../ports/caller-protocol.js';
import { CallerSession, type CallerSessionServices } from './caller-session.js';

/**
 * Share of the stop timeout in which callers are served as before, until the load balancer has
 * detected that the instance is stopping.
 */
const SERVING_TIME_RATIO = 0.35;
/** Share of the stop timeout after which open transactions are rolled back. */
const TRANSACTION_TIME_RATIO = 0.5;
/** Share of the stop timeout after which the instance stops although sessions are open. */
const MAX_DRAIN_TIME_RATIO = 0.85;
/** Interval at which a stopping instance checks for open sessions. */
const DRAIN_CHECK_INTERVAL_MS = 50;

/** Holds the sessions of all callers of this instance. */
export class SessionRegistry {
  private readonly sessions = new Set<CallerSession>();

  private isDraining = false;

  constructor(private readonly services: Omit<CallerSessionServices, 'onEnd'>) {}

  /** @returns number of connected callers */
  get count(): number {
    return this.sessions.size;
  }

  /**
   * Opens a session for a new caller.
   *
   * @param channel - the caller's connection
   * @returns the handler of the caller's messages
   */
  accept(channel: CallerChannel): CallerHandler {
    const onEnd = (ended: CallerSession): void => {
      this.sessions.delete(ended);
      this.services.metrics.sessions.set(this.sessions.size);
    };
    const session = new CallerSession(channel, { ...this.services, onEnd });
    this.sessions.add(session);
    this.services.metrics.sessions.set(this.sessions.size);
    if (this.isDraining) session.closeWhenIdle(true);
    return session;
  }

  /** Rolls back open transactions that changed allowed regions do not permit any more. */
  checkRegions(): void {
    for (const session of this.sessions) session.checkRegions();
  }

  /**
   * Closes the sessions as they become idle, and rolls back transactions that stay open too long.
   *
   * @param stopTimeoutMs - time until the process is killed, in milliseconds
   */
  async drain(stopTimeoutMs: number): Promise<void> {
    const { clock } = this.services;
    const startedAt = clock.now();
    await delay(stopTimeoutMs * SERVING_TIME_RATIO);
    this.isDraining = true;
    for (const session of this.sessions) session.closeWhenIdle(false);
    while (
      this.sessions.size > 0 &&
      clock.now() - startedAt < stopTimeoutMs * MAX_DRAIN_TIME_RATIO
    ) {
      await delay(DRAIN_CHECK_INTERVAL_MS);
      if (clock.now() - startedAt < stopTimeoutMs * TRANSACTION_TIME_RATIO) continue;
      for (const session of this.sessions) session.abortTransaction();
    }
  }
}
