/** Puts operators' settings into the stand-in platform, as a platform's own tools would. */
import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import type { KeyValueStore } from '../platform/key-value-store.js';

const SETTINGS_PREFIX = '/heatherledge/settings/';
const HEAD_KEY = `${SETTINGS_PREFIX}.head`;

/** Operators' settings: values by path. */
export type PlannedSettings = Readonly<Record<string, unknown>>;

/**
 * @param file - a file of operators' settings in JSON with comments
 * @returns paths and values
 */
export function readPlannedSettings(file: string): PlannedSettings {
  return parse(readFileSync(file, 'utf8')) as PlannedSettings;
}

/**
 * @param store - store of the stand-in platform
 * @param settings - paths and values
 */
export function seedSettings(store: KeyValueStore, settings: PlannedSettings): void {
  const writes = Object.entries(settings).map(([path, value]) => ({
    kind: 'put' as const,
    key: `${SETTINGS_PREFIX}${path}`,
    value: JSON.stringify(value),
  }));
  store.transact([], [...writes, { kind: 'put', key: HEAD_KEY, value: 'seed' }], []);
}
