import {
  type FailureDomainId,
  type GroupId,
  GroupWatcher,
  type GroupView,
  type InstanceId,
  type MemberId,
  type MemberOrder,
  type OrderResponse,
  type Term,
  toBrand,
  type WatchedMember,
  type WatcherAction,
  type SuspicionReport,
  type WatcherTimings,
} from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { GroupGuard } from './guards.js';
import type { ModelMember } from './model-member.js';

/** The nodes that a watcher communicates with. */
export interface WatcherEnvironment {
  readonly members: ReadonlyMap<NodeName, ModelMember>;
  readonly watchers: ReadonlyMap<NodeName, ModelWatcher>;
  /** Sends a view to all instances. */
  readonly publish: (from: NodeName, view: GroupView) => void;
}

/** Id of the simulated group. */
export const MODEL_GROUP = toBrand<GroupId>('group');

const STEP_INTERVAL_MS = 50;

/** Models a watcher of the group; its state is lost when it is killed. */
export class ModelWatcher {
  private watcher!: GroupWatcher;

  constructor(
    readonly name: NodeName,
    private readonly environment: () => WatcherEnvironment,
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly timings: WatcherTimings,
    private readonly disabledGuards: ReadonlySet<GroupGuard>,
  ) {}

  /** Starts a new watcher, at first and after a kill. */
  start(members: readonly WatchedMember[], domains: ReadonlySet<FailureDomainId>): void {
    const identity = {
      group: MODEL_GROUP,
      instance: toBrand<InstanceId>(this.name),
      failureDomain: toBrand<FailureDomainId>(this.network.getDomain(this.name)),
    };
    this.watcher = new GroupWatcher(identity, this.timings, () => this.random.next());
    this.watcher.configure(members, domains);
    this.step(this.watcher);
  }

  /** Applies changed settings. */
  configure(members: readonly WatchedMember[], domains: ReadonlySet<FailureDomainId>): void {
    this.watcher.configure(members, domains);
  }

  /** Handles the suspicion report of another watcher. */
  handleSuspicion(suspicion: SuspicionReport): void {
    this.runActions(this.watcher.handleSuspicionReport(suspicion, this.network.queue.now()));
  }

  private step(watcher: GroupWatcher): void {
    if (watcher !== this.watcher) return;
    this.runActions(watcher.step(this.network.queue.now()));
    this.network.scheduleOnNode(this.name, STEP_INTERVAL_MS, () => this.step(watcher));
  }

  private runActions(actions: readonly WatcherAction[]): void {
    for (const action of actions) {
      if (action.kind === 'order') this.sendOrder(action.member, action.order, action.token);
      else if (action.kind === 'tell') this.sendSuspicion(action.opinion);
      else if (action.kind === 'publish') this.environment().publish(this.name, action.view);
    }
  }

  private sendSuspicion(suspicion: SuspicionReport): void {
    for (const other of this.environment().watchers.values()) {
      if (other !== this) {
        this.network.send('opinion', this.name, other.name, () => other.handleSuspicion(suspicion));
      }
    }
  }

  private sendOrder(id: MemberId, order: MemberOrder, token: number): void {
    const member = this.environment().members.get(id);
    if (member === undefined) return;
    const { watcher } = this;
    const onResponse = (response: OrderResponse | 'refused' | 'silent'): void => {
      if (watcher === this.watcher) {
        this.runActions(watcher.handleResponse(token, response, this.network.queue.now()));
      }
    };
    const step = order.kind === 'status' ? 'probe' : order.kind;
    this.network.send(step, this.name, id, () => {
      const response = member.handleOrder(order);
      this.network.send(`${step}-answer`, id, this.name, () => onResponse(response));
    });
    if (!this.network.isAlive(id)) {
      this.network.scheduleOnNode(this.name, CONNECTION_REFUSAL_DELAY_MS, () =>
        onResponse('refused'),
      );
    }
    this.network.scheduleOnNode(this.name, this.timings.orderTimeoutMs, () => onResponse('silent'));
    if (order.kind === 'fence' && this.disabledGuards.has('fence-majority')) {
      this.promoteWithoutMajority(member, order.ballot.term);
    }
  }

  /** Without the guard: promotes each member that is fenced, without waiting for promises. */
  private promoteWithoutMajority(member: ModelMember, term: Term): void {
    const ballot = { term, by: toBrand<InstanceId>(this.name) };
    this.network.send('promote', this.name, member.name, () =>
      member.handleOrder({ kind: 'promote', ballot }),
    );
  }
}

const CONNECTION_REFUSAL_DELAY_MS = 5;
