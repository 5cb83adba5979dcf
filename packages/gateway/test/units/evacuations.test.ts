import {
  ConfirmationTracker,
  type InstanceId,
  ManualClock,
  type MemberId,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  encodeRecord,
  EventLog,
  FleetView,
  formatPrimaryKey,
  GatewayMetrics,
  type GatewaySettings,
  HostDirectory,
  MemberRegistry,
  type StoreEra,
  type StoreItem,
  type StoreRevision,
} from '../../src/index.js';
import { EVACUATION_DIRECTORY, formatRequestKey, GROUP } from '../fixtures/evacuation-directory.js';
import { FakeConnector } from '../fixtures/fake-connector.js';

const SELF = toBrand<InstanceId>('i0');
const ERA = toBrand<StoreEra>(1);
const NEXT_ERA = toBrand<StoreEra>(2);
const MEMBERS = ['a1', 'b1', 'c1'];
const PRIMARY = toBrand<MemberId>('a1');
const MAX_DELAY_MS = toMilliseconds(5000);

function createItem(key: string, value: Buffer | string = '{}', revision = 1): StoreItem {
  const storeRevision = revision as StoreRevision;
  return {
    key,
    value: Buffer.from(value),
    revision: storeRevision,
    createdRevision: storeRevision,
  };
}

