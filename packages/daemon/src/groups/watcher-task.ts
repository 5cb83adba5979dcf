/** Runs the watcher of one group on this instance. */
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
  type WatcherSuspicion,
  type WatcherTimings,
} from '@heatherledge/core';
import { MemberControl } from '../upstreams/member-control.js';

/** Carries a watcher's words to others. */
export interface WatcherOutlet {
  tell(opinion: WatcherSuspicion): void;
  publish(view: GroupView): void;
  log(event: WatcherEvent): void;
}

/** Longest time between two steps: attempts and doubts are judged at least this often. */
const STEP_MS = 100;

/** Owns the control connections and the decisions of one watcher. */
export class WatcherTask {
  private readonly watcher: GroupWatcher;

  private readonly control = new MemberControl();

  private readonly timer: NodeJS.Timeout;

  private stopped = false;

  constructor(
    identity: WatcherIdentity,
    private readonly timings: WatcherTimings,
    private readonly clock: Clock,
    random: () => number,
    private readonly outlet: WatcherOutlet,
  ) {
    this.watcher = new GroupWatcher(identity, timings, random);
    this.timer = setInterval(() => this.step(), STEP_MS);
  }

  /**
   * @param group - the group by the newest settings
   * @param watcherDomains - failure domains in which it has a watcher
   */
  configure(group: GroupRecord, watcherDomains: ReadonlySet<FailureDomainId>): void {
    this.control.configure(group.members);
    this.watcher.configure(group.members, watcherDomains);
  }

  /**
   * @param opinion - another watcher's opinion
   * @param _from - who sent it
   */
  handleOpinion(opinion: WatcherSuspicion, _from: InstanceId): void {
    this.perform(this.watcher.handleSuspicion(opinion, this.clock.now()));
  }

  /** @returns bytes exchanged with the group's members so far */
  get bytes(): number {
    return this.control.bytes;
  }

  /** @returns the group as seen here */
  get view(): GroupView {
    return this.watcher.view;
  }

  /** Stops watching. */
  stop(): void {
    this.stopped = true;
    clearInterval(this.timer);
    this.control.close();
  }

  private step(): void {
    this.perform(this.watcher.step(this.clock.now()));
  }

  private perform(actions: readonly WatcherAction[]): void {
    if (this.stopped) return;
    for (const action of actions) {
      if (action.kind === 'order') void this.order(action);
      else if (action.kind === 'tell') this.outlet.tell(action.opinion);
      else if (action.kind === 'publish') this.outlet.publish(action.view);
      else this.outlet.log(action.event);
    }
  }

  private async order(action: Extract<WatcherAction, { kind: 'order' }>): Promise<void> {
    const answer = await this.control.send(
      action.member,
      action.order,
      this.timings.orderTimeoutMs,
    );
    this.perform(this.watcher.handleResponse(action.token, answer, this.clock.now()));
  }
}
