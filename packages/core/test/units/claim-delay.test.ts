import { describe, expect, it } from 'vitest';
import { computeClaimDelay, type InstanceId, toBrand } from '../../src/index.js';

/** Two calls of the store at 4 ms each, and the watch that tells the others. */
const CLAIM_MS = 60;
const MAX_GAP_MS = 3000;

function createFleet(count: number): InstanceId[] {
  return Array.from({ length: count }, (_, index) => toBrand<InstanceId>(`i${index}`));
}

/** Lists the delays of the instances that are up, shortest first. */
function listDelays(fleet: readonly InstanceId[], up: readonly InstanceId[]): number[] {
  return up
    .map((id, index) => computeClaimDelay(id, fleet, index / up.length))
    .sort((left, right) => left - right);
}

describe('claims of the role of the coordinator', () => {
  describe('load pattern: 195 instances have no coordinator', () => {
    const fleet = createFleet(195);

    it('are made by one or two instances before the others learn of the result', () => {
      const delays = listDelays(fleet, fleet);
      const first = delays[0] as number;
      expect(first).toBeLessThanOrEqual(100);
      expect(delays.filter((delay) => delay < first + CLAIM_MS).length).toBeLessThanOrEqual(2);
    });

    it('come soon although the ranked instances are gone', () => {
      const ranked = fleet.filter((id) => computeClaimDelay(id, fleet, 0) < 2000);
      const others = fleet.filter((id) => !ranked.includes(id));
      expect(ranked).toHaveLength(8);
      expect(listDelays(fleet, others)[0]).toBeLessThanOrEqual(MAX_GAP_MS);
    });
  });

  it('are made at once by the only instance', () => {
    const fleet = createFleet(1);
    expect(computeClaimDelay(fleet[0] as InstanceId, fleet, 0)).toBe(0);
  });
});
