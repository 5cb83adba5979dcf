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
  type CompletedRead,
  type Violation,
  type WriteAttempt,
} from './group-history.js';
import type { GroupGuard } from './guards.js';
import { ModelCaller, type SessionStyle } from './model-caller.js';
import { ModelInstance } from './model-instance.js';
import { ModelMember } from './model-member.js';
import { ModelWatcher } from './model-watcher.js';

const FAILURE_DOMAINS = ['domain-1', 'domain-2', 'domain-3'] as const;
const SESSION_STYLES: readonly SessionStyle[] = [
  'sends-position',
  'sends-nothing',
  'sends-max-age',
];

/** One-way latencies of the first deployment, in milliseconds. */
export const CADENA_LATENCIES: NetworkLatencies = {
  withinDomainMs: 0.2,
  betweenRegionsMs: 12,
  toCallersMs: 3,
};

/** One-way latencies of the second deployment, in milliseconds. */
export const GEORGIA_LATENCIES: NetworkLatencies = {
  withinDomainMs: 0.2,
  betweenRegionsMs: 8,
  toCallersMs: 1,
};

/** Options of a simulation. */
export interface GroupSimulationOptions {
  readonly seed: number;
  readonly latencies: NetworkLatencies;
  /** Guards that are disabled; none by default. */
  readonly disabledGuards?: ReadonlySet<GroupGuard>;
  /** Number of callers of each session style; 1 by default. */
  readonly callersPerStyle?: number;
  /** Timings of the watchers; the product's by default. */
  readonly timings?: WatcherTimings;
  /** Time after which callers start no new write, in milliseconds. */
  readonly callersStopAtMs: number;
}

/**
 * Simulates a group with its members, watchers, instances and callers in one process, under a
 * manual clock.
 */
export class GroupSimulation {
  readonly queue = new EventQueue();

  readonly random: SeededRandom;

  readonly network: FakeNetwork;

  readonly members = new Map<NodeName, ModelMember>();

  readonly watchers = new Map<NodeName, ModelWatcher>();

  readonly instances = new Map<NodeName, ModelInstance>();

  readonly history: { writes: WriteAttempt[]; reads: CompletedRead[] } = { writes: [], reads: [] };

  private readonly memberSettings: WatchedMember[];

  private readonly timings: WatcherTimings;

  constructor(options: GroupSimulationOptions) {
    this.random = new SeededRandom(options.seed);
    this.network = new FakeNetwork(this.queue, this.random, options.latencies);
    const disabledGuards = options.disabledGuards ?? new Set<GroupGuard>();
    this.timings = options.timings ?? DEFAULT_WATCHER_TIMINGS;
    this.memberSettings = FAILURE_DOMAINS.map((domain, index) => ({
      id: toBrand<MemberId>(`member-${index + 1}`),
      failureDomain: toBrand<FailureDomainId>(domain),
      leaving: false,
    }));
    FAILURE_DOMAINS.forEach((domain, index) => this.addDomain(domain, index + 1, disabledGuards));
    for (const watcher of this.watchers.values()) this.startWatcher(watcher);
    this.addCallers(options.callersStopAtMs, options.callersPerStyle ?? 1);
  }

  /** @returns the primary of the highest term */
  get primary(): ModelMember | undefined {
    const primaries = [...this.members.values()].filter(({ log }) => log.isPrimary);
    primaries.sort((left, right) => right.log.currentTerm - left.log.currentTerm);
    return primaries[0];
  }

  /**
   * Applies settings that remove members.
   *
   * @param leaving - names of the members
   */
  setLeaving(leaving: ReadonlySet<string>): void {
    const domains = new Set(this.memberSettings.map(({ failureDomain }) => failureDomain));
    const memberSettings = this.memberSettings.map((member) => ({
      ...member,
      leaving: leaving.has(member.id),
    }));
    for (const watcher of this.watchers.values()) watcher.configure(memberSettings, domains);
  }

  /** Ends a node's process. */
  kill(name: NodeName): void {
    this.network.kill(name);
  }

  /** Restarts a killed node; members keep their log, other nodes lose their state. */
  restart(name: NodeName): void {
    if (this.network.isAlive(name)) return;
    this.network.restart(name);
    this.members.get(name)?.start();
    this.instances.get(name)?.reset();
    const watcher = this.watchers.get(name);
    if (watcher !== undefined) this.startWatcher(watcher);
  }

  /** Cuts a failure domain off from the others, in both directions; callers still reach it. */
  isolate(domain: string): void {
    this.network.isolate(domain, 'client');
  }

  /** @returns all violations in the run so far */
  findViolations(): Violation[] {
    const finalRecords = this.primary?.records ?? [];
    return [...checkGroupHistory({ ...this.history, finalRecords }), ...this.checkLogs()];
  }

  /** @returns times at which callers received the response that their write is done, ascending */
  get doneTimes(): number[] {
    return this.history.writes
      .filter(({ outcome }) => outcome === 'done')
      .map(({ respondedAt }) => respondedAt ?? 0)
      .sort((left, right) => left - right);
  }

  /** Checks that the log of each member in the primary's term is a prefix of the primary's log. */
  private checkLogs(): Violation[] {
    const { primary } = this;
    if (primary === undefined) return [{ rule: 'has-primary', detail: 'no primary in the end' }];
    const violations: Violation[] = [];
    for (const member of this.members.values()) {
      const isSameTerm = member.log.currentTerm === primary.log.currentTerm;
      const isDiverged = member.records.some(
        ({ attempt }, index) => primary.records[index]?.attempt !== attempt,
      );
      if (isSameTerm && isDiverged) violations.push({ rule: 'logs-agree', detail: member.name });
    }
    return violations;
  }

  private addDomain(domain: string, number: number, disabledGuards: ReadonlySet<GroupGuard>): void {
    const { network, random } = this;
    const [member, watcher, instance] = [
      `member-${number}`,
      `watcher-${number}`,
      `instance-${number}`,
    ];
    for (const name of [member, watcher, instance]) network.addNode(name, domain);
    this.members.set(
      member,
      new ModelMember(member, () => this.members, network, FAILURE_DOMAINS.length, disabledGuards),
    );
    const environment = {
      members: this.members,
      watchers: this.watchers,
      publish: (from: NodeName, view: GroupView) => this.publish(from, view),
    };
    this.watchers.set(
      watcher,
      new ModelWatcher(watcher, () => environment, network, random, this.timings, disabledGuards),
    );
    this.instances.set(
      instance,
      new ModelInstance(instance, this.members, network, random, disabledGuards),
    );
  }

  private startWatcher(watcher: ModelWatcher): void {
    const domains = new Set(this.memberSettings.map(({ failureDomain }) => failureDomain));
    watcher.start(this.memberSettings, domains);
  }

  private publish(from: NodeName, view: GroupView): void {
    for (const instance of this.instances.values()) {
      this.network.send('view', from, instance.name, () => instance.handleView(view));
    }
  }

  private addCallers(stopsAtMs: number, perStyle: number): void {
    const instances = [...this.instances.values()];
    const styles = Array.from({ length: perStyle }, () => SESSION_STYLES).flat();
    styles.forEach((style, index) => {
      const name = `client-${index + 1}`;
      this.network.addNode(name, 'client');
      const caller = new ModelCaller(
        name,
        style,
        instances,
        this.network,
        this.random,
        this.history,
        stopsAtMs,
      );
      this.queue.schedule(index * 7, () => caller.start());
    });
  }
}
