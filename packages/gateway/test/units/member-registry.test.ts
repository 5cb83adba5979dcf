import {
  ConfirmationTracker,
  type FleetSettings,
  type GroupId,
  type InstanceId,
  ManualClock,
  type MemberEntry,
  type OrganisationId,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { ok } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import {
  encodeRecord,
  EventLog,
  type FleetDirectory,
  FleetView,
  formatInstanceKey,
  GatewayMetrics,
  type GatewaySettings,
  MemberRegistry,
  HostDirectory,
  type StoreItem,
  type StoreEra,
  type StoreRevision,
} from '../../src/index.js';
import { FakeConnector } from '../fixtures/fake-connector.js';

const FAILURE_DOMAINS = ['a', 'b', 'c', 'd', 'e', 'f'];
const GROUP_COUNT = 6;
const MEMBER_COUNT = 18;
const INSTANCE_COUNT = 91;
const ORGANISATION_COUNT = 88;

/** Counts how often all organisations are listed, the expensive part of recomputing limits. */
class CountingOrganisations extends Map<OrganisationId, never> {
  listings = 0;

  override keys(): MapIterator<OrganisationId> {
    this.listings += 1;
    return super.keys();
  }
}

function createSettings(organisations: CountingOrganisations): FleetSettings {
  const groups = Array.from({ length: GROUP_COUNT }, (_, index) => {
    const id = toBrand<GroupId>(`g${index}`);
    return [id, { id, maxConnections: 42, syncReplicas: 1 }] as const;
  });
  return {
    version: 1,
    routesByDatabase: new Map(),
    groups: new Map(groups),
    organisations,
    organisationByKey: new Map(),
    transactionIdleMs: toMilliseconds(3000),
  };
}

function decodeMember(key: string): MemberEntry {
  const number = Number(key.slice('members/m'.length));
  return {
    id: toBrand(`m${number}`),
    group: toBrand<GroupId>(`g${number % GROUP_COUNT}`),
    host: '127.0.0.1',
    port: number + 1,
    failureDomain: FAILURE_DOMAINS[number % FAILURE_DOMAINS.length] as string,
    role: 'replica',
    slots: 2,
    isDraining: false,
    incarnation: 1,
  };
}

function createItem(key: string, value: Buffer, revision: number): StoreItem {
  const storeRevision = revision as StoreRevision;
  return { key, value, revision: storeRevision, createdRevision: storeRevision };
}

function createInstanceItem(number: number): StoreItem {
  const domain = FAILURE_DOMAINS[number % FAILURE_DOMAINS.length] as string;
  const value = encodeRecord({ host: '127.0.0.1', peerPort: 1, domain, cores: 1 });
  return createItem(formatInstanceKey(toBrand<InstanceId>(`i${number}`)), value, 100 + number);
}

describe('MemberRegistry', () => {
  /**
   * Load pattern: a fleet of 91 instances starts at once, and each instance sees the others join one
   * by one. Guards against recomputing the limits of all pools for each of them.
   */
  it('recomputes pool limits once for many instances that join together', () => {
    const organisations = new CountingOrganisations();
    for (let number = 0; number < ORGANISATION_COUNT; number += 1) {
      organisations.set(toBrand<OrganisationId>(`o${number}`), {} as never);
    }
    const directory: FleetDirectory = {
      settingsKey: 'settings',
      membersPrefix: 'members/',
      decodeSettings: () => ok(createSettings(organisations)),
      decodeMember: (key) => ok(decodeMember(key)),
    };
    const clock = new ManualClock();
    const log = new EventLog(clock);
    const limit = toMilliseconds(1000);
    const view = new FleetView(
      directory,
      new ConfirmationTracker({
        maxKeyedAgeMs: limit,
        maxPrimaryAgeMs: limit,
        maxReadyAgeMs: limit,
      }),
      log,
      clock,
    );
    const self = toBrand<InstanceId>('i0');
    const settings = {
      failureDomain: 'a',
      regionByDomain: new Map(),
    } as unknown as GatewaySettings;
    const hosts = new HostDirectory(self, view, clock);
    const metrics = new GatewayMetrics();
    const registry = new MemberRegistry(
      settings,
      view,
      new FakeConnector(),
      hosts,
      clock,
      metrics,
      log,
    );

    const listed = Array.from({ length: MEMBER_COUNT }, (_, number) =>
      createItem(`members/m${number}`, Buffer.alloc(0), 1),
    );
    const era = toBrand<StoreEra>(1);
    const settingsItem = createItem('settings', Buffer.from('{}'), 1);
    view.replace({ items: [settingsItem, createInstanceItem(0), ...listed], era }, clock.now());
    for (let number = 1; number < INSTANCE_COUNT; number += 1) {
      view.apply([{ kind: 'written', item: createInstanceItem(number) }], era);
    }

    expect((registry.describe() as unknown[]).length).toBe(MEMBER_COUNT);
    expect(organisations.listings).toBeLessThanOrEqual(MEMBER_COUNT);
  });
});
