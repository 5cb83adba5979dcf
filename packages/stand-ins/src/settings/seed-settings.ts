import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import type { KeyValueStore } from '../platform/key-value-store.js';

const SETTINGS_PREFIX = '/heatherledge/settings/';
/** Key that every change of settings writes, which makes its revision the settings' revision. */
const HEAD_KEY = `${SETTINGS_PREFIX}.head`;

/** Operators' settings by path. */
export type SettingsByPath = Readonly<Record<string, unknown>>;

/**
 * Reads a file of operators' settings.
 *
 * @param file - path of a file in JSON with comments
 * @returns the settings by path
 */
export function readSettingsByPath(file: string): SettingsByPath {
  return parse(readFileSync(file, 'utf8')) as SettingsByPath;
}

/**
 * Writes operators' settings to the stand-in platform's store, as the platform's own tools do.
 *
 * @param store - store of the stand-in platform
 * @param settings - the settings by path
 */
export function seedSettings(store: KeyValueStore, settings: SettingsByPath): void {
  const writes = Object.entries(settings).map(([path, value]) => ({
    kind: 'put' as const,
    key: `${SETTINGS_PREFIX}${path}`,
    value: JSON.stringify(value),
  }));
  store.transact([], [...writes, { kind: 'put', key: HEAD_KEY, value: 'seed' }], []);
}
