import {
  listShareCells,
  runLimitsExperiment,
  runShareCell,
  GEORGIA_LATENCIES,
  LOAD_SHAPES,
} from '@heatherledge/lab';
import { describe, expect, it } from 'vitest';

/** One of this many cells runs in CI; `npm run faults` runs all of them. */
const CELL_SAMPLING_INTERVAL = 4;

describe('fault matrix of shared rates', () => {
  it('admits no more requests of an organisation than its rate and burst allow', () => {
    const cells = listShareCells(1).filter((_, index) => index % CELL_SAMPLING_INTERVAL === 0);
    const failed = cells
      .map((cell) => runShareCell(cell))
      .filter((result) => result.outcome === 'failed');
    expect(failed).toEqual([]);
  });

  it('detects a holder that uses its slots after its lease has expired', () => {
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
  it.each(LOAD_SHAPES)('admits nothing above the rate and burst under load shape %s', (shape) => {
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
