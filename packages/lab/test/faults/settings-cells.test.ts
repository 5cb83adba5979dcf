import { listSettingsCells, runSettingsCell, SETTINGS_GUARDS } from '@heatherledge/lab';
import { describe, expect, it } from 'vitest';

describe('fault matrix of settings and keys', () => {
  it('keeps accepted changes, never reverts, and stops withdrawn keys', async () => {
    const results = await Promise.all(
      listSettingsCells(1).map(async (cell) => runSettingsCell(cell)),
    );
    expect(results.filter(({ outcome }) => outcome === 'failed')).toEqual([]);
  });

  it.each(SETTINGS_GUARDS)('needs the guard %s', async (guard) => {
    const results = await Promise.all(
      listSettingsCells(1).map(async (cell) => runSettingsCell(cell, new Set([guard]))),
    );
    expect(results.filter(({ outcome }) => outcome === 'failed').length).toBeGreaterThan(0);
  });
});
