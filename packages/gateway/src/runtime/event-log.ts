/** Structured log lines of bounded volume. */
import type { Clock } from '@heatherledge/core';
import { pino } from 'pino';

/** Most lines of one event in a period; those beyond are counted. */
const LINES_PER_PERIOD = 20;
/** Length of a period. */
const PERIOD_MS = 1000;

/** Fields of a line. */
export type EventFields = Readonly<Record<string, unknown>>;

interface EventCount {
  startedAt: number;
  lines: number;
  dropped: number;
}

/** Writes one JSON line an event, and says how many were left out. */
export class EventLog {
  private readonly logger = pino({
    base: undefined,
    formatters: { level: (level) => ({ level }) },
  });

  private readonly counts = new Map<string, EventCount>();

  /** @param clock - source of time */
  constructor(private readonly clock: Clock) {}

  /** Writes a line about ordinary work. */
  info(event: string, fields: EventFields = {}): void {
    this.write('info', event, fields);
  }

  /** Writes a line about something that operators may have to know. */
  warn(event: string, fields: EventFields = {}): void {
    this.write('warn', event, fields);
  }

  private write(level: 'info' | 'warn', event: string, fields: EventFields): void {
    const now = this.clock.now();
    let count = this.counts.get(event);
    if (count === undefined) {
      count = { startedAt: now, lines: 0, dropped: 0 };
      this.counts.set(event, count);
    }
    if (now - count.startedAt >= PERIOD_MS) {
      if (count.dropped > 0) {
        this.logger.warn({ event: 'log.dropped', of: event, lines: count.dropped });
      }
      Object.assign(count, { startedAt: now, lines: 0, dropped: 0 });
    }
    if (count.lines >= LINES_PER_PERIOD) {
      count.dropped += 1;
      return;
    }
    count.lines += 1;
    this.logger[level]({ at: Math.round(now), event, ...fields });
  }
}
