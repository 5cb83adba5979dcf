import {
  type Clock,
  type GroupId,
  type TermPosition,
  type LogSample,
  type MemberId,
  type Milliseconds,
  type Route,
  LogSampleHistory,
} from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import { resolvePrimary } from '../fleet/records.js';
import type { EventLog } from '../runtime/event-log.js';

/** The log position that a group's primary held at a known time. */
export interface PrimaryLogSample extends LogSample {
  readonly group: GroupId;
  readonly member: MemberId;
}

interface PrimaryWaiter {
  readonly group: GroupId;
  readonly resolve: () => void;
}

/** Tracks the primary of each group, changes of primaries, and samples of the primaries' logs. */
export class PrimaryTracker {
  /**
   * Samples stay valid after their primary has been replaced: it was the only primary when they were
   * taken, so its successor's commits are newer than the samples. Replicas use the samples to serve
   * reads that allow a stated age during a change of primary.
   */
  private readonly samples = new Map<
    GroupId,
    { sampledMember: MemberId; history: LogSampleHistory }
  >();

  /** Epoch of the change that another instance has announced, for groups whose primary is changing. */
  private readonly changingEpochs = new Map<GroupId, number>();

  private waiters: PrimaryWaiter[] = [];

  /**
   * @param view - this instance's copy of the store
   * @param isListed - whether a member is listed and can be used
   * @param clock - source of time
   * @param log - receives an event for each suspended primary
   */
  constructor(
    private readonly view: FleetView,
    private readonly isListed: (member: MemberId) => boolean,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {}

  /**
   * @param group - the group
   * @returns its primary, or undefined while it is unknown or being changed
   */
  find(group: GroupId): MemberId | undefined {
    const record = this.view.primaries.get(group);
    if (record === undefined || this.isSuspended(group)) return undefined;
    const primary = resolvePrimary(record.value);
    return primary !== undefined && this.isListed(primary) ? primary : undefined;
  }

  /** Whether a change of the group's primary was announced that the known record does not end. */
  isSuspended(group: GroupId): boolean {
    const epoch = this.view.primaries.get(group)?.value.epoch;
    return epoch !== undefined && epoch <= this.findSuspendedEpoch(group);
  }

  /** @returns the epoch of the last announced change of the group's primary; 0 for none */
  findSuspendedEpoch(group: GroupId): number {
    return this.changingEpochs.get(group) ?? 0;
  }

  /**
   * Stops using a group's primary, at the request of the instance that changes it.
   *
   * @param group - the group
   * @param epoch - epoch of the change; records up to it are ignored
   */
  suspend(group: GroupId, epoch: number): void {
    if (this.findSuspendedEpoch(group) >= epoch) return;
    this.changingEpochs.set(group, epoch);
    this.log.info('primary.suspended', { group, epoch });
  }

  /**
   * Waits until a group has a primary.
   *
   * @param group - the group
   * @param waitMs - maximum wait, in milliseconds
   * @returns the primary, or undefined if there was none in time
   */
  async waitFor(group: GroupId, waitMs: number): Promise<MemberId | undefined> {
    const known = this.find(group);
    if (known !== undefined || waitMs <= 0) return known;
    await new Promise<void>((resolve) => {
      const waiter = { group, resolve };
      const timer = setTimeout(() => {
        this.waiters = this.waiters.filter((other) => other !== waiter);
        resolve();
      }, waitMs);
      waiter.resolve = () => {
        clearTimeout(timer);
        resolve();
      };
      this.waiters.push(waiter);
    });
    return this.find(group);
  }

  /** Resolves the waits for primaries that are known by now; called after each change of the view. */
  notifyWaiters(): void {
    const ready = this.waiters.filter(({ group }) => this.find(group) !== undefined);
    if (ready.length === 0) return;
    this.waiters = this.waiters.filter((waiter) => !ready.includes(waiter));
    for (const { resolve } of ready) resolve();
  }

  /**
   * @param route - a route whose reads may miss recent commits
   * @param arrivedAt - when the first byte of a read, or of its transaction, arrived
   * @returns the log position that a replica must hold for the read, if it is known
   */
  findPositionForAge(route: Route, arrivedAt: Milliseconds): TermPosition | undefined {
    return this.samples.get(route.group)?.history.findEarliestPosition(arrivedAt, route.maxAgeMs);
  }

  /** @returns the newest sample of each group */
  listSamples(): PrimaryLogSample[] {
    return [...this.samples].flatMap(([group, { sampledMember, history }]) => {
      const { newest } = history;
      return newest === undefined ? [] : [{ group, member: sampledMember, ...newest }];
    });
  }

  /**
   * Adds a sample, if its member is certain to have been the only primary when it was taken.
   *
   * @param sample - taken by this instance or by another one
   */
  addSample({ group, member, logPosition, takenAt }: PrimaryLogSample): void {
    if (this.find(group) !== member) return;
    if (!this.view.confirmation.mayTrustPrimary(this.clock.now())) return;
    const history = this.samples.get(group)?.history ?? new LogSampleHistory();
    history.add({ logPosition, takenAt });
    this.samples.set(group, { sampledMember: member, history });
  }
}
