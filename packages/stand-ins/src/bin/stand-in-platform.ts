#!/usr/bin/env node
/** The stand-in platform as a process: `stand-in-platform FILE`, where FILE holds its settings. */
import { readFileSync } from 'node:fs';
import {
  type ListedInstance,
  type PlatformConfig,
  PlatformServer,
} from '../platform/platform-server.js';

interface ProcessConfig extends PlatformConfig {
  readonly instances: readonly ListedInstance[];
  /** Keys that are in the store from the start. */
  readonly keys: Readonly<Record<string, string>>;
}

const config = JSON.parse(readFileSync(process.argv[2] ?? '', 'utf8')) as ProcessConfig;
const server = new PlatformServer(config);
const writes = Object.entries(config.keys).map(([key, value]) => ({
  kind: 'put' as const,
  key,
  value,
}));
server.store.transact([], writes, []);
server.setInstances(config.instances);
await server.start();
process.stdout.write(`${JSON.stringify({ event: 'ready', platform: config.port })}\n`);
