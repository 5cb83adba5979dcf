import { execFileSync } from 'node:child_process';
import { join } from 'node:path';
import { RUNTIME_FLAGS } from '../../platform/test/soak/gateway-process.js';

/** Bundles the gateway once for all tests that run it as a process. */
export default function bundleGateway(): void {
  execFileSync(process.execPath, [...RUNTIME_FLAGS, join('scripts', 'bundle.mjs')]);
}
