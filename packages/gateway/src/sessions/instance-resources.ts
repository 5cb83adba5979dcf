import { type Clock, MemoryBudget, type ProgressLimits } from '@heatherledge/core';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import { ConnectionGuard, type GuardedSide } from './connection-guard.js';

/** What a process may use. */
export interface ResourceLimits {
  /** Memory beyond which the platform kills the process, in bytes. */
  readonly maxMemoryBytes: number;
  /** Descriptors that the process may have open. */
  readonly maxDescriptors: number;
  /** Part of the callers' or peers' descriptors that one source address may use. */
  readonly addressShare: number;
  /** When a connection on which bytes are expected is closed. */
  readonly progress: ProgressLimits;
}

/** Share of the memory that is charged at all; the runtime and its garbage take the rest. */
const CHARGED_MEMORY_RATIO = 0.3;
/** Shares of the memory of each side; together they are a little more than what is charged at all. */
const CALLER_MEMORY_RATIO = 0.12;
const MEMBER_MEMORY_RATIO = 0.1;
const PEER_MEMORY_RATIO = 0.1;
/** Part of the callers' share that one source address may hold; the rest remains for other addresses. */
const MAX_ADDRESS_MEMORY_RATIO = 0.83;
/** Part of the callers' share for large messages in progress, each of which is copied twice. */
const RESERVED_MEMORY_RATIO = 0.15;

/**
 * Shares of the descriptors. The rest is for connections to members, to the store and to other instances, for
 * metrics and readiness, and for files.
 */
const CALLER_DESCRIPTOR_RATIO = 0.5;
const PEER_DESCRIPTOR_RATIO = 0.15;

/** The account of what callers, peers and members make an instance hold, and the guards of its connections. */
export class InstanceResources {
  readonly callerBudget: MemoryBudget;

  readonly memberBudget: MemoryBudget;

  readonly peerBudget: MemoryBudget;

  private readonly budget: MemoryBudget;

  /** @param limits - what the process may use */
  constructor(private readonly limits: ResourceLimits) {
    const compute = (ratio: number): number => Math.round(limits.maxMemoryBytes * ratio);
    this.budget = new MemoryBudget(compute(CHARGED_MEMORY_RATIO));
    const callerBytes = compute(CALLER_MEMORY_RATIO);
    this.callerBudget = this.budget.createShare(callerBytes, {
      maxGroupBytes: Math.round(callerBytes * MAX_ADDRESS_MEMORY_RATIO),
      maxReservedBytes: Math.round(callerBytes * RESERVED_MEMORY_RATIO),
    });
    this.memberBudget = this.budget.createShare(compute(MEMBER_MEMORY_RATIO));
    this.peerBudget = this.budget.createShare(compute(PEER_MEMORY_RATIO));
  }

  /**
   * Creates the guard of the connections that one side opens.
   *
   * @param side - who opens the connections
   * @param clock - source of time
   * @param log - receives refusals
   * @param metrics - counts refusals
   */
  createGuard(
    side: GuardedSide,
    clock: Clock,
    log: EventLog,
    metrics: GatewayMetrics,
  ): ConnectionGuard {
    const { maxDescriptors, addressShare, progress } = this.limits;
    const ratio = side === 'callers' ? CALLER_DESCRIPTOR_RATIO : PEER_DESCRIPTOR_RATIO;
    const maxConnections = Math.floor(maxDescriptors * ratio);
    const maxPerAddress = Math.max(1, Math.floor(maxConnections * addressShare));
    const limits = { maxConnections, maxPerAddress, progress };
    const budget = side === 'callers' ? this.callerBudget : this.peerBudget;
    return new ConnectionGuard(side, limits, { clock, log, metrics }, budget);
  }

  /** Sets the gauges of the memory that is charged. */
  publish(metrics: GatewayMetrics): void {
    metrics.heldBytes.set({ holder: 'callers' }, this.callerBudget.usedBytes);
    metrics.heldBytes.set({ holder: 'members' }, this.memberBudget.usedBytes);
    metrics.heldBytes.set({ holder: 'peers' }, this.peerBudget.usedBytes);
  }
}
