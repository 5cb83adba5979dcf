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
  type SuspicionReport,
  type WatcherTimings,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { GroupDirectory } from './group-directory.js';
import { WatcherTask } from './watcher-task.js';

/** Settings and live instances, from which the watchers of each group are chosen. */
export interface FleetState {
  readonly settings: SettingsIndex;
  readonly live: readonly InstanceRecord[];
}

/**
 * Maximum number of failure domains from which a group is watched; a majority of them must agree on
 * a change of the primary.
 */
const MAX_WATCHER_DOMAINS = 3;
const SUBSCRIPTION_INTERVAL_MS = 1500;
const SUBSCRIPTION_TTL_MS = 5000;

/**
 * Runs the watchers that are assigned to this instance, and subscribes to the views of the groups
 * that it serves.
 */
export class GroupsTask {
  private readonly watchers = new Map<GroupId, WatcherTask>();

  private readonly subscribers = new Map<GroupId, Map<InstanceId, number>>();

  private readonly timer: NodeJS.Timeout;

  private fleet: FleetState | undefined;

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
    hub.handle('group.opinion', ({ opinion }, from) => this.handleSuspicion(opinion, from));
    hub.handle('group.subscribe', ({ group }, from) => this.addSubscriber(group, from));
    hub.handle('group.view', ({ view }) => {
      directory.applyView(view as unknown as GroupView);
      return undefined;
    });
    this.timer = setInterval(() => this.renewSubscriptions(), SUBSCRIPTION_INTERVAL_MS);
  }

  /**
   * Applies a change of the live instances, and reassigns the watchers of all groups.
   *
   * @param fleet - settings and live instances
   */
  updateInstances(fleet: FleetState): void {
    this.fleet = fleet;
    this.rings = createRings(fleet.live);
    this.updateGroups(fleet.settings.groups.keys());
    this.renewSubscriptions();
  }

  /**
   * Applies changed settings of groups.
   *
   * @param ids - groups that may have changed
   */
  updateGroups(ids: Iterable<GroupId>): void {
    for (const id of this.watchers.keys()) this.updateGroup(id);
    for (const id of ids) this.updateGroup(id);
  }

  /**
   * Subscribes to a group that this instance serves.
   *
   * @param group - the group
   */
  addGroup(group: GroupId): void {
    if (this.directory.usedGroups.includes(group)) return;
    this.directory.addGroup(group);
    this.subscribeTo(group);
  }

  /** @returns views of the groups that this instance watches */
  get watchedViews(): GroupView[] {
    return [...this.watchers.values()].map((watcher) => watcher.view);
  }

  /** @returns bytes exchanged with members by the running watchers */
  get controlBytes(): number {
    return [...this.watchers.values()].reduce((sum, watcher) => sum + watcher.controlBytes, 0);
  }

  /** Stops all watchers and the renewal of subscriptions. */
  stop(): void {
    clearInterval(this.timer);
    for (const watcher of this.watchers.values()) watcher.stop();
    this.watchers.clear();
  }

  private updateGroup(id: GroupId): void {
    const group = this.fleet?.settings.groups.get(id);
    if (group !== undefined && this.isWatcher(group)) {
      this.configureWatcher(group);
      return;
    }
    this.watchers.get(id)?.stop();
    this.watchers.delete(id);
  }

  private configureWatcher(group: GroupRecord): void {
    const existing = this.watchers.get(group.id);
    const watcher = existing ?? this.createWatcher(group.id);
    this.watchers.set(group.id, watcher);
    const domains = new Set(this.chooseDomains(group));
    watcher.configure(group, domains);
  }

  private createWatcher(group: GroupId): WatcherTask {
    const { id: instance, failureDomain } = this.self;
    const identity = { group, instance, failureDomain };
    return new WatcherTask(identity, this.timings, this.clock, this.random, {
      sendSuspicion: (suspicion) => this.sendToWatchers(suspicion),
      publishView: (view) => this.publishView(view),
      recordEvent: this.onEvent,
    });
  }

  /** Prefers the failure domains of the group's members, from which most members are reachable. */
  private chooseDomains(group: GroupRecord): FailureDomainId[] {
    const memberDomains = new Set(group.members.map(({ failureDomain }) => failureDomain));
    const preferred = [...memberDomains].filter((domain) => this.rings.has(domain)).sort();
    const others = [...this.rings.keys()].filter((domain) => !memberDomains.has(domain));
    const extra = chooseHolders(`domains/${group.id}`, others, MAX_WATCHER_DOMAINS);
    return [...preferred, ...extra].slice(0, MAX_WATCHER_DOMAINS);
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
    const isDomainWatcher = this.findWatcher(failureDomain, group.id) === id;
    return isDomainWatcher && this.chooseDomains(group).includes(failureDomain);
  }

  private sendToWatchers(suspicion: SuspicionReport): void {
    for (const id of this.chooseWatchers(suspicion.group)) {
      if (id !== this.self.id) this.hub.send(id, { kind: 'group.opinion', opinion: suspicion });
    }
  }

  private publishView(view: GroupView): void {
    this.directory.applyView(view);
    const now = this.clock.now();
    const subscribers = this.subscribers.get(view.group);
    for (const [id, expiresAt] of subscribers ?? []) {
      if (expiresAt < now) subscribers?.delete(id);
      else this.hub.send(id, { kind: 'group.view', view: encodeView(view) });
    }
  }

  private renewSubscriptions(): void {
    for (const group of this.directory.usedGroups) this.subscribeTo(group);
  }

  private subscribeTo(group: GroupId): void {
    for (const id of this.chooseWatchers(group)) {
      if (id !== this.self.id) this.hub.send(id, { kind: 'group.subscribe', group });
    }
  }

  private addSubscriber(group: string, subscriber: InstanceId): undefined {
    const id = toBrand<GroupId>(group);
    const subscribers = this.subscribers.get(id) ?? new Map<InstanceId, number>();
    const isNew = !subscribers.has(subscriber);
    subscribers.set(subscriber, this.clock.now() + SUBSCRIPTION_TTL_MS);
    this.subscribers.set(id, subscribers);
    const watcher = this.watchers.get(id);
    if (isNew && watcher) {
      this.hub.send(subscriber, { kind: 'group.view', view: encodeView(watcher.view) });
    }
    return undefined;
  }

  private handleSuspicion(message: unknown, from: InstanceId): undefined {
    const suspicion = message as SuspicionReport;
    this.watchers.get(suspicion.group)?.handleSuspicion(suspicion, from);
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

/** The `group.view` message between instances. */
type GroupViewMessage = Parameters<PeerHub['send']>[1] & { kind: 'group.view' };

function encodeView(view: GroupView): GroupViewMessage['view'] {
  return { ...view, members: [...view.members], reachable: [...view.reachable] };
}
