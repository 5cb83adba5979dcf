import { listSettingsCells, runSettingsCell, SETTINGS_GUARDS } from '@heatherledge/lab';
import { describe, expect, it } from 'vitest';

describe('fault matrix of settings and keys', () => {
  it('keeps accepted changes, never reverts to an older revision and withdraws keys in time', async () => {
    const results = await Promise.all(
      listSettingsCells(1).map(async (cell) => runSettingsCell(cell)),
    );
    expect(results.filter(({ outcome }) => outcome === 'failed')).toEqual([]);
  });

  it.each(SETTINGS_GUARDS)('detects that the guard %s is disabled', async (guard) => {
    const results = await Promise.all(
      listSettingsCells(1).map(async (cell) => runSettingsCell(cell, new Set([guard]))),
    );
    expect(results.filter(({ outcome }) => outcome === 'failed').length).toBeGreaterThan(0);
  });
});
