/** A group with its watchers, entries and callers, stepped in one process under a manual clock. */
import {
  DEFAULT_WATCHER_TIMINGS,
  type FailureDomainId,
  type GroupView,
  type MemberId,
  toBrand,
  type WatchedMember,
  type WatcherTimings,
} from '@heatherledge/core';
import { EventQueue } from '../event-queue.js';
import { FakeNetwork, type NetworkLatencies, type NodeName } from '../fake-network.js';
import { SeededRandom } from '../random.js';
import {
  checkGroupHistory,
  type ReadAnswer,
  type Violation,
  type WriteAttempt,
} from './group-history.js';
import type { GroupGuard } from './guards.js';
import { ModelClient, type SessionStyle } from './model-client.js';
import { ModelEntry } from './model-entry.js';
import { ModelMember } from './model-member.js';
import { ModelWatcher } from './model-watcher.js';

const DOMAINS = ['domain-1', 'domain-2', 'domain-3'] as const;
const STYLES: readonly SessionStyle[] = ['shows-position', 'shows-nothing', 'states-age'];

/** One-way latencies of the first deployment, in milliseconds. */
export const CADENA_LATENCIES: NetworkLatencies = {
  withinDomainMs: 0.2,
  betweenRegionsMs: 12,
  toClientsMs: 3,
};

/** One-way latencies of the second deployment, in milliseconds. */
export const GEORGIA_LATENCIES: NetworkLatencies = {
  withinDomainMs: 0.2,
  betweenRegionsMs: 8,
  toClientsMs: 1,
};

/** How a world is set up. */
export interface WorldOptions {
  readonly seed: number;
  readonly latencies: NetworkLatencies;
  /** Guards that are taken out. */
  readonly without?: ReadonlySet<GroupGuard>;
  /** Callers of each style. */
  readonly clientsPerStyle?: number;
  /** The watchers' periods; those of the product unless told otherwise. */
  readonly timings?: WatcherTimings;
  /** Moment after which callers start nothing new, in milliseconds. */
  readonly clientsStopAt: number;
}

/** Everything of one cell. */
export class GroupWorld {
  readonly queue = new EventQueue();

  readonly random: SeededRandom;

  readonly network: FakeNetwork;

  readonly members = new Map<NodeName, ModelMember>();

  readonly watchers = new Map<NodeName, ModelWatcher>();

  readonly entries = new Map<NodeName, ModelEntry>();

  readonly history: { writes: WriteAttempt[]; reads: ReadAnswer[] } = { writes: [], reads: [] };

  private readonly plan: WatchedMember[];

  private readonly timings: WatcherTimings;

  constructor(options: WorldOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.queue, this.random, options.latencies);
    const without = options.without ?? new Set<GroupGuard>();
    this.timings = options.timings ?? DEFAULT_WATCHER_TIMINGS;
    this.plan = DOMAINS.map((domain, index) => ({
      id: toBrand<MemberId>(`member-${index + 1}`),
      failureDomain: toBrand<FailureDomainId>(domain),
      leaving: false,
    }));
    DOMAINS.forEach((domain, index) => this.addDomain(domain, index + 1, without));
    for (const watcher of this.watchers.values()) this.startWatcher(watcher);
    this.addClients(options.clientsStopAt, options.clientsPerStyle ?? 1);
  }

  /** @returns the member that leads in the highest term */
  get primary(): ModelMember | undefined {
    const primaries = [...this.members.values()].filter(({ log }) => log.isPrimary);
    primaries.sort((left, right) => right.log.currentTerm - left.log.currentTerm);
    return primaries[0];
  }

  /** @param leaving - members that the operators take out of service */
  setLeaving(leaving: ReadonlySet<string>): void {
    const domains = new Set(this.plan.map(({ failureDomain }) => failureDomain));
    const plan = this.plan.map((member) => ({ ...member, leaving: leaving.has(member.id) }));
    for (const watcher of this.watchers.values()) watcher.configure(plan, domains);
  }

  /** Ends a node's process. */
  kill(name: NodeName): void {
    this.network.kill(name);
  }

  /** Starts a killed node again; members keep their log, others nothing. */
  restart(name: NodeName): void {
    if (this.network.isAlive(name)) return;
    this.network.restart(name);
    this.members.get(name)?.startTicks();
    this.entries.get(name)?.reset();
    const watcher = this.watchers.get(name);
    if (watcher !== undefined) this.startWatcher(watcher);
  }

  /** Cuts a failure domain off from the others, both ways; callers still reach it. */
  isolate(domain: string): void {
    this.network.isolate(domain, 'client');
  }

  /** @returns every broken promise of the run so far */
  judge(): Violation[] {
    const kept = this.primary?.kept ?? [];
    return [...checkGroupHistory({ ...this.history, kept }), ...this.checkLogs()];
  }

  /** @returns moments at which writes were told done, in order */
  get doneMoments(): number[] {
    return this.history.writes
      .filter(({ told }) => told === 'done')
      .map(({ toldAt }) => toldAt ?? 0)
      .sort((left, right) => left - right);
  }

  /** Members must agree on the log, as far as they have it. */
  private checkLogs(): Violation[] {
    const { primary } = this;
    if (primary === undefined) return [{ rule: 'has-primary', detail: 'no primary in the end' }];
    const violations: Violation[] = [];
    for (const member of this.members.values()) {
      const isFollower = member.log.currentTerm === primary.log.currentTerm;
      const differs = member.kept.some(
        ({ attempt }, index) => primary.kept[index]?.attempt !== attempt,
      );
      if (isFollower && differs) violations.push({ rule: 'logs-agree', detail: member.name });
    }
    return violations;
  }

  private addDomain(domain: string, number: number, without: ReadonlySet<GroupGuard>): void {
    const { network, random } = this;
    const [member, watcher, entry] = [`member-${number}`, `watcher-${number}`, `entry-${number}`];
    for (const name of [member, watcher, entry]) network.addNode(name, domain);
    this.members.set(
      member,
      new ModelMember(member, () => this.members, network, DOMAINS.length, without),
    );
    const surroundings = {
      members: this.members,
      watchers: this.watchers,
      publish: (from: NodeName, view: GroupView) => this.publish(from, view),
    };
    this.watchers.set(
      watcher,
      new ModelWatcher(watcher, () => surroundings, network, random, this.timings, without),
    );
    this.entries.set(entry, new ModelEntry(entry, this.members, network, random, without));
  }

  private startWatcher(watcher: ModelWatcher): void {
    const domains = new Set(this.plan.map(({ failureDomain }) => failureDomain));
    watcher.start(this.plan, domains);
  }

  private publish(from: NodeName, view: GroupView): void {
    for (const entry of this.entries.values()) {
      this.network.send('view', from, entry.name, () => entry.learn(view));
    }
  }

  private addClients(stopsAt: number, perStyle: number): void {
    const entries = [...this.entries.values()];
    const styles = Array.from({ length: perStyle }, () => STYLES).flat();
    styles.forEach((style, index) => {
      const name = `client-${index + 1}`;
      this.network.addNode(name, 'client');
      const client = new ModelClient(
        name,
        style,
        entries,
        this.network,
        this.random,
        this.history,
        stopsAt,
      );
      this.queue.schedule(index * 7, () => client.start());
    });
  }
}
