import { describe, expect, it } from 'vitest';
import { createGroupCell, GROUP_GUARDS, listGroupCells, runGroupCell } from '@heatherledge/lab';

/** CI runs one in this many cells of the matrix; `npm run faults` runs all of them. */
const CELL_STRIDE = 5;

describe('fault matrix of the data path', () => {
  describe('cells', () => {
    const cells = listGroupCells(1, 1).filter((_, index) => index % CELL_STRIDE === 0);

    it('violate no guarantee', () => {
      const failed = cells.map((cell) => runGroupCell(cell)).filter((r) => r.outcome === 'failed');
      expect(failed).toEqual([]);
    });

    it('give the same result for the same seed', () => {
      const cell = createGroupCell('group/kill-sender/commit-answer', 3);
      expect(runGroupCell(cell)).toEqual(runGroupCell(cell));
    });
  });

  describe('regressions', () => {
    it('do not report a record in the unconfirmed tail of a replaced primary as done', () => {
      const cell = createGroupCell('group/isolate-primary-domain/commit-answer', 1);
      expect(runGroupCell(cell).violations).toEqual([]);
    });
  });

  describe('guards', () => {
    it('are listed once each', () => {
      expect(new Set(GROUP_GUARDS).size).toBe(GROUP_GUARDS.length);
    });
  });
});
