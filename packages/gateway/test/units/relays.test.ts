import { chooseRelay, type InstanceId, listRelays, toBrand } from '@heatherledge/core';
import type { PeerBody, PeerBodyOf } from '@heatherledge/daemon';
import { err, ok } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { encodeRecord, type FleetDirectory, MAX_ENTRY_BYTES } from '../../src/index.js';
import { MemoryFleet, type MemoryInstance } from '../fixtures/memory-fleet.js';
import { decodeSettingsVersion } from '../fixtures/settings-version.js';

const DIRECTORY: FleetDirectory = {
  settingsKey: 'settings',
  membersPrefix: 'members/',
  decodeSettings: (value) => ok(decodeSettingsVersion(value)),
  decodeMember: () => err('the test has no members'),
};

describe('relays of the store', () => {
  describe('choice', () => {
    const createId = (index: number): InstanceId => toBrand<InstanceId>(`i${index}`);

    it.each([
      [1, 1],
      [3, 1],
      [16, 1],
      [40, 1],
      [41, 2],
      [130, 4],
    ])('of %d instances of a domain, %d read the store', (count, relays) => {
      const ids = Array.from({ length: count }, (_, index) => createId(index));
      const domain = { all: ids, strongest: ids };
      expect(listRelays(domain)).toHaveLength(relays);
      const chosen = ids.map((id) => chooseRelay(id, domain));
      expect(chosen.filter((relay) => relay === undefined)).toHaveLength(relays);
    });
  });

  describe('in a running fleet', () => {
    let fleet: MemoryFleet;

    beforeEach(() => {
      vi.useFakeTimers();
    });

    afterEach(() => {
      fleet.stop();
      vi.useRealTimers();
    });

    async function startFleet(count: number, domains: number): Promise<void> {
      fleet = new MemoryFleet(count, domains, DIRECTORY);
      fleet.store.put('settings', Buffer.from('1'));
      fleet.start();
      await fleet.advance(4000);
    }

    function findRelay(instance: MemoryInstance): MemoryInstance {
      const domain = instance.view.findDomain(instance.id) ?? '';
      const domainInstances = instance.view.listDomains().get(domain) ?? { all: [], strongest: [] };
      const relay = chooseRelay(instance.id, domainInstances);
      return fleet.instances.find(({ id }) => id === relay) ?? instance;
    }

    const findSubscriber = (): MemoryInstance =>
      fleet.instances.find((instance) => findRelay(instance) !== instance) as MemoryInstance;

    /**
     * Load pattern cv-ceras-grown at rest: without relays, each instance calls the store at least
     * once a second.
     */
    it('keep all instances up to date with a tenth of the store calls', async () => {
      await startFleet(91, 6);
      fleet.store.calls = 0;
      let maxAgeMs = 0;
      await fleet.advance(5000, () => {
        const ages = fleet.instances.map((instance) => instance.resolveAge(fleet.clock.now()));
        maxAgeMs = Math.max(maxAgeMs, ...ages);
      });
      expect(fleet.store.calls).toBeLessThan(45);
      // Limits: keyed requests 4,000 ms, reads of the latest data 2,800 ms, readiness 2,600 ms.
      expect(maxAgeMs).toBeLessThan(1800);
    });

    /**
     * Load pattern: all instances of a large fleet start at once. Each lists the store, registers
     * itself, and watches once or twice until it knows its relay.
     */
    it('let a starting instance call the store four times at most', async () => {
      fleet = new MemoryFleet(60, 6, DIRECTORY);
      fleet.store.put('settings', Buffer.from('1'));
      fleet.start();
      await fleet.advance(3000);
      const relays = 6;
      expect(fleet.store.calls).toBeLessThanOrEqual(60 * 4 + relays * 3 * 3);
    });

    /** Load pattern: 14 groups record their primaries one after the other while the fleet starts. */
    it('bring changes in quick succession without a listing of the store by each instance', async () => {
      await startFleet(60, 6);
      fleet.store.calls = 0;
      fleet.store.listings = 0;
      let maxAgeMs = 0;
      for (let change = 0; change < 14; change += 1) {
        const key = `heatherledge/primary/g${change}`;
        fleet.store.put(key, encodeRecord({ epoch: 1, member: 'm', holders: [] }));
        await fleet.advance(150, () => {
          const ages = fleet.instances.map((instance) => instance.resolveAge(fleet.clock.now()));
          maxAgeMs = Math.max(maxAgeMs, ...ages);
        });
      }
      await fleet.advance(1000);
      for (const { view } of fleet.instances) expect(view.primaries.size).toBe(14);
      expect(fleet.store.listings).toBe(0);
      // Six relays with eight calls a second each, watches and checks, for 3.1 s.
      expect(fleet.store.calls).toBeLessThan(150);
      expect(maxAgeMs).toBeLessThan(2600);
    });

    it('deliver new settings to all instances at once', async () => {
      await startFleet(12, 3);
      fleet.store.put('settings', Buffer.from('2'));
      await fleet.advance(100);
      for (const { view } of fleet.instances) expect(view.settings?.version).toBe(2);
    });

    // Guards against memory that grows with each writing, until the process ends.
    it('keep and send little of an entry of a megabyte, and follow the settings beside it', async () => {
      await startFleet(12, 3);
      const subscriber = findSubscriber();
      fleet.store.put('members/odd', Buffer.alloc(1024 * 1024, '['));
      fleet.store.put('settings', Buffer.from('2'));
      await fleet.advance(500);
      for (const { view } of fleet.instances) expect(view.settings?.version).toBe(2);
      const relay = findRelay(subscriber).id;
      const response = fleet.request(subscriber.id, relay, { kind: 'store.list' }, 3000);
      await fleet.run(response);
      const listed = (await response) as PeerBodyOf<'store.listed'>;
      const odd = listed.listing?.events.find(({ key }) => key === 'members/odd');
      expect(odd?.item?.value.length).toBe(MAX_ENTRY_BYTES + 1);
    });

    it('are replaced in time if they do not respond', async () => {
      await startFleet(12, 3);
      const subscriber = findSubscriber();
      findRelay(subscriber).isUnresponsive = true;
      fleet.store.put('settings', Buffer.from('2'));
      await fleet.advance(1200);
      expect(subscriber.view.settings?.version).toBe(2);
      expect(subscriber.resolveAge(fleet.clock.now())).toBeLessThan(1800);
    });

    it('keep an instance up to date that is disconnected from the store', async () => {
      await startFleet(12, 3);
      const subscriber = findSubscriber();
      subscriber.client.isDisconnected = true;
      fleet.store.put('settings', Buffer.from('2'));
      await fleet.advance(6000);
      expect(subscriber.view.settings?.version).toBe(2);
      expect(subscriber.resolveAge(fleet.clock.now())).toBeLessThan(1800);
    });

    it('keep a failure domain up to date whose relay is disconnected from the store', async () => {
      await startFleet(12, 3);
      const subscriber = findSubscriber();
      const relay = findRelay(subscriber);
      relay.client.isDisconnected = true;
      await fleet.advance(4000);
      fleet.store.put('settings', Buffer.from('2'));
      await fleet.advance(2000);
      for (const instance of [subscriber, relay]) {
        expect(instance.view.settings?.version).toBe(2);
        expect(instance.resolveAge(fleet.clock.now())).toBeLessThan(2600);
      }
    });

    it.each([2000, 2100, 2200, 2300, 2400, 2500, 2600, 2700, 2800, 2900, 3000])(
      'confirm their failure domain half a second after an outage of %d ms',
      async (outageMs) => {
        await startFleet(12, 3);
        for (const { client } of fleet.instances) client.isDisconnected = true;
        await fleet.advance(outageMs);
        for (const { client } of fleet.instances) client.isDisconnected = false;
        const relays = fleet.instances.filter((instance) => findRelay(instance) === instance);
        for (const { updater } of relays) await fleet.run(updater.loadSnapshot());
        await fleet.advance(500);
        for (const instance of fleet.instances) {
          expect(instance.resolveAge(fleet.clock.now())).toBeLessThan(800);
        }
      },
    );

    /**
     * Load pattern: the store is away for 2 s or more and returns. Keyed requests stop 4 s after the last
     * confirmation, which may be 1.4 s old when the outage begins.
     */
    it.each([2000, 2200, 2400, 2600, 2800, 3000])(
      'are confirmed within 600 ms of the return of the store after %d ms',
      async (outageMs) => {
        await startFleet(12, 3);
        fleet.store.isDown = true;
        await fleet.advance(outageMs);
        fleet.store.isDown = false;
        const returnedAt = fleet.clock.now();
        await fleet.advance(600);
        for (const instance of fleet.instances) {
          const confirmedAt = fleet.clock.now() - instance.resolveAge(fleet.clock.now());
          expect(confirmedAt).toBeGreaterThanOrEqual(returnedAt - 10);
        }
      },
    );

    describe('beside an instance that has seen another era of the store', () => {
      async function ask(relay: MemoryInstance, body: PeerBody): Promise<PeerBody | undefined> {
        const from = findSubscriber().id;
        const response = fleet.request(from, relay.id, body, 3000);
        await fleet.run(response);
        return response;
      }

      const createCheck = (relay: MemoryInstance, era: number): PeerBody => ({
        kind: 'store.check',
        era,
        expectations: relay.view.listExpectations(relay.id).map(({ key }) => [key, 1_000_000]),
      });

      it.each([
        ['an earlier', 0, 'conflict'],
        ['the same', 1, 'held'],
        ['a later', 2, 'unknown'],
      ])('respond to a check of %s era with %s', async (_, era, outcome) => {
        await startFleet(12, 3);
        const relay = findRelay(findSubscriber());
        expect(await ask(relay, createCheck(relay, era))).toMatchObject({ outcome, era: 1 });
      });

      it('pass no changes on that belong to another era', async () => {
        await startFleet(12, 3);
        const relay = findRelay(findSubscriber());
        const watch = { kind: 'store.watch' as const, after: 0, waitMs: 100 };
        expect(await ask(relay, { ...watch, era: 0 })).toMatchObject({ isLost: true });
        const later = await ask(relay, { ...watch, era: 2 });
        expect(later).toMatchObject({ changes: { events: [], era: 1 } });
      });
    });

    it('never present an old confirmation as a new one during an outage of the store', async () => {
      await startFleet(12, 3);
      for (const { client } of fleet.instances) client.isDisconnected = true;
      await fleet.advance(200);
      fleet.store.put('settings', Buffer.from('2'));
      const changedAt = fleet.clock.now();
      await fleet.advance(5000, () => {
        const now = fleet.clock.now();
        for (const instance of fleet.instances) {
          if (instance.view.settings?.version === 2) continue;
          expect(now - instance.resolveAge(now)).toBeLessThanOrEqual(changedAt);
        }
      });
      for (const { client } of fleet.instances) client.isDisconnected = false;
      await fleet.advance(2500);
      for (const { view } of fleet.instances) expect(view.settings?.version).toBe(2);
    });
  });
});
