import type { GroupId, InstanceId, MemberId, Milliseconds } from '../types/ids.js';

/** How long a report counts. Instances repeat it as long as they cannot reach the primary. */
export const REPORT_TTL_MS = 700;
/** Share of the observers that must be unable to reach a running primary before it is replaced. */
const MIN_UNREACHABLE_SHARE = 0.34;
/**
 * How long that share of the observers must be unable to reach it. A change of primary makes
 * callers wait about as long.
 */
const MIN_UNREACHABLE_MS = 1200;

interface Report {
  readonly since: Milliseconds;
  readonly receivedAt: Milliseconds;
}

/** Result of the coordinator's own probe of the primary. */
export interface ProbeResult {
  readonly isAlive: boolean;
}

/** Tracks which instances report that they cannot reach a group's primary. */
export class SuspicionTracker {
  private readonly reports = new Map<
    GroupId,
    { member: MemberId; byReporter: Map<InstanceId, Report> }
  >();

  /**
   * Records a report. A report about another primary of the group discards the earlier reports.
   *
   * @param group - the group
   * @param member - the group's primary according to the reporter
   * @param reporter - instance that cannot reach it
   * @param now - current time
   */
  record(group: GroupId, member: MemberId, reporter: InstanceId, now: Milliseconds): void {
    let entry = this.reports.get(group);
    if (entry?.member !== member) {
      entry = { member, byReporter: new Map() };
      this.reports.set(group, entry);
    }
    const known = entry.byReporter.get(reporter);
    const isCurrent = known !== undefined && now - known.receivedAt < REPORT_TTL_MS;
    entry.byReporter.set(reporter, { since: isCurrent ? known.since : now, receivedAt: now });
  }

  /** @returns whether any instance currently reports the primary */
  isSuspected(group: GroupId, member: MemberId, now: Milliseconds): boolean {
    return this.listReports(group, member, now).length > 0;
  }

  /**
   * Decides whether a primary must be replaced.
   *
   * If the coordinator's probe fails too, reports of two instances are enough. A running primary is
   * replaced only if a larger share of the observers has reported it for some time, so that a
   * single partitioned instance cannot cause the replacement of a primary that serves the others.
   *
   * @param group - the group
   * @param member - its primary
   * @param observerCount - number of instances that were asked to probe the primary
   * @param probe - result of the coordinator's own probe
   * @param now - current time
   */
  needsPrimaryChange(
    group: GroupId,
    member: MemberId,
    observerCount: number,
    probe: ProbeResult,
    now: Milliseconds,
  ): boolean {
    const reports = this.listReports(group, member, now);
    if (reports.length === 0) return false;
    if (!probe.isAlive) return reports.length >= Math.min(2, observerCount);
    const lastingReports = reports.filter(({ since }) => now - since >= MIN_UNREACHABLE_MS);
    return lastingReports.length >= Math.max(2, observerCount * MIN_UNREACHABLE_SHARE);
  }

  /** Removes a group's reports after its primary has changed. */
  remove(group: GroupId): void {
    this.reports.delete(group);
  }

  private listReports(group: GroupId, member: MemberId, now: Milliseconds): Report[] {
    const entry = this.reports.get(group);
    if (entry === undefined || entry.member !== member) return [];
    return [...entry.byReporter.values()].filter(
      ({ receivedAt }) => now - receivedAt < REPORT_TTL_MS,
    );
  }
}
