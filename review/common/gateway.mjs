import { spawn } from 'node:child_process';
import { appendFileSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';

/** The command of deploy/system.toml, split at spaces. */
const COMMAND = [
  'node',
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  'target/heatherledge-gateway.cjs',
];
const READY_TIMEOUT_MS = 500;
/** The platform starts a process again after a short delay. */
const RESTART_DELAY_MS = 500;

/** Resolves after a time. */
export async function sleep(ms) {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Waits until a condition holds; returns whether it did in time. */
export async function waitUntil(check, waitMs, intervalMs = 50) {
  const deadline = Date.now() + waitMs;
  while (Date.now() < deadline) {
    if (await check()) return true;
    await sleep(intervalMs);
  }
  return false;
}

async function tryPort(host, port) {
  const server = createServer();
  const bound = await new Promise((resolve) => {
    server.once('error', () => resolve(undefined));
    server.listen(port, host, () => resolve(server.address().port));
  });
  if (bound !== undefined) await new Promise((resolve) => server.close(resolve));
  return bound;
}

/** Ports below those that the system gives to outgoing connections. */
const MIN_PORT = 12_000;
const MAX_PORT = 30_000;
const takenPorts = new Set();

/** Finds a free port whose successor is free as well. */
async function findPortPair(host) {
  for (;;) {
    const port = MIN_PORT + 2 * Math.floor((Math.random() * (MAX_PORT - MIN_PORT)) / 2);
    if (takenPorts.has(port)) continue;
    takenPorts.add(port);
    const isFree = (await tryPort(host, port)) !== undefined;
    if (isFree && (await tryPort(host, port + 1)) !== undefined) return port;
  }
}

/** One gateway process with the command of the deploy file; it is started again after an exit. */
export class Gateway {
  constructor({ name, host, zone, zones, storeAddress, promotionAddress, folder }) {
    Object.assign(this, { name, host, zone, zones, storeAddress, promotionAddress, folder });
    this.child = undefined;
    this.isStopped = false;
    /** Ends of the process that the test did not ask for. */
    this.ownEnds = [];
  }

  async prepare() {
    this.peerPort = await findPortPair(this.host);
    this.frontPort = await findPortPair(this.host);
    this.readyPort = await findPortPair(this.host);
    this.file = join(this.folder, `${this.name}.json`);
    const settings = {
      nodeName: this.name,
      role: 'gateway',
      machineClass: 'front',
      serves: ['front'],
      ip: this.host,
      zone: this.zone,
      region: 'r',
      zones: Object.fromEntries(this.zones.map((zone) => [zone, 'r'])),
      listenAddrs: {
        front: `${this.host}:${this.frontPort}`,
        readyAddr: `${this.host}:${this.readyPort}`,
      },
      portRange: [this.peerPort, this.peerPort + 15],
      limits: { cpuShare: 0.675, cpuCores: 1, memoryMb: 350, maxFds: 4200 },
      bounds: {
        drainMs: 7000,
        graceS: 6,
        configApplyMs: 3000,
        revokeMs: 5000,
        quotaWindowS: 5,
        quotaOvershoot: 0.1,
        quotaSlack: 20,
      },
      platform: { address: this.storeAddress },
      cloudApi: { address: this.promotionAddress },
    };
    writeFileSync(this.file, JSON.stringify(settings));
  }

  start() {
    const [program, ...args] = COMMAND;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: this.folder, HEATHERLEDGE_NODE_FILE: this.file },
    });
    const log = join(this.folder, `${this.name}.log`);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk) => appendFileSync(log, chunk));
    }
    this.child = child;
    child.once('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      if (this.isStopped || child.wasSignalled) return;
      this.ownEnds.push({ at: Date.now(), code, signal });
      this.restartTimer = setTimeout(() => this.start(), RESTART_DELAY_MS);
    });
  }

  /** Sends a signal; an end that follows from SIGKILL or SIGTERM is not the process's own. */
  signal(signal) {
    if (this.child === undefined) return;
    if (signal === 'SIGKILL' || signal === 'SIGTERM') this.child.wasSignalled = true;
    this.child.kill(signal);
  }

  stop() {
    this.isStopped = true;
    clearTimeout(this.restartTimer);
    this.child?.kill('SIGCONT');
    this.child?.kill('SIGKILL');
  }

  /** Whether the readiness endpoint answers with 200. */
  async isReady() {
    return new Promise((resolve) => {
      const probe = request(
        { host: this.host, port: this.readyPort, path: '/v1/ready', timeout: READY_TIMEOUT_MS },
        (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        },
      );
      probe.on('timeout', () => probe.destroy());
      probe.on('error', () => resolve(false));
      probe.end();
    });
  }
}
