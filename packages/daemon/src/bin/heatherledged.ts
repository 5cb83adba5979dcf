#!/usr/bin/env node
/** Runs the daemon: `heatherledged --settings FILE [--check]`. */
import { formatFinding } from '@heatherledge/core';
import { parseArgs } from 'node:util';
import { type Logger, pino } from 'pino';
import { ProxyInstance } from '../instance.js';
import { loadProcessSettings } from '../process-settings/load.js';
import type { ProcessSettings } from '../process-settings/schema.js';

const EXIT_CODE_INVALID_SETTINGS = 2;
const EXIT_CODE_START_FAILED = 1;

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

/** Reloads the certificates. If they cannot be read, the process keeps serving with the old ones. */
function reloadCertificates(instance: ProxyInstance, logger: Logger): void {
  try {
    instance.reloadCertificates();
    logger.info({ event: 'certificates-reloaded' }, 'certificates reloaded');
  } catch (error) {
    logger.error(
      { event: 'reload-failed', reason: (error as Error).message },
      'could not reload certificates; keeping the old ones',
    );
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
  process.on('SIGHUP', () => reloadCertificates(instance, logger));
  try {
    await instance.start();
  } catch (error) {
    logger.error({ event: 'start-failed', reason: (error as Error).message }, 'could not start');
    process.exit(EXIT_CODE_START_FAILED);
  }
}

if (values.help || values.settings === undefined) {
  printUsage();
  process.exitCode = values.help ? 0 : EXIT_CODE_INVALID_SETTINGS;
} else {
  const loaded = loadProcessSettings(values.settings, process.env);
  if (loaded.isErr()) {
    for (const finding of loaded.error) process.stderr.write(`${formatFinding(finding)}\n`);
    process.exitCode = EXIT_CODE_INVALID_SETTINGS;
  } else if (values.check) {
    process.stdout.write('settings are valid\n');
  } else {
    await run(loaded.value);
  }
}
