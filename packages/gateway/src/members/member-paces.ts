import {
  type Clock,
  type MemberEntry,
  type MemberId,
  MemberPace,
  type Milliseconds,
  PIPELINED_STATEMENTS,
} from '@heatherledge/core';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { GatewaySettings } from '../settings.js';

/** A change of a limit by this part of the full limit, and at least one statement, is logged. */
const LOGGED_STEP_FRACTION = 0.25;

/** What the limits of members need of their instance. */
export interface PaceServices {
  readonly settings: Pick<GatewaySettings, 'memberPace'>;
  readonly clock: Clock;
  readonly metrics: GatewayMetrics;
  readonly log: EventLog;
  /** Finds when the cold state of a member ends, if it is cold. */
  readonly findColdEnd: (entry: MemberEntry) => Milliseconds | undefined;
}

interface PaceState {
  readonly pace: MemberPace;
  readonly fullLimit: number;
  loggedLimit: number;
  /** Whether the last connection of this instance has failed, and none was accepted since. */
  isLost: boolean;
}

/** Holds the concurrency limits of members, if the setting asks for them. */
export class MemberPaces {
  private readonly states = new Map<MemberId, PaceState>();

  constructor(private readonly services: PaceServices) {}

  /**
   * Creates the limit of a member that is newly listed.
   *
   * @param entry - the member
   * @returns its limit, or undefined if limits are fixed
   */
  create(entry: MemberEntry): MemberPace | undefined {
    if (this.services.settings.memberPace !== 'adaptive') return undefined;
    const fullLimit = entry.slots + PIPELINED_STATEMENTS;
    const pace = new MemberPace(fullLimit, this.services.clock.now());
    this.states.set(entry.id, { pace, fullLimit, loggedLimit: 1, isLost: false });
    return pace;
  }

  /** Forgets a member that is no longer listed. */
  remove(member: MemberId): void {
    if (this.states.delete(member)) this.services.metrics.memberLimit.remove({ member });
  }

  /** Records that a member accepted a connection, or that the last connection to it failed. */
  recordReachable({ id }: MemberEntry, isReachable: boolean): void {
    const state = this.states.get(id);
    if (state === undefined) return;
    if (isReachable && state.isLost) state.pace.recordStart(this.services.clock.now());
    state.isLost = !isReachable;
  }

  /**
   * Takes the warm-up of the listed members, and shows their limits; called periodically.
   *
   * @param entries - the listed members
   */
  update(entries: Iterable<MemberEntry>): void {
    for (const entry of entries) {
      const state = this.states.get(entry.id);
      if (state !== undefined) this.updateState(entry, state);
    }
  }

  private updateState(entry: MemberEntry, state: PaceState): void {
    const { clock, metrics, log, findColdEnd } = this.services;
    const now = clock.now();
    const { pace, fullLimit, loggedLimit } = state;
    pace.recordWarmup(findColdEnd(entry) ?? now, now);
    const { id: member, group } = entry;
    // Only the hosts of a member send to it; the limits of others say nothing.
    if (pace.isIdle(now)) {
      metrics.memberLimit.remove({ member });
      state.loggedLimit = 1;
      return;
    }
    const limit = pace.limit(now);
    metrics.memberLimit.set({ member }, limit);
    const change = pace.takeChange();
    const step = Math.max(1, fullLimit * LOGGED_STEP_FRACTION);
    if (change === undefined || Math.abs(limit - loggedLimit) < step) return;
    state.loggedLimit = limit;
    const { cause, lostShare, meanMs, lowestMs } = change;
    const times = { meanMs: roundTime(meanMs), lowestMs: roundTime(lowestMs) };
    const lost = Math.round(lostShare * 100) / 100;
    const inputs = { cause, lostShare: lost, ...times };
    log.info('member.limit', { member, group, from: loggedLimit, to: limit, fullLimit, ...inputs });
  }
}

function roundTime(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms * 10) / 10;
}
