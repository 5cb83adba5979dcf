/** A watcher of the group as the matrix steps it. */
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
  type WatcherSuspicion,
  type WatcherTimings,
} from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { GroupGuard } from './guards.js';
import type { ModelMember } from './model-member.js';

/** Whom a watcher talks to. */
export interface WatcherSurroundings {
  readonly members: ReadonlyMap<NodeName, ModelMember>;
  readonly watchers: ReadonlyMap<NodeName, ModelWatcher>;
  /** Takes views on behalf of the entries. */
  readonly publish: (from: NodeName, view: GroupView) => void;
}

/** The group that the matrix steps. */
export const MODEL_GROUP = toBrand<GroupId>('group');

const STEP_MS = 50;

/** One watcher; it knows nothing of before after a kill. */
export class ModelWatcher {
  private watcher!: GroupWatcher;

  constructor(
    readonly name: NodeName,
    private readonly surroundings: () => WatcherSurroundings,
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly timings: WatcherTimings,
    private readonly without: ReadonlySet<GroupGuard>,
  ) {}

  /** Begins to run, at the start and after a kill. */
  start(members: readonly WatchedMember[], domains: ReadonlySet<FailureDomainId>): void {
    const identity = {
      group: MODEL_GROUP,
      instance: toBrand<InstanceId>(this.name),
      failureDomain: toBrand<FailureDomainId>(this.network.domainOf(this.name)),
    };
    this.watcher = new GroupWatcher(identity, this.timings, () => this.random.next());
    this.watcher.configure(members, domains);
    this.step(this.watcher);
  }

  /** Takes changed settings. */
  configure(members: readonly WatchedMember[], domains: ReadonlySet<FailureDomainId>): void {
    this.watcher.configure(members, domains);
  }

  /** Takes another watcher's opinion. */
  hear(opinion: WatcherSuspicion): void {
    this.perform(this.watcher.handleSuspicion(opinion, this.network.queue.now()));
  }

  private step(watcher: GroupWatcher): void {
    if (watcher !== this.watcher) return;
    this.perform(watcher.step(this.network.queue.now()));
    this.network.later(this.name, STEP_MS, () => this.step(watcher));
  }

  private perform(actions: readonly WatcherAction[]): void {
    for (const action of actions) {
      if (action.kind === 'order') this.order(action.member, action.order, action.token);
      else if (action.kind === 'tell') this.tell(action.opinion);
      else if (action.kind === 'publish') this.surroundings().publish(this.name, action.view);
    }
  }

  private tell(opinion: WatcherSuspicion): void {
    for (const other of this.surroundings().watchers.values()) {
      if (other !== this) {
        this.network.send('opinion', this.name, other.name, () => other.hear(opinion));
      }
    }
  }

  private order(id: MemberId, order: MemberOrder, token: number): void {
    const member = this.surroundings().members.get(id);
    if (member === undefined) return;
    const { watcher } = this;
    const settle = (answer: OrderResponse | 'refused' | 'silent'): void => {
      if (watcher === this.watcher) {
        this.perform(watcher.handleResponse(token, answer, this.network.queue.now()));
      }
    };
    const step = order.kind === 'status' ? 'probe' : order.kind;
    this.network.send(step, this.name, id, () => {
      const answer = member.obey(order);
      this.network.send(`${step}-answer`, id, this.name, () => settle(answer));
    });
    if (!this.network.isAlive(id)) {
      this.network.later(this.name, REFUSAL_MS, () => settle('refused'));
    }
    this.network.later(this.name, this.timings.orderTimeoutMs, () => settle('silent'));
    if (order.kind === 'fence' && this.without.has('fence-majority')) {
      this.promoteAtOnce(member, order.ballot.term);
    }
  }

  /** The mutation: promotes whoever is asked first, without waiting for promises. */
  private promoteAtOnce(member: ModelMember, term: Term): void {
    const ballot = { term, by: toBrand<InstanceId>(this.name) };
    this.network.send('promote', this.name, member.name, () =>
      member.obey({ kind: 'promote', ballot }),
    );
  }
}

const REFUSAL_MS = 5;
