import type { Clock } from '@heatherledge/core';
import { type DestinationStream, pino } from 'pino';

/** Maximum number of lines of one event in a period; those beyond it are dropped and counted. */
const MAX_LINES_PER_PERIOD = 20;
/** Period in which the lines of an event are counted. */
const LINE_COUNT_PERIOD_MS = 1000;

/** Texts of callers, members and operators can be as long as a message; the start identifies them. */
const MAX_TEXT_CHARACTERS = 1024;

/** Fields of a log line. */
export type EventFields = Readonly<Record<string, unknown>>;

interface EventCount {
  startedAt: number;
  lines: number;
  dropped: number;
}

/**
 * Writes events to the log as JSON lines. The number of lines of each event in a period is limited;
 * if lines were dropped, a `log.dropped` line with their number precedes the event's next line.
 */
export class EventLog {
  private readonly logger;

  private readonly counts = new Map<string, EventCount>();

  /**
   * @param clock - source of time
   * @param destination - receives the lines; standard output by default
   */
  constructor(
    private readonly clock: Clock,
    destination?: DestinationStream,
  ) {
    const options = {
      base: undefined,
      formatters: { level: (level: string) => ({ level }) },
    };
    this.logger = destination === undefined ? pino(options) : pino(options, destination);
  }

  /** Writes a line about normal operation. */
  info(event: string, fields: EventFields = {}): void {
    this.write('info', event, fields);
  }

  /** Writes a line about something that may need an operator's attention. */
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
    if (now - count.startedAt >= LINE_COUNT_PERIOD_MS) {
      if (count.dropped > 0) {
        this.logger.warn({ event: 'log.dropped', of: event, lines: count.dropped });
      }
      Object.assign(count, { startedAt: now, lines: 0, dropped: 0 });
    }
    if (count.lines >= MAX_LINES_PER_PERIOD) {
      count.dropped += 1;
      return;
    }
    count.lines += 1;
    this.logger[level]({ at: Math.round(now), event, ...formatFields(fields) });
  }
}

function formatFields(fields: EventFields): EventFields {
  const limited: Record<string, unknown> = {};
  for (const [name, value] of Object.entries(fields)) {
    limited[name] = typeof value === 'string' ? formatText(value) : value;
  }
  return limited;
}

function formatText(text: string): string {
  if (text.length <= MAX_TEXT_CHARACTERS) return text;
  // The last character may be the first half of a pair.
  const start = text.slice(0, MAX_TEXT_CHARACTERS).replace(/[\uD800-\uDBFF]$/, '');
  return `${start} (${text.length} characters)`;
}
