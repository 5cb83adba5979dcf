import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import {
  KeyValueStore,
  type StoreCompare,
  type StoredKey,
  type StoreEvent,
  type StoreOperation,
  type StoreSnapshot,
  MAX_VALUE_BYTES,
} from './key-value-store.js';

/** Faults that tests inject; set over HTTP under the fields' names. */
export interface PlatformFaults {
  /** Connections are closed without a response. */
  down: boolean;
  /** Delay of each response, in milliseconds. */
  slowMs: number;
  /** Transactions take effect, but the connection is closed without a response. */
  loseAnswers: boolean;
}

/** An instance as the platform lists it. */
export interface ListedInstance {
  readonly id: string;
  readonly failureDomain: string;
  readonly host: string;
  readonly peerPort: number;
  readonly state: 'alive' | 'leaving';
}

/** Settings of the stand-in platform. */
export interface PlatformConfig {
  readonly host: string;
  readonly port: number;
  /** Delay between a change of the list of instances and its visibility, in milliseconds. */
  readonly listLagMs: number;
}

type Json = Record<string, any>;

/** Interval of progress notifications on an open watch. */
const WATCH_PROGRESS_INTERVAL_MS = 1000;

/** The stand-in platform: etcd's JSON gateway, a list of instances, and fault injection. */
export class PlatformServer {
  readonly store = new KeyValueStore();

  readonly faults: PlatformFaults = { down: false, slowMs: 0, loseAnswers: false };

  /** Number of requests by path, without those to `/stand-in/`. */
  readonly calls = new Map<string, number>();

  private instances: readonly ListedInstance[] = [];

  private readonly server: Server;

  private readonly watches = new Set<ServerResponse>();

  /** @param config - address and lag */
  constructor(private readonly config: PlatformConfig) {
    this.server = createServer((request, response) => {
      void this.handleRequest(request, response);
    });
  }

  /** Listens on the configured address. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(this.config.port, this.config.host, resolve);
    });
  }

  /** Stops listening and closes all connections at once. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /**
   * Sets faults; `down` also closes open watches.
   *
   * @param faults - faults to change; the others stay as they are
   */
  setFaults(faults: Partial<PlatformFaults>): void {
    Object.assign(this.faults, faults);
    if (!this.faults.down) return;
    for (const watch of this.watches) watch.destroy();
    this.watches.clear();
  }

  /**
   * Restores the store from a snapshot and closes all watches.
   *
   * @param snapshot - earlier contents of the store
   */
  restore(snapshot: StoreSnapshot): void {
    this.store.restore(snapshot);
    for (const watch of this.watches) watch.destroy();
    this.watches.clear();
  }

  /**
   * Replaces the list of instances, which becomes visible after `listLagMs`.
   *
   * @param instances - instances that are alive or leaving
   */
  setInstances(instances: readonly ListedInstance[]): void {
    setTimeout(() => {
      this.instances = instances;
    }, this.config.listLagMs).unref();
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const path = request.url ?? '/';
    const body = await readBody(request);
    if (path === '/stand-in/faults') {
      this.setFaults(body);
      response.end('{}');
      return;
    }
    if (path === '/stand-in/calls') {
      response.end(JSON.stringify(Object.fromEntries(this.calls)));
      return;
    }
    if (path === '/stand-in/instances') {
      this.setInstances(body.instances);
      response.end('{}');
      return;
    }
    this.calls.set(path, (this.calls.get(path) ?? 0) + 1);
    if (this.faults.down) {
      request.socket.destroy();
      return;
    }
    if (this.faults.slowMs > 0) await delay(this.faults.slowMs);
    this.route(path, body, request, response);
  }

