/** Divides every organisation's rate among the instances by what the store lists. */
import {
  chooseHolders,
  type InstanceId,
  type Milliseconds,
  type OrganisationId,
} from '@heatherledge/core';
import type { RatePart, SlotKnowledge } from '@heatherledge/daemon';
import type { Stored } from './fleet-view.js';
import type { InstanceRecord } from './records.js';

/** Requests that an instance's part of a burst should hold at least, to be of use by itself. */
const SMALLEST_BURST = 5;

/**
 * Resolves an instance's part of the rates.
 *
 * An instance that has joined takes its part only after every other one that still serves must have
 * seen it, and parts grow only after an instance has been gone for as long. So parts never add up
 * to more than the whole, also where an instance is cut off from the store.
 */
export class ShareBook {
  private readonly listedUntil = new Map<InstanceId, Milliseconds>();

  private joinedAt: Milliseconds | undefined;

  private hasInherited = false;

  private known: { readonly names: string; readonly knowledge: SlotKnowledge } | undefined;

  /**
   * @param self - this instance
   * @param settleMs - longest time for which an instance serves without news of the others
   */
  constructor(
    private readonly self: InstanceId,
    private readonly settleMs: Milliseconds,
  ) {}

  /**
   * @param instances - instances listed now
   * @param now - present moment
   * @returns this instance's part
   */
  resolve(
    instances: ReadonlyMap<InstanceId, Stored<InstanceRecord>>,
    now: Milliseconds,
  ): SlotKnowledge {
    for (const id of instances.keys()) this.listedUntil.set(id, now);
    for (const [id, at] of this.listedUntil) {
      if (now - at > this.settleMs) this.listedUntil.delete(id);
    }
    const mayUse = this.mayUsePart(instances.get(this.self), now);
    const names = `${mayUse} ${[...this.listedUntil.keys()].sort().join(' ')}`;
    if (this.known?.names === names) return this.known.knowledge;
    const holders = new Set([...this.listedUntil.keys()]);
    const divide = this.createDivision(holders, mayUse);
    const knowledge = { owned: mayUse ? [0] : [], slotCount: holders.size, holders, divide };
    this.known = { names, knowledge };
    return knowledge;
  }

  /**
   * Divides a rate among as many instances as its burst feeds.
   *
   * Answers the pattern of a rate that is low for the fleet: equal parts of it hold less than one
   * request each, and whole tokens come together only by chance. A few instances then hold all of
   * it, and the others borrow from them for each request.
   */
  private createDivision(
    all: ReadonlySet<InstanceId>,
    mayUse: boolean,
  ): (organisation: OrganisationId, burst: number) => RatePart {
    const chosen = new Map<string, ReadonlySet<InstanceId>>();
    return (organisation, burst) => {
      const count = Math.max(1, Math.min(all.size, Math.floor(burst / SMALLEST_BURST)));
      const key = `${organisation} ${count}`;
      const holders =
        chosen.get(key) ?? new Set(chooseHolders(`rate/${organisation}`, [...all], count));
      chosen.set(key, holders);
      return { part: mayUse && holders.has(this.self) ? 1 / count : 0, holders };
    };
  }

  /** Keeps the part of the process's earlier life, which the others have counted all the while. */
  inherit(): void {
    this.hasInherited = true;
  }

  private mayUsePart(own: Stored<InstanceRecord> | undefined, now: Milliseconds): boolean {
    if (own === undefined) {
      this.joinedAt = undefined;
      this.hasInherited = false;
      return false;
    }
    if (this.hasInherited) return true;
    this.joinedAt ??= now;
    return now - this.joinedAt > this.settleMs;
  }
}
