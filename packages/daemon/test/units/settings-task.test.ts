import {
  type InstanceId,
  type InstanceRecord,
  ManualClock,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type PeerBody,
  type PeerExchange,
  type PeerHub,
  type PlatformPort,
  SettingsStore,
  SettingsTask,
  type StoreHistoryId,
} from '../../src/index.js';

const SELF = createInstance('self');
const WRITERS = ['w1', 'w2'].map((id) => toBrand<InstanceId>(id));
const HEAD = { key: '/heatherledge/settings/.head', value: 'x', modRevision: 7 };
const WRITERS_ENTRY = {
  key: '/heatherledge/settings/internal/writers',
  value: JSON.stringify({ instances: WRITERS }),
  modRevision: 7,
};
const CHANGE = { changeId: 'c1', author: 'test', changes: [{ path: 'teams/t/keys/k' }] };
const ACCEPTED: PeerBody = {
  kind: 'settings.written',
  outcome: 'accepted',
  revision: 8,
  findings: [],
};

function createInstance(name: string): InstanceRecord {
  return { id: name, failureDomain: 'd', host: 'h', peerPort: 1 } as InstanceRecord;
}

const HISTORY = toBrand<StoreHistoryId>('');
const PLATFORM: PlatformPort = {
  readRange: async (prefix, exact) => ({
    history: HISTORY,
    revision: 7,
    keys: exact && prefix !== HEAD.key ? [] : [HEAD, WRITERS_ENTRY],
  }),
  transact: async () => ({ history: HISTORY, succeeded: false, revision: 7 }),
  watch: async (_prefix, _from, _onEvents, signal) =>
    new Promise((resolve) => {
      signal.addEventListener('abort', () => resolve());
    }),
  listInstances: async () => [],
};

describe('a change of settings through a writer', () => {
  let task: SettingsTask;
  let outcomes: PeerExchange[];
  let asked: InstanceId[];

  beforeEach(async () => {
    vi.useFakeTimers();
    asked = [];
    const hub = {
      handle() {},
      send() {},
      exchange: async (to: InstanceId, body: PeerBody): Promise<PeerExchange> => {
        if (body.kind !== 'settings.write') return { kind: 'lost', wasSent: false };
        asked.push(to);
        return outcomes.shift() ?? { kind: 'lost', wasSent: true };
      },
      async request(to: InstanceId, body: PeerBody): Promise<PeerBody | undefined> {
        const exchange = await hub.exchange(to, body);
        return exchange.kind === 'answered' ? exchange.body : undefined;
      },
    };
    task = new SettingsTask(
      SELF,
      new SettingsStore(PLATFORM),
      hub as unknown as PeerHub,
      new ManualClock(),
      { limitMs: toMilliseconds(5000), policy: 'refuse' },
      { onSettings() {} },
    );
    task.updateInstances([SELF]);
    await vi.advanceTimersByTimeAsync(10);
    expect(task.writers).toEqual(new Set(WRITERS));
  });

  afterEach(() => {
    task.stop();
    vi.useRealTimers();
  });

  it('is sent to another writer if the first one has no process', async () => {
    outcomes = [
      { kind: 'lost', wasSent: false },
      { kind: 'answered', body: ACCEPTED },
    ];
    expect(await task.applyChange(CHANGE)).toMatchObject({ kind: 'accepted', revision: 8 });
    expect(new Set(asked)).toEqual(new Set(WRITERS));
  });

  it('is looked up at another writer if the response of the first one is lost', async () => {
    outcomes = [
      { kind: 'lost', wasSent: true },
      { kind: 'answered', body: ACCEPTED },
    ];
    expect(await task.applyChange(CHANGE)).toMatchObject({ kind: 'accepted' });
  });

  it('stays unknown if it was sent once and no writer has found it accepted', async () => {
    outcomes = [
      { kind: 'lost', wasSent: true },
      { kind: 'answered', body: { ...ACCEPTED, outcome: 'unavailable' } },
    ];
    expect((await task.applyChange(CHANGE)).kind).toBe('unknown');
  });

  it('is unavailable if no writer has a process', async () => {
    outcomes = [
      { kind: 'lost', wasSent: false },
      { kind: 'lost', wasSent: false },
    ];
    expect((await task.applyChange(CHANGE)).kind).toBe('unavailable');
  });
});
