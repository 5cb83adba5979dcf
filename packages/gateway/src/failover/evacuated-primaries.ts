import {
  comparePositions,
  formatIncarnation,
  type MemberEntry,
  type MemberIncarnation,
  type Milliseconds,
} from '@heatherledge/core';
import type { PrimaryChangeServices } from './primary-change.js';

/**
 * A primary of an evacuated domain that does not respond is replaced after this. Nothing is sent to it by
 * then, so that unanswered statements do not show that it is gone.
 */
const RESPONSE_TIMEOUT_MS = 4000;

/** Decides when the coordinator replaces a primary because its failure domain is evacuated. */
export class EvacuatedPrimaries {
  /** When primaries of evacuated domains began not to respond. */
  private readonly silentSince = new Map<MemberIncarnation, Milliseconds>();

  constructor(
    private readonly services: Pick<PrimaryChangeServices, 'view' | 'control' | 'clock'>,
  ) {}

  /** Drops what was seen in an earlier term as the coordinator. */
  clear(): void {
    this.silentSince.clear();
  }

  /**
   * Checks whether a primary is to be replaced: its domain is evacuated, open transactions have had some
   * time, and a member outside the evacuated domains has received all that the primary holds.
   *
   * @param primary - a listed primary
   */
  async mayReplace(primary: MemberEntry): Promise<boolean> {
    const { view, control, clock } = this.services;
    const incarnation = formatIncarnation(primary);
    const evacuation = view.evacuatedDomains.get(primary.failureDomain);
    if (evacuation === undefined) this.silentSince.delete(incarnation);
    if (evacuation === undefined || clock.now() < evacuation.window.switchoverFrom) return false;
    const successors = view
      .listMembers(primary.group)
      .filter(
        ({ id, isDraining, failureDomain }) =>
          id !== primary.id && !isDraining && !view.evacuatedDomains.has(failureDomain),
      );
    if (successors.length === 0) return false;
    // The primary's position must be the older one, so that no commit between the two is missed.
    const status = await control.sendCommand(primary, { kind: 'status' });
    const others = await Promise.all(
      successors.map(async (entry) => control.sendCommand(entry, { kind: 'status' })),
    );
    if (status === undefined) {
      const since = this.silentSince.get(incarnation) ?? clock.now();
      this.silentSince.set(incarnation, since);
      const hasSuccessor = others.some((other) => other !== undefined);
      return hasSuccessor && clock.now() - since >= RESPONSE_TIMEOUT_MS;
    }
    this.silentSince.delete(incarnation);
    return others.some(
      (other) => other !== undefined && comparePositions(other.received, status.received) >= 0,
    );
  }
}
