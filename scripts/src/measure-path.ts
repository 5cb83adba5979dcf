/**
 * Measures the throughput and latency of statements that go to the primary directly, through a TCP
 * relay and through the proxy, in one run. Prints one JSON line for each path and statement kind.
 */
import { connect, createServer, type Server } from 'node:net';
import { join } from 'node:path';
import { Caller, type CallerTarget } from '@heatherledge/lab';
import { LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const GROUP = 'subscriptions-1';
const RELAY_PORT = 7950;
const CALLER_COUNT = 8;
const STATEMENT_COUNT = 3000;
const WARM_UP_MS = 4000;

/** Paths to the primary; printed in the field `way`. */
type RequestPath = 'direct' | 'relay' | 'proxy';
type StatementKind = 'read' | 'write';

const fleet = new LocalFleet(join('results', 'measure-path'));

/** Starts a TCP relay that forwards bytes unchanged, as the baseline for the proxy. */
function startRelay(port: number): Server {
  const server = createServer((callerSocket) => {
    const memberSocket = connect({ host: '127.0.0.1', port, noDelay: true });
    callerSocket.setNoDelay(true);
    callerSocket.pipe(memberSocket).pipe(callerSocket);
    for (const socket of [callerSocket, memberSocket]) {
      socket.on('error', () => {
        callerSocket.destroy();
        memberSocket.destroy();
      });
    }
  });
  server.listen(RELAY_PORT, '127.0.0.1');
  return server;
}

function createTarget(port: number): CallerTarget {
  const [user, password] = ['organisation-a', 'example-key-a'];
  return { host: '127.0.0.1', port, user, password, database: 'subscriptions' };
}

async function runStatements(
  caller: Caller,
  firstId: number,
  kind: StatementKind,
  latenciesMs: number[],
): Promise<void> {
  for (let number = 0; number < STATEMENT_COUNT / CALLER_COUNT; number += 1) {
    const id = firstId + number;
    const started = performance.now();
    const result =
      kind === 'read'
        ? await caller.run('SELECT n FROM path WHERE id = $1', [id])
        : await caller.run('INSERT INTO path VALUES ($1, $2)', [id, 1]);
    if (result.outcome === 'done') latenciesMs.push(performance.now() - started);
  }
}

async function measurePath(
  path: RequestPath,
  port: number,
  kind: StatementKind,
  firstId: number,
): Promise<object> {
  const callers = await Promise.all(
    Array.from({ length: CALLER_COUNT }, async () => Caller.connect(createTarget(port))),
  );
  const latenciesMs: number[] = [];
  const started = performance.now();
  await Promise.all(
    callers.map(async (caller, index) =>
      runStatements(caller, firstId + index * 10_000, kind, latenciesMs),
    ),
  );
  const seconds = (performance.now() - started) / 1000;
  await Promise.all(callers.map(async (caller) => caller.end()));
  latenciesMs.sort((left, right) => left - right);
  const getPercentile = (share: number): number =>
    Math.round((latenciesMs[Math.floor(latenciesMs.length * share)] ?? NaN) * 100) / 100;
  return {
    way: path,
    kind,
    perSecond: Math.round(latenciesMs.length / seconds),
    medianMs: getPercentile(0.5),
    p99Ms: getPercentile(0.99),
    failed: STATEMENT_COUNT - latenciesMs.length,
  };
}

async function run(): Promise<void> {
  await fleet.start();
  await sleep(WARM_UP_MS);
  const primary = await fleet.findPrimary(GROUP);
  const instance = fleet.instances[0];
  if (primary === undefined || instance === undefined) throw new Error('fleet has no primary');
  const setupCaller = await Caller.connect(createTarget(instance.callerPort));
  await setupCaller.run('CREATE TABLE path (id int PRIMARY KEY, n int)');
  await setupCaller.end();
  const relay = startRelay(primary.port);
  const paths: readonly (readonly [RequestPath, number])[] = [
    ['direct', primary.port],
    ['relay', RELAY_PORT],
    ['proxy', instance.callerPort],
  ];
  for (const kind of ['write', 'read'] as const) {
    for (const [index, [path, port]] of paths.entries()) {
      const report = await measurePath(path, port, kind, index * 1_000_000);
      process.stdout.write(`${JSON.stringify(report)}\n`);
    }
  }
  relay.close();
}

try {
  await run();
} finally {
  await fleet.killAll();
}
process.exit(0);
