import {
  type InstanceRecord,
  type InstanceId,
  type FailureDomainId,
  toBrand,
} from '@heatherledge/core';
import { Agent, type Dispatcher, request } from 'undici';
import * as z from 'zod';
import {
  type PlatformCompare,
  type PlatformEvents,
  type PlatformOutcome,
  type PlatformPort,
  type PlatformPurpose,
  type PlatformRange,
  PlatformError,
  type PlatformWrite,
  type StoreHistoryId,
} from './platform-port.js';

const headerSchema = z.object({
  revision: z.coerce.number(),
  // Differs after the cluster was restored from a snapshot. A 64-bit number, sent as text.
  cluster_id: z.coerce.string().default(''),
});
const keySchema = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: z.coerce.number(),
});
const rangeSchema = z.object({ header: headerSchema, kvs: z.array(keySchema).default([]) });
const transactionSchema = z.object({ header: headerSchema, succeeded: z.boolean().default(false) });
const watchSchema = z.object({
  result: z.object({
    header: headerSchema,
    events: z.array(z.object({ type: z.string().optional(), kv: keySchema })).default([]),
  }),
});
const listSchema = z.object({ instances: z.array(z.unknown()) });
const instanceSchema = z.object({
  id: z.string().min(1),
  failureDomain: z.string(),
  host: z.string().min(1),
  peerPort: z.int().min(1).max(65_535),
  state: z.enum(['alive', 'leaving']),
});

/** The platform sends progress messages, so a watch without any message for this long is broken. */
const WATCH_IDLE_TIMEOUT_MS = 5000;

/** The platform's key-value service, accessed through etcd's JSON gateway over HTTP. */
export class EtcdPlatform implements PlatformPort {
  /** Number of calls so far by purpose; a watch counts as one call. */
  readonly calls = new Map<string, number>();

  private readonly agent = new Agent({ connections: 4, pipelining: 1 });

  /**
   * @param endpoint - base URL such as `http://127.0.0.1:2379`
   * @param timeoutMs - maximum wait for a response, in milliseconds
   */
  constructor(
    private readonly endpoint: string,
    private readonly timeoutMs: number,
  ) {}

  async readRange(
    prefix: string,
    exact: boolean,
    purpose: PlatformPurpose,
  ): Promise<PlatformRange> {
    const body = exact
      ? { key: encodeBase64(prefix) }
      : { key: encodeBase64(prefix), range_end: encodeBase64(computePrefixEnd(prefix)) };
    const response = rangeSchema.parse(await this.call('/v3/kv/range', body, purpose));
    return {
      history: decodeHistory(response.header),
      revision: response.header.revision,
      keys: response.kvs.map((kv) => ({
        key: decodeBase64(kv.key),
        value: decodeBase64(kv.value),
        modRevision: kv.mod_revision,
      })),
    };
  }

  async transact(
    compares: readonly PlatformCompare[],
    writes: readonly PlatformWrite[],
    purpose: PlatformPurpose,
  ): Promise<PlatformOutcome> {
    const body = {
      compare: compares.map(({ key, modRevision }) => ({
        key: encodeBase64(key),
        target: 'MOD',
        result: 'EQUAL',
        mod_revision: String(modRevision),
      })),
      success: writes.map(encodeWrite),
      failure: [],
    };
    const response = transactionSchema.parse(await this.call('/v3/kv/txn', body, purpose));
    const { header, succeeded } = response;
    return { history: decodeHistory(header), succeeded, revision: header.revision };
  }

  async watch(
    prefix: string,
    fromRevision: number,
    onEvents: (events: PlatformEvents) => void,
    signal: AbortSignal,
  ): Promise<void> {
    this.recordCall('watch');
    const createRequest = {
      key: encodeBase64(prefix),
      range_end: encodeBase64(computePrefixEnd(prefix)),
      start_revision: String(fromRevision),
      progress_notify: true,
    };
    try {
      const { body } = await request(`${this.endpoint}/v3/watch`, {
        method: 'POST',
        body: JSON.stringify({ create_request: createRequest }),
        dispatcher: this.agent,
        signal,
        headersTimeout: this.timeoutMs,
        bodyTimeout: WATCH_IDLE_TIMEOUT_MS,
      });
      await readEvents(body, onEvents);
    } catch {
      // The caller restarts a broken watch from the last revision that it received.
    }
  }

  async listInstances(): Promise<readonly InstanceRecord[]> {
    const response = listSchema.parse(await this.call('/instances', {}, 'list'));
    // An entry of another writer that names no instance does not hide the others.
    const records = response.instances.flatMap(
      (entry) => instanceSchema.safeParse(entry).data ?? [],
    );
    return records.map((record) => ({
      ...record,
      id: toBrand<InstanceId>(record.id),
      failureDomain: toBrand<FailureDomainId>(record.failureDomain),
      incarnation: 0,
    }));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private async call(path: string, body: unknown, purpose: PlatformPurpose): Promise<unknown> {
    this.recordCall(purpose);
    try {
      const response = await request(`${this.endpoint}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        dispatcher: this.agent,
        signal: AbortSignal.timeout(this.timeoutMs),
      });
      if (response.statusCode !== 200) throw new PlatformError(`status ${response.statusCode}`);
      return await response.body.json();
    } catch (error) {
      throw new PlatformError((error as Error).message);
    }
  }

  private recordCall(purpose: string): void {
    this.calls.set(purpose, (this.calls.get(purpose) ?? 0) + 1);
  }
}

async function readEvents(
  body: Dispatcher.ResponseData['body'],
  onEvents: (events: PlatformEvents) => void,
): Promise<void> {
  let incomplete = '';
  for await (const chunk of body) {
    incomplete += String(chunk);
    const lines = incomplete.split('\n');
    incomplete = lines.pop() ?? '';
    for (const line of lines) if (line !== '') handleWatchLine(line, onEvents);
  }
}

/** Passes the events of one message of a watch on, one call for each revision. */
function handleWatchLine(line: string, onEvents: (events: PlatformEvents) => void): void {
  const { events, header } = watchSchema.parse(JSON.parse(line)).result;
  const history = decodeHistory(header);
  const byRevision = new Map<number, PlatformWrite[]>();
  for (const { type, kv } of events) {
    const writes = byRevision.get(kv.mod_revision) ?? [];
    const value = type === 'DELETE' ? undefined : decodeBase64(kv.value);
    writes.push({ key: decodeBase64(kv.key), value });
    byRevision.set(kv.mod_revision, writes);
  }
  for (const [revision, writes] of byRevision) onEvents({ history, revision, writes });
}

function decodeHistory({ cluster_id: id }: z.infer<typeof headerSchema>): StoreHistoryId {
  return toBrand<StoreHistoryId>(id);
}

function encodeWrite({ key, value }: PlatformWrite): unknown {
  if (value === undefined) return { request_delete_range: { key: encodeBase64(key) } };
  return { request_put: { key: encodeBase64(key), value: encodeBase64(value) } };
}

/** @returns the first key after all keys that begin with the prefix */
function computePrefixEnd(prefix: string): string {
  const last = prefix.charCodeAt(prefix.length - 1);
  return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

function encodeBase64(text: string): string {
  return Buffer.from(text, 'utf8').toString('base64');
}

function decodeBase64(text: string): string {
  return Buffer.from(text, 'base64').toString('utf8');
}
