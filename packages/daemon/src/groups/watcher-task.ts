import {
  type Clock,
  type FailureDomainId,
  type GroupRecord,
  type GroupView,
  GroupWatcher,
  type InstanceId,
  type WatcherAction,
  type WatcherEvent,
  type WatcherIdentity,
  type SuspicionReport,
  type WatcherTimings,
} from '@heatherledge/core';
import { MemberControl } from '../upstreams/member-control.js';

/** Receives the output of a watcher. */
export interface WatcherCallbacks {
  /** Sends a suspicion report to the group's other watchers. */
  sendSuspicion(suspicion: SuspicionReport): void;
  /** Publishes a view to the group's subscribers. */
  publishView(view: GroupView): void;
  /** Records an event for logs and metrics. */
  recordEvent(event: WatcherEvent): void;
}

/** Interval of steps; attempts and suspicions are evaluated at least this often. */
const STEP_INTERVAL_MS = 100;

/** Runs the watcher of one group, with its control connections to the group's members. */
export class WatcherTask {
  private readonly watcher: GroupWatcher;

  private readonly control = new MemberControl();

  private readonly timer: NodeJS.Timeout;

  private isStopped = false;

  constructor(
    identity: WatcherIdentity,
    private readonly timings: WatcherTimings,
    private readonly clock: Clock,
    random: () => number,
    private readonly callbacks: WatcherCallbacks,
  ) {
    this.watcher = new GroupWatcher(identity, timings, random);
    this.timer = setInterval(() => this.step(), STEP_INTERVAL_MS);
  }

  /**
   * Applies the group's settings.
   *
   * @param group - the group according to the latest settings
   * @param watcherDomains - failure domains in which the group has a watcher
   */
  configure(group: GroupRecord, watcherDomains: ReadonlySet<FailureDomainId>): void {
    this.control.configure(group.members);
    this.watcher.configure(group.members, watcherDomains);
  }

  /**
   * Handles another watcher's suspicion report.
   *
   * @param suspicion - the report
   * @param _from - the instance that sent it
   */
  handleSuspicion(suspicion: SuspicionReport, _from: InstanceId): void {
    this.performActions(this.watcher.handleSuspicionReport(suspicion, this.clock.now()));
  }

  /** @returns bytes exchanged with the group's members */
  get controlBytes(): number {
    return this.control.bytesTransferred;
  }

  /** @returns the watcher's current view of the group */
  get view(): GroupView {
    return this.watcher.view;
  }

  /** Stops the watcher and closes its connections. */
  stop(): void {
    this.isStopped = true;
    clearInterval(this.timer);
    this.control.close();
  }

  private step(): void {
    this.performActions(this.watcher.step(this.clock.now()));
  }

  private performActions(actions: readonly WatcherAction[]): void {
    if (this.isStopped) return;
    for (const action of actions) {
      if (action.kind === 'order') void this.sendOrder(action);
      else if (action.kind === 'tell') this.callbacks.sendSuspicion(action.opinion);
      else if (action.kind === 'publish') this.callbacks.publishView(action.view);
      else this.callbacks.recordEvent(action.event);
    }
  }

  private async sendOrder(action: Extract<WatcherAction, { kind: 'order' }>): Promise<void> {
    const response = await this.control.send(
      action.member,
      action.order,
      this.timings.orderTimeoutMs,
    );
    this.performActions(this.watcher.handleResponse(action.token, response, this.clock.now()));
  }
}
