/** Measures the cost of the path: direct, through a plain relay, and through the proxy, in one run. */
import { connect, createServer, type Server } from 'node:net';
import { join } from 'node:path';
import { Caller, type CallerTarget } from '@heatherledge/lab';
import { LocalFleet } from './fleet/local-fleet.js';
import { sleep } from './fleet/sleep.js';

const GROUP = 'subscriptions-1';
const RELAY_PORT = 7950;
const CALLERS = 8;
const STATEMENTS = 3000;
const WARM_UP_MS = 4000;

/** Ways to the primary. */
type Way = 'direct' | 'relay' | 'proxy';
/** Kinds of statements. */
type Kind = 'read' | 'write';

const fleet = new LocalFleet(join('results', 'measure-path'));

/** Passes bytes on, and nothing else. */
function startRelay(port: number): Server {
  const server = createServer((caller) => {
    const member = connect({ host: '127.0.0.1', port, noDelay: true });
    caller.setNoDelay(true);
    caller.pipe(member).pipe(caller);
    for (const socket of [caller, member]) {
      socket.on('error', () => {
        caller.destroy();
        member.destroy();
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

async function runCaller(
  caller: Caller,
  first: number,
  kind: Kind,
  times: number[],
): Promise<void> {
  for (let number = 0; number < STATEMENTS / CALLERS; number += 1) {
    const id = first + number;
    const started = performance.now();
    const result =
      kind === 'read'
        ? await caller.run('SELECT n FROM path WHERE id = $1', [id])
        : await caller.run('INSERT INTO path VALUES ($1, $2)', [id, 1]);
    if (result.outcome === 'done') times.push(performance.now() - started);
  }
}

async function measure(way: Way, port: number, kind: Kind, base: number): Promise<object> {
  const callers = await Promise.all(
    Array.from({ length: CALLERS }, async () => Caller.connect(createTarget(port))),
  );
  const times: number[] = [];
  const started = performance.now();
  await Promise.all(
    callers.map(async (caller, index) => runCaller(caller, base + index * 10_000, kind, times)),
  );
  const seconds = (performance.now() - started) / 1000;
  await Promise.all(callers.map(async (caller) => caller.end()));
  times.sort((left, right) => left - right);
  const pick = (share: number): number =>
    Math.round((times[Math.floor(times.length * share)] ?? NaN) * 100) / 100;
  return {
    way,
    kind,
    perSecond: Math.round(times.length / seconds),
    medianMs: pick(0.5),
    p99Ms: pick(0.99),
    failed: STATEMENTS - times.length,
  };
}

async function run(): Promise<void> {
  await fleet.start();
  await sleep(WARM_UP_MS);
  const primary = await fleet.findPrimary(GROUP);
  const instance = fleet.instances[0];
  if (primary === undefined || instance === undefined) throw new Error('no primary');
  const setup = await Caller.connect(createTarget(instance.callerPort));
  await setup.run('CREATE TABLE path (id int PRIMARY KEY, n int)');
  await setup.end();
  const relay = startRelay(primary.port);
  const ways: readonly (readonly [Way, number])[] = [
    ['direct', primary.port],
    ['relay', RELAY_PORT],
    ['proxy', instance.callerPort],
  ];
  for (const kind of ['write', 'read'] as const) {
    for (const [index, [way, port]] of ways.entries()) {
      const report = await measure(way, port, kind, index * 1_000_000);
      process.stdout.write(`${JSON.stringify(report)}\n`);
    }
  }
  relay.close();
}

try {
  await run();
} finally {
  await fleet.end();
}
process.exit(0);
