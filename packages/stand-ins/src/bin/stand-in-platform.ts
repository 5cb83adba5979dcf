#!/usr/bin/env node
/** Runs the stand-in platform: `stand-in-platform PORT SETTINGS_FILE`. */
import { PlatformServer } from '../platform/platform-server.js';
import { readSettingsByPath, seedSettings } from '../settings/seed-settings.js';

const HOST = '127.0.0.1';
/** Delay until a change of the list of instances is visible to readers of the list. */
const INSTANCE_LIST_DELAY_MS = 2000;

const [port = '', file = ''] = process.argv.slice(2);
const server = new PlatformServer({
  host: HOST,
  port: Number(port),
  listLagMs: INSTANCE_LIST_DELAY_MS,
});
seedSettings(server.store, readSettingsByPath(file));
await server.start();
process.stdout.write(`${JSON.stringify({ event: 'ready', platform: Number(port) })}\n`);
