import {
  FailureRatioTracker,
  MemberLoadTracker,
  type MemberEntry,
  type Milliseconds,
  type TermPosition,
  toMilliseconds,
} from '@heatherledge/core';
import type { SlotGate } from '../hosting/slot-gate.js';
import type { MemberPool } from './member-pool.js';
import type { PoolLimits } from './pool-listener.js';

/** What an instance holds and knows of one listed member. */
export interface MemberState {
  readonly entry: MemberEntry;
  readonly pool: MemberPool;
  readonly limits: PoolLimits;
  /** Admits statements to the member over this instance's connections. */
  readonly slotGate: SlotGate;
  /** Log position in the member's latest reply; part of the state dump. */
  reportedPosition: TermPosition | undefined;
  laggingUntil: Milliseconds;
  /** Consecutive refusals of reads because the replica's log lagged. */
  consecutiveLagRefusals: number;
  readonly outcomes: FailureRatioTracker;
  /** Load that other instances' statements and reports show. */
  readonly load: MemberLoadTracker;
  /** Time until which the member is avoided, since its host could not reach it. */
  avoidUntil: Milliseconds;
}

/**
 * Creates the state of a member that was not listed before, or restarted.
 *
 * @param entry - the member
 * @param pool - this instance's connections to it
 * @param limits - limits of the pool, which the registry updates
 * @param slotGate - admits statements to it
 */
export function createMemberState(
  entry: MemberEntry,
  pool: MemberPool,
  limits: PoolLimits,
  slotGate: SlotGate,
): MemberState {
  return {
    entry,
    pool,
    limits,
    slotGate,
    reportedPosition: undefined,
    laggingUntil: toMilliseconds(0),
    consecutiveLagRefusals: 0,
    outcomes: new FailureRatioTracker(),
    load: new MemberLoadTracker(),
    avoidUntil: toMilliseconds(0),
  };
}