describe('evacuated failure domains', () => {
  let clock: ManualClock;
  let lines: { event: string; key?: string; domain?: string; revision?: number }[];
  let view: FleetView;
  let registry: MemberRegistry;
  let metrics: GatewayMetrics;

  beforeEach(() => {
    clock = new ManualClock(100_000);
    lines = [];
    const log = new EventLog(clock, { write: (line) => lines.push(JSON.parse(line)) });
    const limit = toMilliseconds(60_000);
    const confirmation = new ConfirmationTracker({
      maxKeyedAgeMs: limit,
      maxPrimaryAgeMs: limit,
      maxReadyAgeMs: limit,
    });
    view = new FleetView(EVACUATION_DIRECTORY, confirmation, log, clock, MAX_DELAY_MS);
    metrics = new GatewayMetrics();
    const settings = {
      failureDomain: 'a',
      regionByDomain: new Map(),
    } as unknown as GatewaySettings;
    registry = new MemberRegistry(
      settings,
      view,
      new FakeConnector(),
      new HostDirectory(SELF, view, clock),
      clock,
      metrics,
      log,
    );
  });

  /** Loads a listing of the store with the requests of the named domains. */
  function load(domains: readonly string[], era = ERA): void {
    const primary = { epoch: 1, member: PRIMARY, holders: [] };
    const items = [
      ...domains.map((domain) => createItem(formatRequestKey(domain), '{}', 7)),
      ...MEMBERS.map((id) => createItem(`members/${id}`)),
      createItem('settings', '1'),
      createItem(formatPrimaryKey(GROUP), encodeRecord(primary)),
    ];
    view.replace({ items, era }, clock.now());
    view.confirmation.confirm(clock.now());
  }

  function request(domain: string, revision = 7): void {
    const item = createItem(formatRequestKey(domain), '{}', revision);
    view.apply([{ kind: 'written', item }], ERA);
  }

  function withdraw(domain: string): void {
    view.apply([{ kind: 'deleted', key: formatRequestKey(domain) }], ERA);
  }

  const listReaders = (): string[] => registry.listReaders(GROUP, 1).map(({ id }) => id);
  const listDomains = (): string[] => [...view.evacuatedDomains.keys()].sort();
  const listEvents = (event: string) => lines.filter((line) => line.event === event);

  function findRefusal(member: string) {
    return registry.evacuationGuard.findRefusal({ member: toBrand(member), access: 'read' });
  }

  // Guards against reads that are sent to replicas of the domain after the request.
  it('lose their replicas at once, and get them back at the end', () => {
    load([]);
    expect(listReaders()).toEqual(['a1', 'b1', 'c1']);
    request('b');
    expect(listReaders()).toEqual(['a1', 'c1']);
    expect(findRefusal('b1')).toMatchObject({ reason: 'closed', code: 'busy' });
    expect(findRefusal('c1')).toBeUndefined();
    withdraw('b');
    expect(listReaders()).toEqual(['a1', 'b1', 'c1']);
    expect(listEvents('evacuation.started')).toMatchObject([{ domain: 'b', revision: 7 }]);
    expect(listEvents('evacuation.ended')).toMatchObject([{ domain: 'b', revision: 7 }]);
  });

  // Guards against a primary that is used beyond its window, and against its loss before that.
  it('keep their primary for its window, as the last choice for reads', () => {
    load([]);
    request('a');
    expect(registry.listReaders(GROUP, 1)[0]).toMatchObject({ id: 'a1', isDraining: true });
    clock.advance(1999);
    expect(findRefusal('a1')).toBeUndefined();
    clock.advance(1);
    expect(listReaders()).toEqual(['b1', 'c1']);
    expect(findRefusal('a1')).toMatchObject({ code: 'busy' });
  });

  // Guards against a second request that replaces the first, and against a withdrawal of both.
  it('are the union of all requests', () => {
    load([]);
    request('b');
    request('c', 8);
    expect(listReaders()).toEqual(['a1']);
    withdraw('b');
    expect(listReaders()).toEqual(['a1', 'b1']);
  });

  // Guards against a process that uses the primary anew after each start.
  it('have no window at an instance that starts while the request stands', () => {
    load(['a']);
    expect(listReaders()).toEqual(['b1', 'c1']);
    expect(findRefusal('a1')).toMatchObject({ code: 'busy' });
  });

  // Guards against a window that begins again when a watch repeats what a check has shown before.
  it('keep their window if the watch repeats earlier changes', () => {
    load([]);
    request('a', 9);
    clock.advance(1500);
    view.apply(
      [
        { kind: 'written', item: createItem(formatRequestKey('a'), '{}', 7) },
        { kind: 'deleted', key: formatRequestKey('a') },
        { kind: 'written', item: createItem(formatRequestKey('a'), '{}', 9) },
      ],
      ERA,
    );
    clock.advance(500);
    expect(findRefusal('a1')).toMatchObject({ code: 'busy' });
  });

  describe('in a store that has returned from an older copy', () => {
    // Guards against members that are used again before the operators have written the request again.
    it('stay evacuated for 10 s without the request', () => {
      load([]);
      request('b');
      load([], NEXT_ERA);
      clock.advance(9999);
      view.removeMissing(clock.now());
      expect(listReaders()).toEqual(['a1', 'c1']);
      expect(view.findEvacuationEnd('b')).toBeUndefined();
      clock.advance(1);
      view.removeMissing(clock.now());
      expect(listReaders()).toEqual(['a1', 'b1', 'c1']);
      expect(view.findEvacuationEnd('b')).toBe(clock.now());
    });

    // Guards against checks that never hold, as they expect the request that the store has lost.
    it('are expected to be absent until they are written again', () => {
      load(['b']);
      load([], NEXT_ERA);
      const findRevision = () =>
        view.listExpectations(SELF).find(({ key }) => key === formatRequestKey('b'))?.revision;
      expect(findRevision()).toBe(0);
      const item = createItem(formatRequestKey('b'), '{}', 3);
      view.apply([{ kind: 'written', item }], NEXT_ERA);
      expect(findRevision()).toBe(3);
      clock.advance(20_000);
      view.removeMissing(clock.now());
      expect(listDomains()).toEqual(['b']);
    });
  });

  // Guards against a request that is forgotten because a listing of the same era is taken for a return.
  it('end with a listing of the same era that lacks the request', () => {
    load(['b']);
    clock.advance(50);
    load([]);
    expect(listDomains()).toEqual([]);
    expect(view.findEvacuationEnd('b')).toBe(clock.now());
  });

  // Guards against an instance with a stalled watch that does not learn of a request.
  it('are part of each check, for the domains of members', () => {
    load(['b', 'unknown']);
    const requests = view.listExpectations(SELF).filter(({ key }) => key.startsWith('requests/'));
    expect(requests).toEqual([
      { key: 'requests/a', revision: 0 },
      { key: 'requests/b', revision: 7 },
      { key: 'requests/c', revision: 0 },
    ]);
  });

  // Guards against a check that the store refuses, as a member names a domain that makes no key.
  it.each(['', 'x'.repeat(101), '\ud800'])('leave the odd domain %j out of checks', (domain) => {
    load([]);
    view.apply([{ kind: 'written', item: createItem(`members/${domain}1`) }], ERA);
    const requests = view.listExpectations(SELF).filter(({ key }) => key.startsWith('requests/'));
    expect(requests.map(({ key }) => key)).toEqual(['requests/a', 'requests/b', 'requests/c']);
  });

  describe('named by odd keys', () => {
    // Guards against one odd request that hides the others, and against one that is not reported.
    it.each([
      ['', 'evacuation.unreadable'],
      ['x'.repeat(101), 'evacuation.unreadable'],
      ['nowhere', 'evacuation.unknown'],
      ['b/../b', 'evacuation.unknown'],
      ['\n\u0000', 'evacuation.unknown'],
    ])('%j are named in a warning', (domain, event) => {
      load([domain, 'b']);
      expect(listReaders()).toEqual(['a1', 'c1']);
      expect(listEvents(event)).toMatchObject([{ key: formatRequestKey(domain) }]);
    });

    // Guards against memory that grows with the requests, and against odd ones that leave no room.
    it('are held up to a number, and make room for the domains of members', () => {
      load([]);
      for (let number = 0; number < 500; number += 1) {
        request(`nowhere${number}`);
        withdraw(`nowhere${number - 100}`);
      }
      expect(view.evacuatedDomains.size).toBeLessThanOrEqual(64);
      request('b');
      expect(listDomains()).toContain('b');
      expect(listReaders()).toEqual(['a1', 'c1']);
      expect(view.evacuatedDomains.size).toBeLessThanOrEqual(64);
    });
  });

  // Guards against refusals that operators cannot see.
  it('count refusals by access', async () => {
    load(['b']);
    findRefusal('b1');
    registry.evacuationGuard.findRefusal({ member: toBrand('b1') });
    const { values } = await metrics.evacuationRefusals.get();
    expect(values).toMatchObject([
      { labels: { access: 'read' }, value: 1 },
      { labels: { access: 'begin' }, value: 1 },
    ]);
  });
});
