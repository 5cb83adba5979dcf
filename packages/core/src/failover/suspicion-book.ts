/** Gathers which instances cannot reach which primaries. */
import type { GroupId, InstanceId, MemberId, Milliseconds } from '../types/ids.js';

/** How long a report counts; it is repeated while the trouble lasts. */
export const REPORT_LIFE_MS = 700;
/** Part of the instances that cannot reach a primary for which another one is chosen. */
const CUT_OFF_PART = 0.34;
/** How long that must last: a change takes about as long as callers would otherwise wait. */
const CUT_OFF_LASTS_MS = 1200;

interface Report {
  readonly since: Milliseconds;
  readonly at: Milliseconds;
}

/** What the coordinator itself found when it asked the primary. */
export interface ProbeResult {
  readonly isAlive: boolean;
}

/** Reports about one primary each. */
export class SuspicionBook {
  private readonly reports = new Map<GroupId, { member: MemberId; by: Map<InstanceId, Report> }>();

  /**
   * @param group - the group
   * @param member - its primary, as the reporter knows it
   * @param by - who cannot reach it
   * @param now - present moment
   */
  note(group: GroupId, member: MemberId, by: InstanceId, now: Milliseconds): void {
    let entry = this.reports.get(group);
    if (entry?.member !== member) {
      entry = { member, by: new Map() };
      this.reports.set(group, entry);
    }
    const known = entry.by.get(by);
    const isFresh = known !== undefined && now - known.at < REPORT_LIFE_MS;
    entry.by.set(by, { since: isFresh ? known.since : now, at: now });
  }

  /** @returns whether any instance reports the primary now */
  isSuspected(group: GroupId, member: MemberId, now: Milliseconds): boolean {
    return this.listReports(group, member, now).length > 0;
  }

  /**
   * Decides whether a primary must be replaced.
   *
   * One instance that is cut off must not depose a primary that serves the others.
   *
   * @param group - the group
   * @param member - its primary
   * @param instances - instances of the fleet
   * @param probe - what the coordinator itself found
   * @param now - present moment
   */
  needsChange(
    group: GroupId,
    member: MemberId,
    instances: number,
    probe: ProbeResult,
    now: Milliseconds,
  ): boolean {
    const reports = this.listReports(group, member, now);
    if (reports.length === 0) return false;
    if (!probe.isAlive) return reports.length >= Math.min(2, instances);
    const lasting = reports.filter(({ since }) => now - since >= CUT_OFF_LASTS_MS);
    return lasting.length >= Math.max(2, instances * CUT_OFF_PART);
  }

  /** Forgets a group's reports after its primary has changed. */
  remove(group: GroupId): void {
    this.reports.delete(group);
  }

  private listReports(group: GroupId, member: MemberId, now: Milliseconds): Report[] {
    const entry = this.reports.get(group);
    if (entry === undefined || entry.member !== member) return [];
    return [...entry.by.values()].filter(({ at }) => now - at < REPORT_LIFE_MS);
  }
}
