import {
  ConfirmationTracker,
  type FleetSettings,
  type GroupId,
  type InstanceId,
  ManualClock,
  type MemberEntry,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerBody, PeerExchange, PeerHub } from '@heatherledge/daemon';
import { err, ok } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  encodeRecord,
  encodeResult,
  EventLog,
  FleetView,
  formatInstanceKey,
  GatewayMetrics,
  HostDirectory,
  createRefusal,
  type ErrorCode,
  MemberAccessRouter,
  type MemberAccess,
  type MemberRegistry,
  type RefusalReason,
  type StatementResult,
  type StoreEra,
  type StoreRevision,
} from '../../src/index.js';
import { EMPTY_REPLY } from '../fixtures/fake-connector.js';
import { createStatementRequest, MEMBER } from '../fixtures/hosting-pair.js';

const INSTANCES = ['i0', 'i1', 'i2', 'i3'].map((id) => toBrand<InstanceId>(id));
const ENTRY = { id: MEMBER, group: toBrand<GroupId>('g'), failureDomain: 'a' } as MemberEntry;
const GROUP = toBrand<GroupId>('g');
const SETTINGS: FleetSettings = {
  version: 1,
  routesByDatabase: new Map(),
  groups: new Map([[GROUP, { id: GROUP, maxConnections: 16, syncReplicas: 1 }]]),
  organisations: new Map(),
  organisationByKey: new Map(),
  transactionIdleMs: toMilliseconds(3000),
};
const SERVED: StatementResult = {
  kind: 'answered',
  reply: { ...EMPTY_REPLY, signature: 'sig' },
  sentAt: toMilliseconds(0),
};

