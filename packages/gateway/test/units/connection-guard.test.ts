import { once } from 'node:events';
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net';
import { MemoryBudget, toMilliseconds } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { ConnectionGuard, EventLog, GatewayMetrics } from '../../src/index.js';

const MAX_CONNECTIONS = 4;
const MAX_PER_ADDRESS = 3;
const WINDOW_MS = 500;
const OTHER_ADDRESS = '127.0.0.2';

/** Waits for the end of a connection, which may be a reset. */
async function waitForClose(socket: Socket): Promise<void> {
  if (socket.closed) return;
  await new Promise<void>((resolve) => {
    socket.once('close', () => resolve());
  });
}

describe('ConnectionGuard', () => {
  const metrics = new GatewayMetrics();
  const clock = { now: () => toMilliseconds(performance.now()) };
  const log = new EventLog(clock, { write: () => {} });
  let guard: ConnectionGuard;
  let server: Server;
  let accepted: Socket[];
  const sockets: Socket[] = [];

  beforeEach(async () => {
    const progress = { minBytesPerSecond: 100, windowMs: WINDOW_MS };
    const limits = {
      maxConnections: MAX_CONNECTIONS,
      maxPerAddress: MAX_PER_ADDRESS,
      progress,
    };
    guard = new ConnectionGuard(
      'callers',
      limits,
      { clock, log, metrics },
      new MemoryBudget(Infinity),
    );
    accepted = [];
    server = createServer((socket) => {
      socket.on('error', () => {});
      socket.resume();
      if (guard.admit(socket)) accepted.push(socket);
    });
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
  });

  afterEach(() => {
    guard.stop();
    for (const socket of sockets.splice(0)) socket.destroy();
    server.close();
  });

  async function open(localAddress = '127.0.0.1'): Promise<Socket> {
    const { port } = server.address() as AddressInfo;
    const socket = connect({ port, host: '127.0.0.1', localAddress });
    sockets.push(socket);
    socket.on('error', () => {});
    socket.resume();
    const count = accepted.length;
    const connected = new Promise<void>((resolve) => {
      socket.once('connect', () => resolve());
    });
    await Promise.race([connected, waitForClose(socket)]);
    // Kept or reset: the system accepts a connection before the guard decides on it.
    while (accepted.length === count && !socket.destroyed) {
      await new Promise((resolve) => {
        setTimeout(resolve, 2);
      });
    }
    return socket;
  }

  // Guards against accepting that does not resume after the limit was reached.
  it('refuses connections at the limit of an address, and accepts again when one has closed', async () => {
    for (let index = 0; index < MAX_PER_ADDRESS; index += 1) await open();
    for (const socket of accepted) guard.recordEstablished(socket, () => false);
    const refused = await open();
    expect(refused.destroyed).toBe(true);
    expect((await open(OTHER_ADDRESS)).destroyed).toBe(false);
    sockets[0]?.destroy();
    await waitForClose(accepted[0] as Socket);
    expect((await open()).destroyed).toBe(false);
  });

  // Guards against idle sessions that are closed as slow, and against crawling ones that stay.
  it('closes connections with incomplete messages that send nothing, and keeps idle sessions', async () => {
    const idle = await open();
    const silent = await open();
    const crawling = await open();
    const [idleEnd, , crawlingEnd] = accepted as [Socket, Socket, Socket];
    guard.recordEstablished(idleEnd, () => false);
    guard.recordEstablished(crawlingEnd, () => true);
    const timer = setInterval(() => crawling.write('x'), 100);
    await Promise.all([waitForClose(silent), waitForClose(crawling)]);
    clearInterval(timer);
    expect(idle.destroyed).toBe(false);
    const text = await metrics.registry.metrics();
    expect(text).toContain('connections_refused_total{side="callers",reason="slow"} 2');
    expect(text).toContain('connections_refused_total{side="callers",reason="limit"} 1');
  });
});
