/** Watches the groups that fall to this instance, and follows the groups that it uses. */
import {
  chooseHolders,
  type Clock,
  type FailureDomainId,
  type GroupId,
  type GroupRecord,
  type GroupView,
  type InstanceId,
  type InstanceRecord,
  type SettingsSnapshot,
  toBrand,
  type WatcherEvent,
  type WatcherOpinion,
  type WatcherTimings,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { GroupDirectory } from './group-directory.js';
import { WatcherTask } from './watcher-task.js';

/** What the task needs to know of the fleet. */
export interface FleetKnowledge {
  readonly settings: SettingsSnapshot;
  readonly live: readonly InstanceRecord[];
}

const SUBSCRIBE_EVERY_MS = 1500;
const SUBSCRIPTION_LIFE_MS = 5000;

/** Owns the watchers of this instance and its subscriptions at others. */
export class GroupsTask {
  private readonly watchers = new Map<GroupId, WatcherTask>();

  private readonly subscribers = new Map<GroupId, Map<InstanceId, number>>();

  private readonly timer: NodeJS.Timeout;

  private fleet: FleetKnowledge | undefined;

  constructor(
    private readonly self: InstanceRecord,
    private readonly directory: GroupDirectory,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
    private readonly timings: WatcherTimings,
    private readonly random: () => number,
    private readonly onEvent: (event: WatcherEvent) => void,
  ) {
    hub.handle('group.opinion', ({ opinion }, from) => this.takeOpinion(opinion, from));
    hub.handle('group.subscribe', ({ group }, from) => this.addSubscriber(group, from));
    hub.handle('group.view', ({ view }) => {
      directory.learn(view as unknown as GroupView);
      return undefined;
    });
    this.timer = setInterval(() => this.subscribe(), SUBSCRIBE_EVERY_MS);
  }

  /**
   * Takes new settings or a change among the instances.
   *
   * @param fleet - what is known now
   */
  update(fleet: FleetKnowledge): void {
    this.fleet = fleet;
    for (const [id, watcher] of this.watchers) {
      if (fleet.settings.groups.has(id) && this.isWatcher(id)) continue;
      watcher.stop();
      this.watchers.delete(id);
    }
    for (const group of fleet.settings.groups.values()) {
      if (this.isWatcher(group.id)) this.watch(group);
    }
    this.subscribe();
  }

  /**
   * Starts to follow a group for serving.
   *
   * @param group - the group
   */
  use(group: GroupId): void {
    if (this.directory.used.includes(group)) return;
    this.directory.use(group);
    this.subscribeTo(group);
  }

  /** @returns views of the groups watched here */
  get watched(): GroupView[] {
    return [...this.watchers.values()].map((watcher) => watcher.view);
  }

  /** Stops everything. */
  stop(): void {
    clearInterval(this.timer);
    for (const watcher of this.watchers.values()) watcher.stop();
    this.watchers.clear();
  }

  private watch(group: GroupRecord): void {
    const known = this.watchers.get(group.id);
    const watcher = known ?? this.createWatcher(group.id);
    this.watchers.set(group.id, watcher);
    const domains = new Set(this.chooseWatchers(group.id).map((record) => record.failureDomain));
    watcher.configure(group, domains);
  }

  private createWatcher(group: GroupId): WatcherTask {
    const { id: instance, failureDomain } = this.self;
    const identity = { group, instance, failureDomain };
    return new WatcherTask(identity, this.timings, this.clock, this.random, {
      tell: (opinion) => this.tellWatchers(opinion),
      publish: (view) => this.publish(view),
      log: this.onEvent,
    });
  }

  /** One watcher in each failure domain, so that evidence comes from several. */
  private chooseWatchers(group: GroupId): InstanceRecord[] {
    const byDomain = new Map<FailureDomainId, InstanceRecord[]>();
    for (const record of this.fleet?.live ?? []) {
      const records = byDomain.get(record.failureDomain) ?? [];
      records.push(record);
      byDomain.set(record.failureDomain, records);
    }
    return [...byDomain.values()].flatMap((records) => {
      const [holder] = chooseHolders(
        `watcher/${group}`,
        records.map(({ id }) => id),
        1,
      );
      return records.filter(({ id }) => id === holder);
    });
  }

  private isWatcher(group: GroupId): boolean {
    return this.chooseWatchers(group).some(({ id }) => id === this.self.id);
  }

  private tellWatchers(opinion: WatcherOpinion): void {
    for (const { id } of this.chooseWatchers(opinion.group)) {
      if (id !== this.self.id) this.hub.tell(id, { kind: 'group.opinion', opinion });
    }
  }

  private publish(view: GroupView): void {
    this.directory.learn(view);
    const now = this.clock.now();
    const subscribers = this.subscribers.get(view.group);
    for (const [id, until] of subscribers ?? []) {
      if (until < now) subscribers?.delete(id);
      else this.hub.tell(id, { kind: 'group.view', view: toPlainView(view) });
    }
  }

  private subscribe(): void {
    for (const group of this.directory.used) this.subscribeTo(group);
  }

  private subscribeTo(group: GroupId): void {
    for (const { id } of this.chooseWatchers(group)) {
      if (id !== this.self.id) this.hub.tell(id, { kind: 'group.subscribe', group });
    }
  }

  private addSubscriber(group: string, from: InstanceId): undefined {
    const id = toBrand<GroupId>(group);
    const subscribers = this.subscribers.get(id) ?? new Map<InstanceId, number>();
    const isNew = !subscribers.has(from);
    subscribers.set(from, this.clock.now() + SUBSCRIPTION_LIFE_MS);
    this.subscribers.set(id, subscribers);
    const watcher = this.watchers.get(id);
    if (isNew && watcher) {
      this.hub.tell(from, { kind: 'group.view', view: toPlainView(watcher.view) });
    }
    return undefined;
  }

  private takeOpinion(opinion: unknown, from: InstanceId): undefined {
    const typed = opinion as WatcherOpinion;
    this.watchers.get(typed.group)?.handleOpinion(typed, from);
    return undefined;
  }
}

type PlainView = Parameters<PeerHub['tell']>[1] & { kind: 'group.view' };

function toPlainView(view: GroupView): PlainView['view'] {
  return { ...view, members: [...view.members], reachable: [...view.reachable] };
}