describe('MemberAccessRouter', () => {
  let clock: ManualClock;
  let directory: HostDirectory;
  let view: FleetView;
  let router: MemberAccessRouter;
  let ownRefusal: ErrorCode | undefined;
  /** Instances that statements were sent to, in order; the own instance is `local`. */
  let calls: string[];
  /** For each statement in `calls`, whether it said that a host could not reach the member. */
  let reports: (boolean | undefined)[];
  let respond: (host: InstanceId) => StatementResult | PeerExchange;

  /** The host and the standby, seen by an instance that is neither. */
  let hosts: readonly InstanceId[];

  beforeEach(() => {
    clock = new ManualClock(1000);
    calls = [];
    reports = [];
    ownRefusal = undefined;
    respond = () => SERVED;
    const limit = toMilliseconds(1000);
    view = new FleetView(
      {
        settingsKey: 's',
        membersPrefix: 'm/',
        decodeSettings: () => ok(SETTINGS),
        decodeMember: () => err('none'),
      },
      new ConfirmationTracker({
        maxKeyedAgeMs: limit,
        maxPrimaryAgeMs: limit,
        maxReadyAgeMs: limit,
      }),
      new EventLog(clock),
      clock,
    );
    const revision = 1 as StoreRevision;
    const createItem = (key: string, value: Buffer) => ({
      key,
      value,
      revision,
      createdRevision: revision,
    });
    const record = encodeRecord({ host: 'h', peerPort: 1, domain: 'a', cores: 1 });
    const items = [
      createItem('s', Buffer.from('')),
      ...INSTANCES.map((id) => createItem(formatInstanceKey(id), record)),
    ];
    view.replace({ items, era: toBrand<StoreEra>(1) }, clock.now());
    hosts = new HostDirectory(INSTANCES[0] as InstanceId, view, clock).listHosts(ENTRY);
    const self = INSTANCES.find((id) => !hosts.includes(id)) as InstanceId;
    directory = new HostDirectory(self, view, clock);
    const hub = {
      handle() {},
      exchange: async (to: InstanceId, body: PeerBody): Promise<PeerExchange> => {
        calls.push(to);
        if (body.kind === 'statement.run') reports.push(body.wasUnreachable);
        if (body.kind === 'peer.ping') return { kind: 'lost', wasSent: true };
        const response = respond(to);
        if (response.kind === 'lost' && 'wasSent' in response && !('reason' in response)) {
          return response;
        }
        return { kind: 'answered', body: encodeResult(response as StatementResult, 0) };
      },
    } as unknown as PeerHub;
    const local: MemberAccess = {
      run: async ({ wasUnreachable }) => {
        calls.push('local');
        reports.push(wasUnreachable);
        return SERVED;
      },
      begin: async () => createRefusal('closed'),
    };
    const registry = {
      findEntry: () => ENTRY,
      findLoad: () => undefined,
      recordReply() {},
    } as unknown as MemberRegistry;
    const grantChecker = { findRefusal: () => ownRefusal };
    const log = new EventLog(clock);
    router = new MemberAccessRouter(
      self,
      hub,
      directory,
      local,
      registry,
      grantChecker,
      new GatewayMetrics(),
      clock,
      log,
    );
  });

  it('sends statements to the host of their member', async () => {
    expect((await router.run(createStatementRequest())).kind).toBe('answered');
    expect(calls).toEqual([hosts[0]]);
  });

  /**
   * Load pattern: the store was out of reach, and most instances have not confirmed their view since.
   * An instance that has serves its callers, although the hosts of its members cannot.
   */
  describe('while hosts know less of the store than this instance', () => {
    it.each<RefusalReason>(['stale-key', 'stale-primary', 'key', 'unreachable'])(
      'serves by itself what both hosts refuse as %s',
      async (reason) => {
        respond = () => createRefusal(reason);
        expect((await router.run(createStatementRequest())).kind).toBe('answered');
        expect(calls).toEqual([...hosts, 'local']);
        expect((await router.run(createStatementRequest())).kind).toBe('answered');
        expect(calls.slice(3)).toEqual(['local']);
      },
    );

    it('tries the hosts again after a while', async () => {
      respond = () => createRefusal('stale-key');
      await router.run(createStatementRequest());
      respond = () => SERVED;
      clock.advance(1100);
      await router.run(createStatementRequest());
      expect(calls.at(-1)).toBe(hosts[0]);
    });
  });

  // Guards against the full load on a member that restarted before the next host connected to it.
  it('tells the next host that the first one cannot reach the member', async () => {
    respond = () => createRefusal('unreachable');
    await router.run(createStatementRequest());
    expect(calls).toEqual([...hosts, 'local']);
    expect(reports).toEqual([undefined, true, true]);
  });

  // Guards against cold members at each standby that takes over from a host.
  it('does not report a host that cannot be reached itself, or refuses for another reason', async () => {
    respond = (host) =>
      host === hosts[0] ? { kind: 'lost', wasSent: false } : createRefusal('stale-key');
    await router.run(createStatementRequest());
    expect(calls).toEqual([...hosts, 'local']);
    expect(reports).toEqual([undefined, undefined, undefined]);
  });

  it('accepts the refusal of a key that this instance refuses, too', async () => {
    ownRefusal = 'key-rejected';
    respond = () => createRefusal('key', 'key-rejected');
    expect(await router.run(createStatementRequest())).toMatchObject({ code: 'key-rejected' });
    expect(calls).toEqual([hosts[0]]);
  });

  it('does not avoid the queue of an overloaded member by another host', async () => {
    respond = () => createRefusal('overloaded');
    expect(await router.run(createStatementRequest())).toMatchObject({ reason: 'overloaded' });
    expect(calls).toEqual([hosts[0]]);
  });

  describe('lost requests', () => {
    it('that may have run are not sent to another host', async () => {
      respond = () => ({ kind: 'lost', wasSent: true });
      expect(await router.run(createStatementRequest())).toMatchObject({ kind: 'lost' });
      expect(calls).toEqual([hosts[0]]);
    });

    it('that never left this instance are sent to the standby at once', async () => {
      respond = (host) => (host === hosts[0] ? { kind: 'lost', wasSent: false } : SERVED);
      expect((await router.run(createStatementRequest())).kind).toBe('answered');
      expect(calls).toEqual([...hosts]);
    });
  });

  it('serves by itself a request that is too large for the host, which goes on to serve others', async () => {
    respond = () => ({ kind: 'lost', wasSent: false, isTooLarge: true });
    expect((await router.run(createStatementRequest())).kind).toBe('answered');
    expect(calls).toEqual([hosts[0], 'local']);
    respond = () => SERVED;
    await router.run(createStatementRequest());
    expect(calls.slice(2)).toEqual([hosts[0]]);
  });

  it('lets the standby hold the connections of a host that does not answer, and no longer', () => {
    const [host, standby] = hosts as [InstanceId, InstanceId];
    const own = new HostDirectory(standby, view, clock);
    const usual = own.computeBudget(ENTRY).maxConnections;
    own.availability.recordFailure(host, clock.now());
    const acting = own.computeBudget(ENTRY).maxConnections;
    expect(acting).toBe(new HostDirectory(host, view, clock).computeBudget(ENTRY).maxConnections);
    expect(acting).toBeGreaterThan(usual);
    own.availability.recordHeard(host, clock.now());
    expect(own.computeBudget(ENTRY).maxConnections).toBe(usual);
  });

  it('sends nothing new to a host that has announced its stop', async () => {
    directory.availability.recordLeaving(hosts[0] as InstanceId, clock.now());
    await router.run(createStatementRequest());
    expect(calls).toEqual([hosts[1]]);
  });
});
