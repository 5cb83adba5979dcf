/** All callers of one instance. */
import { delay } from '@heatherledge/daemon';
import type { CallerChannel, CallerHandler } from '../ports/caller-protocol.js';
import { CallerSession, type CallerSessionServices } from './caller-session.js';

/** Part of the time to stop in which callers may go on as before, until the balancer has noticed. */
const SERVE_PART = 0.35;
/** Part of the time to stop after which open transactions are rolled back. */
const ABORT_PART = 0.5;
/** Part of the time to stop after which the process ends whatever is left. */
const END_PART = 0.85;
/** How often a stopping instance looks whether callers are left. */
const POLL_MS = 50;

/** Owns the sessions. */
export class SessionsTask {
  private readonly sessions = new Set<CallerSession>();

  private isLeaving = false;

  constructor(private readonly services: Omit<CallerSessionServices, 'onEnd'>) {}

  /** @returns callers connected */
  get count(): number {
    return this.sessions.size;
  }

  /**
   * @param channel - a new caller's connection
   * @returns who takes its messages
   */
  accept(channel: CallerChannel): CallerHandler {
    const onEnd = (ended: CallerSession): void => {
      this.sessions.delete(ended);
      this.services.metrics.sessions.set(this.sessions.size);
    };
    const session = new CallerSession(channel, { ...this.services, onEnd });
    this.sessions.add(session);
    this.services.metrics.sessions.set(this.sessions.size);
    if (this.isLeaving) session.leave(true);
    return session;
  }

  /**
   * Lets callers finish and go.
   *
   * @param withinMs - time until the process is killed
   */
  async drain(withinMs: number): Promise<void> {
    const { clock } = this.services;
    const startedAt = clock.now();
    await delay(withinMs * SERVE_PART);
    this.isLeaving = true;
    for (const session of this.sessions) session.leave(false);
    while (this.sessions.size > 0 && clock.now() - startedAt < withinMs * END_PART) {
      await delay(POLL_MS);
      if (clock.now() - startedAt < withinMs * ABORT_PART) continue;
      for (const session of this.sessions) session.abortTransaction();
    }
  }
}
