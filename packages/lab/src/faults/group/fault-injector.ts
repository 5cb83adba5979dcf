import type { NodeName } from '../fake-network.js';
import type { GroupSimulation } from './group-simulation.js';

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

/** A fault that is injected at a step of a protocol. */
export interface FaultInjection {
  readonly fault: GroupFault;
  readonly step: GroupStep;
  /** Number of the occurrence of the step at which the fault is injected, from 1. */
  readonly occurrence: number;
  /** Time before which occurrences of the step do not count, in milliseconds. */
  readonly notBeforeMs: number;
}

const FAULT_DURATION_MS = 2500;
const MESSAGE_DELAY_MS = 1500;
const MAX_ADDED_LATENCY_MS = 300;
const REPLICA_LAG_MS = 1200;

/** Injects faults into a simulation and records when. */
export class FaultInjector {
  /** Times at which faults were injected, in milliseconds. */
  readonly injectedAtMs: number[] = [];

  private readonly occurrences = new Map<FaultInjection, number>();

  constructor(
    private readonly simulation: GroupSimulation,
    private readonly injections: readonly FaultInjection[],
  ) {
    simulation.network.observer = (step, from, to) => this.onMessage(step, from, to);
  }

  private onMessage(step: string, from: NodeName, to: NodeName): void {
    const now = this.simulation.queue.now();
    for (const injection of this.injections) {
      if (injection.step !== step || now < injection.notBeforeMs) continue;
      const count = (this.occurrences.get(injection) ?? 0) + 1;
      this.occurrences.set(injection, count);
      if (count !== injection.occurrence) continue;
      this.injectedAtMs.push(now);
      this.inject(injection.fault, from, to);
    }
  }

  private inject(fault: GroupFault, from: NodeName, to: NodeName): void {
    const { simulation } = this;
    const { network, queue } = simulation;
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
        this.isolate(network.getDomain(from));
        break;
      case 'isolate-receiver-domain':
        this.isolate(network.getDomain(to));
        break;
      case 'isolate-primary-domain':
        this.isolate(network.getDomain(simulation.primary?.name ?? ''));
        break;
      case 'cut-one-way':
        network.cut(from, to);
        queue.schedule(FAULT_DURATION_MS, () => network.heal());
        break;
      case 'cut-silent':
        network.cut(from, to);
        network.cut(to, from);
        queue.schedule(FAULT_DURATION_MS, () => network.heal());
        break;
      case 'slow-sender':
        network.slowDown(from, MAX_ADDED_LATENCY_MS);
        queue.schedule(FAULT_DURATION_MS, () => network.heal());
        break;
      case 'lag-replicas':
        this.lagReplicas();
        break;
      case 'lose-message':
        network.dropNextMessage(from, to);
        break;
      default:
        network.delayNextMessage(from, to, MESSAGE_DELAY_MS);
    }
  }

  private kill(name: NodeName): void {
    this.simulation.kill(name);
    this.simulation.queue.schedule(FAULT_DURATION_MS, () => this.simulation.restart(name));
  }

  private freeze(name: NodeName): void {
    this.simulation.network.freeze(name);
    this.simulation.queue.schedule(FAULT_DURATION_MS, () => this.simulation.network.resume(name));
  }

  private isolate(domain: string): void {
    this.simulation.isolate(domain);
    this.simulation.queue.schedule(FAULT_DURATION_MS, () => this.simulation.network.heal());
  }

  private lagReplicas(): void {
    const setLag = (lagMs: number): void => {
      for (const member of this.simulation.members.values()) Object.assign(member, { lagMs });
    };
    setLag(REPLICA_LAG_MS);
    this.simulation.queue.schedule(FAULT_DURATION_MS, () => setLag(0));
  }
}

/**
 * Checks whether a fault can occur at a step.
 *
 * @param injection - the fault and the step
 * @returns why it cannot occur, or undefined if it can
 */
export function findInapplicableReason(injection: FaultInjection): string | undefined {
  const { fault, step } = injection;
  const isSender = fault.endsWith('-sender') || fault === 'isolate-sender-domain';
  const isReceiver = fault.endsWith('-receiver') || fault === 'isolate-receiver-domain';
  if (step === 'request' && isSender) return 'the sender is a caller, not part of the system';
  if (step === 'answer' && isReceiver) return 'the receiver is a caller, not part of the system';
  return undefined;
}