  private route(
    path: string,
    body: Json,
    request: IncomingMessage,
    response: ServerResponse,
  ): void {
    if (path === '/v3/watch') {
      this.watch(body.create_request, response);
      return;
    }
    const responseBody = this.createResponseBody(path, body);
    if (this.faults.loseAnswers && path === '/v3/kv/txn') {
      request.socket.destroy();
      return;
    }
    response.statusCode = responseBody === undefined ? 404 : 200;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(responseBody ?? { error: 'no such path' }));
  }

  private createResponseBody(path: string, body: Json): Json | undefined {
    if (path === '/v3/kv/range') return this.range(body);
    if (path === '/v3/kv/txn') return this.transact(body);
    if (path === '/v3/maintenance/status') return this.createHeader();
    if (path === '/instances') return { instances: this.instances };
    return undefined;
  }

  private createHeader(): Json {
    const { clusterId, revision } = this.store;
    return { header: { cluster_id: clusterId, revision: String(revision) } };
  }

  private range(body: Json): Json {
    const kvs = this.store.range(decode(body.key), body.range_end && decode(body.range_end));
    return { ...this.createHeader(), kvs: kvs.map(encodeKey), count: String(kvs.length) };
  }

  private transact(body: Json): Json {
    const compares = (body.compare ?? []).map((item: Json): StoreCompare => ({
      key: decode(item.key),
      modRevision: Number(item.mod_revision ?? 0),
    }));
    const success = (body.success ?? []).map(decodeOperation) as StoreOperation[];
    const failure = (body.failure ?? []).map(decodeOperation) as StoreOperation[];
    if (
      success.some(
        (operation) => operation.kind === 'put' && operation.value.length > MAX_VALUE_BYTES,
      )
    ) {
      return { error: 'value too large', code: 3 };
    }
    const result = this.store.transact(compares, success, failure);
    return {
      header: { cluster_id: this.store.clusterId, revision: String(result.revision) },
      succeeded: result.succeeded,
      responses: result.ranges.map((kvs) => ({ response_range: { kvs: kvs.map(encodeKey) } })),
    };
  }

  private watch(request: Json, response: ServerResponse): void {
    const [key, end] = [decode(request.key), decode(request.range_end)];
    const isWatched = (event: StoreEvent): boolean => event.key >= key && event.key < end;
    const send = (result: Json): void => {
      response.write(`${JSON.stringify({ result: { ...this.createHeader(), ...result } })}\n`);
    };
    const sendEvents = (events: readonly StoreEvent[]): void => {
      const watched = events.filter(isWatched);
      if (watched.length > 0) send({ events: watched.map(encodeEvent) });
    };
    this.watches.add(response);
    send({ created: true });
    sendEvents(this.store.getEventsFrom(Number(request.start_revision ?? this.store.revision + 1)));
    const stopWatch = this.store.watch(sendEvents);
    const timer = setInterval(() => send({}), WATCH_PROGRESS_INTERVAL_MS);
    response.on('close', () => {
      clearInterval(timer);
      stopWatch();
      this.watches.delete(response);
    });
  }
}

function decodeOperation(item: Json): StoreOperation {
  if (item.request_put) {
    return {
      kind: 'put',
      key: decode(item.request_put.key),
      value: decode(item.request_put.value),
    };
  }
  if (item.request_delete_range) {
    return { kind: 'delete', key: decode(item.request_delete_range.key) };
  }
  const { key, range_end: end } = item.request_range;
  return { kind: 'range', key: decode(key), rangeEnd: end && decode(end) };
}

function encodeKey(stored: StoredKey): Json {
  return {
    key: encode(stored.key),
    value: encode(stored.value),
    create_revision: String(stored.createRevision),
    mod_revision: String(stored.modRevision),
    version: String(stored.version),
  };
}

function encodeEvent(event: StoreEvent): Json {
  const kv = {
    key: encode(event.key),
    value: encode(event.value),
    mod_revision: String(event.modRevision),
  };
  return event.type === 'PUT' ? { kv } : { type: 'DELETE', kv };
}

function encode(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decode(text: string): string {
  return Buffer.from(text ?? '', 'base64').toString('utf8');
}

async function readBody(request: IncomingMessage): Promise<Json> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString('utf8');
  return text === '' ? {} : (JSON.parse(text) as Json);
}

async function delay(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
