#!/usr/bin/env node
/** Runs the embedded fleet: `embedded [FOLDER]`; FOLDER holds process.jsonc and settings.jsonc. */
import { join } from 'node:path';
import { formatFinding } from '@heatherledge/core';
import { pino } from 'pino';
import { readSettingsByPath } from '@heatherledge/stand-ins';
import { EmbeddedFleet } from '../embedded/embedded-fleet.js';
import { loadProcessSettings } from '../process-settings/load.js';

const folder = process.argv[2] ?? 'examples/embedded';
const loaded = loadProcessSettings(join(folder, 'process.jsonc'), process.env);
if (loaded.isErr()) {
  for (const finding of loaded.error) process.stderr.write(`${formatFinding(finding)}\n`);
  process.exit(2);
}
const config = loaded.value;
const { id: instance, failureDomain } = config.instance;
const logger = pino({ level: config.logs.level, base: { instance, failureDomain } });
const fleet = new EmbeddedFleet(config, readSettingsByPath(join(folder, 'settings.jsonc')), logger);
const stop = (): void => {
  void fleet.stop().then(() => process.exit(0));
};
process.on('SIGTERM', stop);
process.on('SIGINT', stop);
try {
  await fleet.start();
} catch (error) {
  logger.error({ event: 'start-failed', reason: (error as Error).message }, 'could not start');
  process.exit(1);
}
