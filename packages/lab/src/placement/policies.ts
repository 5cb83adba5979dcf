import {
  MemberSlotQueue,
  type OrganisationId,
  resolveConnectionBudget,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { EventQueue } from '../faults/event-queue.js';
import { type ModelMember, SLOTS } from './model-member.js';

/** A statement that a policy places. */
export interface ModelStatement {
  readonly organisation: number;
  /** The organisation's usual rate, relative to others. */
  readonly weight: number;
  readonly instance: number;
  /** Members that may run it, with the one-way delay to each. */
  readonly eligible: readonly { readonly member: number; readonly delayMs: number }[];
  readonly workMs: number;
  readonly priority: number;
  readonly maxWaitMs: number;
  readonly deadline: number;
  /** Called when the statement has run or was refused; the way back is not included. */
  readonly onEnd: (hasRun: boolean) => void;
}

/** Way of choosing a member. */
export type Choice = 'reported' | 'own' | 'turns' | 'exact';
/** Order of the statements that wait for a member. */
export type Order = 'fair' | 'arrival' | 'none';

/** A way of placing and queueing statements. */
export interface PolicyPlan {
  readonly name: string;
  readonly choice: Choice;
  readonly order: Order;
  /** Whether one host owns a member's connections, or each instance its own. */
  readonly isHosted: boolean;
  /** Whether a statement that would wait too long is refused at its arrival. */
  readonly refuses: boolean;
}

/** Our policy, the last version's, the baselines and the bound. */
export const POLICY_PLANS: readonly PolicyPlan[] = [
  { name: 'hosts', choice: 'reported', order: 'fair', isHosted: true, refuses: true },
  { name: 'last version', choice: 'own', order: 'none', isHosted: false, refuses: false },
  { name: 'first come', choice: 'reported', order: 'arrival', isHosted: true, refuses: false },
  { name: 'even split', choice: 'turns', order: 'arrival', isHosted: true, refuses: false },
  { name: 'least connections', choice: 'own', order: 'none', isHosted: false, refuses: false },
  { name: 'all-knowing', choice: 'exact', order: 'fair', isHosted: true, refuses: true },
];

/** Connections that a member accepts. */
const MEMBER_CONNECTION_LIMIT = 90;
/** Idle connections of a host, and of an instance that connects by itself among 195. */
const HOST_IDLE_CONNECTIONS = resolveConnectionBudget(
  MEMBER_CONNECTION_LIMIT,
  'host',
).maxIdleConnections;
const OWN_IDLE_CONNECTIONS = 0;
/** Multiple of the accepted wait after which the gateway's slot gate refuses a statement. */
const MAX_WAIT_FACTOR = 1.5;
/** Delay before a statement that a busy member refused is sent again. */
const BUSY_RETRY_MS = 20;
/** Age beyond which a report says nothing about a queue. */
const REPORT_TTL_MS = 400;
/** Cost of a pending statement in milliseconds, as the choice of members weighs it. */
const PENDING_COST_MS = 8;

/** Places statements at members according to a plan. */
export class Policy {
  /** Hosts that answer nothing, by member. */
  readonly lostHosts = new Set<number>();

  private readonly queues: MemberSlotQueue[];

  private readonly waiting = new Map<string, () => void>();

  private readonly reports = new Map<string, { pending: number; at: number }>();

  private readonly outstanding = new Map<string, number>();

  private turn = 0;

  constructor(
    private readonly plan: PolicyPlan,
    private readonly members: readonly ModelMember[],
    private readonly events: EventQueue,
  ) {
    this.queues = members.map(() => new MemberSlotQueue(SLOTS));
  }

  /** Places a statement. */
  place(statement: ModelStatement): void {
    const { member, delayMs } = this.chooseMember(statement);
    const key = `${statement.instance}/${member}`;
    this.outstanding.set(key, (this.outstanding.get(key) ?? 0) + 1);
    const onEnd = (hasRun: boolean): void => {
      this.outstanding.set(key, (this.outstanding.get(key) ?? 1) - 1);
      const pending = this.countPending(member);
      this.events.schedule(delayMs, () => {
        this.reports.set(key, { pending, at: this.events.now() });
        statement.onEnd(hasRun);
      });
    };
    // A lost host is noticed after the silence that is allowed; the standby serves then.
    const lostMs = this.plan.isHosted && this.lostHosts.has(member) ? 350 : 0;
    if (lostMs > 0) this.lostHosts.delete(member);
    this.events.schedule(delayMs + lostMs, () => this.enqueue(member, { ...statement, onEnd }));
  }

  private enqueue(member: number, statement: ModelStatement): void {
    if (this.plan.order === 'none') {
      this.send(member, statement);
      return;
    }
    const queue = this.queues[member] as MemberSlotQueue;
    const isFair = this.plan.order === 'fair';
    const organisation = toBrand<OrganisationId>(isFair ? `o${statement.organisation}` : 'all');
    const decision = queue.request(
      {
        organisation,
        weight: isFair ? statement.weight : 1,
        priority: isFair ? statement.priority : 0,
        deadline: toMilliseconds(statement.deadline),
        maxEstimatedWaitMs: this.plan.refuses ? statement.maxWaitMs : Infinity,
      },
      this.events.now(),
    );
    if (decision.kind === 'refused') statement.onEnd(false);
    else if (decision.kind === 'granted') this.send(member, statement);
    else {
      const { priority, ticket } = decision.ticket;
      const key = `${member}/${priority}/${ticket}`;
      this.waiting.set(key, () => this.send(member, statement));
      const maxWaitMs = this.plan.refuses ? statement.maxWaitMs * MAX_WAIT_FACTOR : Infinity;
      const waitMs = Math.min(maxWaitMs, statement.deadline - this.events.now());
      this.events.schedule(waitMs, () => {
        if (!this.waiting.delete(key)) return;
        queue.cancel(decision.ticket);
        statement.onEnd(false);
      });
    }
  }

  private send(member: number, statement: ModelStatement): void {
    const { organisation, workMs, deadline, instance } = statement;
    const { isHosted } = this.plan;
    const owner = isHosted ? 'host' : `i${instance}`;
    const maxIdle = isHosted ? HOST_IDLE_CONNECTIONS : OWN_IDLE_CONNECTIONS;
    const onEnd = (hasRun: boolean): void => {
      if (!hasRun && this.events.now() + BUSY_RETRY_MS < deadline) {
        this.events.schedule(BUSY_RETRY_MS, () => this.send(member, statement));
        return;
      }
      this.release(member);
      statement.onEnd(hasRun);
    };
    (this.members[member] as ModelMember).send(owner, maxIdle, { organisation, workMs, onEnd });
  }

  private release(member: number): void {
    if (this.plan.order === 'none') return;
    const ticket = this.queues[member]?.release(this.events.now());
    if (ticket === undefined) return;
    const key = `${member}/${ticket.priority}/${ticket.ticket}`;
    const run = this.waiting.get(key);
    this.waiting.delete(key);
    run?.();
  }

  private chooseMember({ eligible, instance }: ModelStatement): ModelStatement['eligible'][number] {
    this.turn += 1;
    const first = eligible[this.turn % eligible.length] as ModelStatement['eligible'][number];
    if (this.plan.choice === 'turns') return first;
    let best = first;
    let bestCost = Infinity;
    for (const candidate of eligible) {
      const pending = this.estimatePending(candidate.member, instance);
      const cost = candidate.delayMs * 2 + pending * PENDING_COST_MS;
      if (cost < bestCost) {
        best = candidate;
        bestCost = cost;
      }
    }
    return best;
  }

  private estimatePending(member: number, instance: number): number {
    if (this.plan.choice === 'exact') return this.countPending(member);
    const key = `${instance}/${member}`;
    const own = this.outstanding.get(key) ?? 0;
    const report = this.plan.choice === 'reported' ? this.reports.get(key) : undefined;
    const isCurrent = report !== undefined && this.events.now() - report.at < REPORT_TTL_MS;
    return Math.max(own, isCurrent ? report.pending : 0);
  }

  private countPending(member: number): number {
    const queued = this.plan.order === 'none' ? 0 : (this.queues[member]?.pending ?? 0);
    return Math.max(queued, this.members[member]?.pending ?? 0);
  }
}
