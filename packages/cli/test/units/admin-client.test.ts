import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { AdminClient, OutcomeUnknownError } from '../../src/index.js';

describe('AdminClient', () => {
  let server: Server;
  let client: AdminClient;

  beforeEach(async () => {
    server = createServer((request) => {
      request.resume();
      request.on('end', () => request.socket.destroy());
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = server.address() as AddressInfo;
    client = new AdminClient({ endpoint: `http://127.0.0.1:${port}`, token: undefined });
  });

  afterEach(() => server.close());

  /** Guards against a lost reply being reported as a change that was not made. */
  it('reports a change whose reply is lost as unknown', async () => {
    await expect(client.post('/v1/settings', {})).rejects.toBeInstanceOf(OutcomeUnknownError);
  });

  it('reports a change that was not sent as such', async () => {
    await new Promise((resolve) => {
      server.close(resolve);
    });
    const failure = await client.post('/v1/settings', {}).catch((error: unknown) => error);
    expect(failure).not.toBeInstanceOf(OutcomeUnknownError);
    expect(failure).toMatchObject({ code: 'ECONNREFUSED' });
  });
});
