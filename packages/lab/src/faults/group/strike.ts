/** Faults that strike when a protocol reaches a step. */
import type { NodeName } from '../fake-network.js';
import type { GroupWorld } from './group-world.js';

/** Kinds of faults. */
export const GROUP_FAULTS = [
  'kill-sender',
  'kill-receiver',
  'freeze-sender',
  'freeze-receiver',
  'isolate-sender-domain',
  'isolate-receiver-domain',
  'isolate-primary-domain',
  'cut-one-way',
  'cut-silent',
  'slow-sender',
  'lag-replicas',
  'lose-message',
  'late-message',
] as const;

/** A kind of fault. */
export type GroupFault = (typeof GROUP_FAULTS)[number];

/** Steps of the group's protocols. */
export const GROUP_STEPS = [
  'request',
  'answer',
  'begin',
  'begin-answer',
  'commit',
  'commit-answer',
  'confirm',
  'confirm-answer',
  'look-up',
  'look-up-answer',
  'read',
  'read-answer',
  'index',
  'index-answer',
  'resume',
  'batch',
  'ack',
  'probe',
  'probe-answer',
  'opinion',
  'view',
  'fence',
  'fence-answer',
  'promote',
  'promote-answer',
  'follow',
  'follow-answer',
] as const;

/** A step of a protocol. */
export type GroupStep = (typeof GROUP_STEPS)[number];

/** One fault at one step. */
export interface Strike {
  readonly fault: GroupFault;
  readonly step: GroupStep;
  /** Which occurrence of the step is struck, from 1. */
  readonly occurrence: number;
  /** Moment before which nothing is struck, in milliseconds. */
  readonly notBeforeMs: number;
}

/** How long a fault lasts, in milliseconds. */
const FAULT_MS = 2500;
const LATE_MS = 1500;
const SLOW_MS = 300;
const LAG_MS = 1200;

/** Arms strikes and tells which of them struck. */
export class Striker {
  readonly struckAt: number[] = [];

  private readonly counts = new Map<Strike, number>();

  constructor(
    private readonly world: GroupWorld,
    private readonly strikes: readonly Strike[],
  ) {
    world.network.observer = (step, from, to) => this.observe(step, from, to);
  }

  private observe(step: string, from: NodeName, to: NodeName): void {
    const now = this.world.queue.now();
    for (const strike of this.strikes) {
      if (strike.step !== step || now < strike.notBeforeMs) continue;
      const count = (this.counts.get(strike) ?? 0) + 1;
      this.counts.set(strike, count);
      if (count !== strike.occurrence) continue;
      this.struckAt.push(now);
      this.strike(strike.fault, from, to);
    }
  }

  private strike(fault: GroupFault, from: NodeName, to: NodeName): void {
    const { world } = this;
    const { network, queue } = world;
    switch (fault) {
      case 'kill-sender':
        this.kill(from);
        break;
      case 'kill-receiver':
        this.kill(to);
        break;
      case 'freeze-sender':
        this.freeze(from);
        break;
      case 'freeze-receiver':
        this.freeze(to);
        break;
      case 'isolate-sender-domain':
        this.isolate(network.domainOf(from));
        break;
      case 'isolate-receiver-domain':
        this.isolate(network.domainOf(to));
        break;
      case 'isolate-primary-domain':
        this.isolate(network.domainOf(world.primary?.name ?? ''));
        break;
      case 'cut-one-way':
        network.cut(from, to);
        queue.schedule(FAULT_MS, () => network.heal());
        break;
      case 'cut-silent':
        network.cut(from, to);
        network.cut(to, from);
        queue.schedule(FAULT_MS, () => network.heal());
        break;
      case 'slow-sender':
        network.slowDown(from, SLOW_MS);
        queue.schedule(FAULT_MS, () => network.heal());
        break;
      case 'lag-replicas':
        this.lagReplicas();
        break;
      case 'lose-message':
        network.loseNextMessage(from, to);
        break;
      default:
        network.delayNextMessage(from, to, LATE_MS);
    }
  }

  private kill(name: NodeName): void {
    this.world.kill(name);
    this.world.queue.schedule(FAULT_MS, () => this.world.restart(name));
  }

  private freeze(name: NodeName): void {
    this.world.network.freeze(name);
    this.world.queue.schedule(FAULT_MS, () => this.world.network.resume(name));
  }

  private isolate(domain: string): void {
    this.world.isolate(domain);
    this.world.queue.schedule(FAULT_MS, () => this.world.network.heal());
  }

  private lagReplicas(): void {
    const set = (lagMs: number): void => {
      for (const member of this.world.members.values()) Object.assign(member, { lagMs });
    };
    set(LAG_MS);
    this.world.queue.schedule(FAULT_MS, () => set(0));
  }
}

/**
 * @param strike - a fault at a step
 * @returns why it cannot arise, or undefined if it can
 */
export function explainInapplicable(strike: Strike): string | undefined {
  const { fault, step } = strike;
  const isSender = fault.endsWith('-sender') || fault === 'isolate-sender-domain';
  const isReceiver = fault.endsWith('-receiver') || fault === 'isolate-receiver-domain';
  if (step === 'request' && isSender) return 'the sender is a caller, not part of the system';
  if (step === 'answer' && isReceiver) return 'the receiver is a caller, not part of the system';
  return undefined;
}
