/** Watches the groups that fall to this instance, and follows the groups that it uses. */
import {
  chooseHolders,
  HashRing,
  type Clock,
  type FailureDomainId,
  type GroupId,
  type GroupRecord,
  type GroupView,
  type InstanceId,
  type InstanceRecord,
  type SettingsIndex,
  toBrand,
  type WatcherEvent,
  type WatcherSuspicion,
  type WatcherTimings,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { GroupDirectory } from './group-directory.js';
import { WatcherTask } from './watcher-task.js';

/** What the task needs to know of the fleet. */
export interface FleetKnowledge {
  readonly settings: SettingsIndex;
  readonly live: readonly InstanceRecord[];
}

/** Failure domains from which a group is watched; a majority of them must agree on a change. */
const WATCHER_DOMAINS = 3;
const SUBSCRIBE_EVERY_MS = 1500;
const SUBSCRIPTION_LIFE_MS = 5000;

/** Owns the watchers of this instance and its subscriptions at others. */
export class GroupsTask {
  private readonly watchers = new Map<GroupId, WatcherTask>();

  private readonly subscribers = new Map<GroupId, Map<InstanceId, number>>();

  private readonly timer: NodeJS.Timeout;

  private fleet: FleetKnowledge | undefined;

  private rings: ReadonlyMap<FailureDomainId, HashRing<InstanceId>> = new Map();

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
   * Takes a change among the instances; every group is looked at again.
   *
   * @param fleet - what is known now
   */
  updateLive(fleet: FleetKnowledge): void {
    this.fleet = fleet;
    this.rings = createRings(fleet.live);
    this.updateGroups(fleet.settings.groups.keys());
    this.subscribe();
  }

  /**
   * Takes changed settings of groups.
   *
   * @param ids - groups that may have changed
   */
  updateGroups(ids: Iterable<GroupId>): void {
    for (const id of this.watchers.keys()) this.updateGroup(id);
    for (const id of ids) this.updateGroup(id);
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

  /** @returns bytes exchanged with members by the watchers that run now */
  get controlBytes(): number {
    return [...this.watchers.values()].reduce((sum, watcher) => sum + watcher.bytes, 0);
  }

  /** Stops everything. */
  stop(): void {
    clearInterval(this.timer);
    for (const watcher of this.watchers.values()) watcher.stop();
    this.watchers.clear();
  }

  private updateGroup(id: GroupId): void {
    const group = this.fleet?.settings.groups.get(id);
    if (group !== undefined && this.isWatcher(group)) {
      this.watch(group);
      return;
    }
    this.watchers.get(id)?.stop();
    this.watchers.delete(id);
  }

  private watch(group: GroupRecord): void {
    const known = this.watchers.get(group.id);
    const watcher = known ?? this.createWatcher(group.id);
    this.watchers.set(group.id, watcher);
    const domains = new Set(this.chooseDomains(group));
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

  /** Domains of the group's own members come first: they can see most of it. */
  private chooseDomains(group: GroupRecord): FailureDomainId[] {
    const own = new Set(group.members.map(({ failureDomain }) => failureDomain));
    const present = [...own].filter((domain) => this.rings.has(domain)).sort();
    const others = [...this.rings.keys()].filter((domain) => !own.has(domain));
    const extra = chooseHolders(`domains/${group.id}`, others, WATCHER_DOMAINS);
    return [...present, ...extra].slice(0, WATCHER_DOMAINS);
  }

  private chooseWatchers(id: GroupId): InstanceId[] {
    const group = this.fleet?.settings.groups.get(id);
    if (group === undefined) return [];
    return this.chooseDomains(group).flatMap((domain) => this.findWatcher(domain, id) ?? []);
  }

  private findWatcher(domain: FailureDomainId, id: GroupId): InstanceId | undefined {
    return this.rings.get(domain)?.find(`watcher/${id}`);
  }

  private isWatcher(group: GroupRecord): boolean {
    const { id, failureDomain } = this.self;
    const isFirst = this.findWatcher(failureDomain, group.id) === id;
    return isFirst && this.chooseDomains(group).includes(failureDomain);
  }

  private tellWatchers(opinion: WatcherSuspicion): void {
    for (const id of this.chooseWatchers(opinion.group)) {
      if (id !== this.self.id) this.hub.send(id, { kind: 'group.opinion', opinion });
    }
  }

  private publish(view: GroupView): void {
    this.directory.learn(view);
    const now = this.clock.now();
    const subscribers = this.subscribers.get(view.group);
    for (const [id, until] of subscribers ?? []) {
      if (until < now) subscribers?.delete(id);
      else this.hub.send(id, { kind: 'group.view', view: toPlainView(view) });
    }
  }

  private subscribe(): void {
    for (const group of this.directory.used) this.subscribeTo(group);
  }

  private subscribeTo(group: GroupId): void {
    for (const id of this.chooseWatchers(group)) {
      if (id !== this.self.id) this.hub.send(id, { kind: 'group.subscribe', group });
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
      this.hub.send(from, { kind: 'group.view', view: toPlainView(watcher.view) });
    }
    return undefined;
  }

  private takeOpinion(opinion: unknown, from: InstanceId): undefined {
    const typed = opinion as WatcherSuspicion;
    this.watchers.get(typed.group)?.handleOpinion(typed, from);
    return undefined;
  }
}

function createRings(
  live: readonly InstanceRecord[],
): ReadonlyMap<FailureDomainId, HashRing<InstanceId>> {
  const byDomain = new Map<FailureDomainId, InstanceId[]>();
  for (const { id, failureDomain } of live) {
    const ids = byDomain.get(failureDomain) ?? [];
    ids.push(id);
    byDomain.set(failureDomain, ids);
  }
  return new Map([...byDomain].map(([domain, ids]) => [domain, new HashRing(ids)]));
}

type PlainView = Parameters<PeerHub['send']>[1] & { kind: 'group.view' };

function toPlainView(view: GroupView): PlainView['view'] {
  return { ...view, members: [...view.members], reachable: [...view.reachable] };
}
