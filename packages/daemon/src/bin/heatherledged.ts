#!/usr/bin/env node
/** The daemon: `heatherledged --settings FILE [--check]`. */
import { formatFinding } from '@heatherledge/core';
import { parseArgs } from 'node:util';
import { type Logger, pino } from 'pino';
import { ProxyInstance } from '../instance.js';
import { loadProcessSettings } from '../process-settings/load.js';
import type { ProcessSettings } from '../process-settings/schema.js';

const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;

const { values } = parseArgs({
  options: {
    settings: { type: 'string', short: 's' },
    check: { type: 'boolean', default: false },
    help: { type: 'boolean', short: 'h', default: false },
  },
});

function printUsage(): void {
  process.stdout.write('usage: heatherledged --settings FILE [--check]\n');
}

/** A certificate that cannot be read must not end a process that serves with the old one. */
function reload(instance: ProxyInstance, logger: Logger): void {
  try {
    instance.reloadCertificates();
    logger.info({ event: 'certificates-reloaded' }, 'certificates reloaded');
  } catch (error) {
    logger.error({ event: 'reload-failed', reason: (error as Error).message }, 'reload failed');
  }
}

async function run(settings: ProcessSettings): Promise<void> {
  const logger = pino({
    level: settings.logs.level,
    base: { instance: settings.instance.id, failureDomain: settings.instance.failureDomain },
  });
  const instance = new ProxyInstance(settings, logger);
  const stop = (): void => {
    void instance.stop().then(() => process.exit(0));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('SIGHUP', () => reload(instance, logger));
  try {
    await instance.start();
  } catch (error) {
    logger.error({ event: 'start-failed', reason: (error as Error).message }, 'could not start');
    process.exit(EXIT_FAILED);
  }
}

if (values.help || values.settings === undefined) {
  printUsage();
  process.exitCode = values.help ? 0 : EXIT_BAD_SETTINGS;
} else {
  const loaded = loadProcessSettings(values.settings, process.env);
  if (loaded.isErr()) {
    for (const finding of loaded.error) process.stderr.write(`${formatFinding(finding)}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
  } else if (values.check) {
    process.stdout.write('settings are valid\n');
  } else {
    await run(loaded.value);
  }
}
