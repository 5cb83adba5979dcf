import {
  listShareCells,
  runLimitsExperiment,
  runShareCell,
  GEORGIA_LATENCIES,
  LOAD_SHAPES,
} from '@heatherledge/lab';
import { describe, expect, it } from 'vitest';

/** Every so many cells are run in CI; `npm run faults` runs them all. */
const STRIDE = 4;

describe('fault matrix of the shared rates', () => {
  it('never lets an organisation have more than its rate and burst', () => {
    const cells = listShareCells(1).filter((_, index) => index % STRIDE === 0);
    const failed = cells.map((cell) => runShareCell(cell)).filter((r) => r.outcome === 'failed');
    expect(failed).toEqual([]);
  });

  it('finds a claim that its holder overstays', () => {
    const cells = listShareCells(1).filter(
      ({ id }) => id.includes('freeze') || id.includes('isolate'),
    );
    const failed = cells
      .map((cell) => runShareCell(cell, new Set(['claim-lease'] as const)))
      .filter((result) => result.outcome === 'failed');
    expect(failed.length).toBeGreaterThan(0);
  });
});

describe('limits experiment', () => {
  it.each(LOAD_SHAPES)('admits nothing above the limit under load %s', (shape) => {
    const result = runLimitsExperiment({
      seed: 3,
      instances: 9,
      organisations: 4,
      latencies: GEORGIA_LATENCIES,
      shape,
      strategy: 'loans',
      durationMs: 6000,
    });
    expect(result.above).toBe(0);
  });
});
