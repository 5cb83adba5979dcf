import type { Milliseconds } from '../types/ids.js';
import { StatementTimes } from './statement-times.js';

/** What a host reports of its member along with each reply. */
export interface MemberLoad {
  /** Statements that wait for or run at the member. */
  readonly pending: number;
  /** Mean time of statements of the reply's priority, in milliseconds. */
  readonly statementMs?: number | undefined;
}

/** Time for which a report describes the member; a few statements run in it. */
const REPORT_TTL_MS = 400;

/**
 * Tracks a member's load as an instance that is not its host knows it.
 *
 * Load pattern: hundreds of instances send statements to a member that runs two at a time. Each of
 * them has sent one in a while, so its own count says nothing about the member's queue.
 */
export class MemberLoadTracker {
  private outstanding = 0;

  private reported: MemberLoad | undefined;

  private reportedAt: Milliseconds | undefined;

  /** Statement times at the member, by priority. */
  readonly times = new StatementTimes();

  /** Records that this instance sent a statement to the member. */
  recordStart(): void {
    this.outstanding += 1;
  }

  /** Records that a statement ended. */
  recordEnd(): void {
    this.outstanding -= 1;
  }

  /**
   * Records the host's report.
   *
   * @param load - the report
   * @param priority - priority of the statement that it came with
   * @param now - current time
   */
  recordReport(load: MemberLoad, priority: number, now: Milliseconds): void {
    this.reported = load;
    this.reportedAt = now;
    if (load.statementMs !== undefined) this.times.setMean(priority, load.statementMs, now);
  }

  /** @returns estimated number of statements that wait for or run at the member */
  estimatePending(now: Milliseconds): number {
    const isCurrent = this.reportedAt !== undefined && now - this.reportedAt < REPORT_TTL_MS;
    return Math.max(this.outstanding, isCurrent ? (this.reported?.pending ?? 0) : 0);
  }
}
