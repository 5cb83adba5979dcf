import { chooseRelay } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { MemoryFleet, type MemoryInstance } from '../fixtures/memory-fleet.js';
import { EVACUATION_DIRECTORY, formatRequestKey } from '../fixtures/evacuation-directory.js';

const INSTANCE_COUNT = 12;
const DOMAIN_COUNT = 3;
const REQUEST = Buffer.from('{}');
/** Time within which the watch brings a request to all instances. */
const WATCH_MS = 1000;
/** Time within which an instance without a watch learns of a request; the bound is 5 s. */
const CHECK_MS = 3500;

describe('a fleet in which a failure domain is evacuated', () => {
  let fleet: MemoryFleet;

  beforeEach(async () => {
    vi.useFakeTimers();
    fleet = new MemoryFleet(INSTANCE_COUNT, DOMAIN_COUNT, EVACUATION_DIRECTORY);
    fleet.store.put('settings', Buffer.from('1'));
    for (const id of ['d01', 'd11', 'd21']) fleet.store.put(`members/${id}`, REQUEST);
    fleet.start();
    await fleet.advance(4000);
  });

  afterEach(() => {
    fleet.stop();
    vi.useRealTimers();
  });

  const countEvacuated = (domain: string): number =>
    fleet.instances.filter(({ view }) => view.evacuatedDomains.has(domain)).length;

  function isRelay(instance: MemoryInstance): boolean {
    const domain = instance.view.findDomain(instance.id) ?? '';
    const instances = instance.view.listDomains().get(domain) ?? { all: [], strongest: [] };
    return chooseRelay(instance.id, instances) === undefined;
  }

  /** Makes watches wait without bringing anything, as over a link that has failed in one direction. */
  function stallWatches(instances: readonly MemoryInstance[]): void {
    for (const { client, handlers } of instances) {
      const stalled = async (): Promise<never> => new Promise(() => {});
      vi.spyOn(client, 'watch').mockImplementation(stalled);
      handlers.set('store.watch', stalled);
    }
  }

  // Guards against an evacuation that takes effect only with the next checks.
  it('learns of the request and of its withdrawal through the watch', async () => {
    fleet.store.put(formatRequestKey('d1'), REQUEST);
    await fleet.advance(WATCH_MS);
    expect(countEvacuated('d1')).toBe(INSTANCE_COUNT);
    fleet.store.remove(formatRequestKey('d1'));
    await fleet.advance(WATCH_MS);
    expect(countEvacuated('d1')).toBe(0);
  });

  // Guards against an instance that misses the watch event and goes on to use the domain.
  it.each([
    ['relays', (instance: MemoryInstance) => isRelay(instance)],
    ['all instances', () => true],
  ])(
    'learns of the request by its checks if the watches of %s are stalled',
    async (_, mayStall) => {
      await fleet.advance(3000);
      stallWatches(fleet.instances.filter(mayStall));
      fleet.store.put(formatRequestKey('d1'), REQUEST);
      await fleet.advance(CHECK_MS);
      expect(countEvacuated('d1')).toBe(INSTANCE_COUNT);
    },
  );

  // Guards against a watch of another instance's relay that hides a request from a subscriber.
  it('learns of the request by its checks if one subscriber gets no changes', async () => {
    const subscriber = fleet.instances.find((instance) => !isRelay(instance)) as MemoryInstance;
    vi.spyOn(subscriber.view, 'apply').mockImplementation(() => {});
    fleet.store.put(formatRequestKey('d1'), REQUEST);
    await fleet.advance(CHECK_MS);
    expect(subscriber.view.evacuatedDomains.has('d1')).toBe(true);
  });

  // Guards against an outage in which the known requests are forgotten.
  it('keeps the request over an outage of the store', async () => {
    fleet.store.put(formatRequestKey('d1'), REQUEST);
    await fleet.advance(WATCH_MS);
    fleet.store.isDown = true;
    await fleet.advance(12_000, () => expect(countEvacuated('d1')).toBe(INSTANCE_COUNT));
    fleet.store.isDown = false;
    await fleet.advance(4000, () => expect(countEvacuated('d1')).toBe(INSTANCE_COUNT));
  });

  // Guards against a store without the request that ends the evacuation, and against one that lasts for ever.
  it('keeps the request for 10 s if the store returns without it', async () => {
    const copy = fleet.store.takeCopy();
    fleet.store.put(formatRequestKey('d1'), REQUEST);
    await fleet.advance(WATCH_MS);
    fleet.store.restore(copy);
    await fleet.advance(9900, () => expect(countEvacuated('d1')).toBe(INSTANCE_COUNT));
    // The fleet has no coordinator, which would complete the records of the store; listings go on.
    await fleet.advance(6000);
    for (const { view } of fleet.instances) view.removeMissing(fleet.clock.now());
    expect(countEvacuated('d1')).toBe(0);
  });

  // Guards against an instance that joins and does not know the standing request.
  it('evacuates the domain at an instance that starts while the request stands', async () => {
    fleet.store.put(formatRequestKey('d1'), REQUEST);
    await fleet.advance(WATCH_MS);
    const restarted = fleet.restart(fleet.instances[4] as MemoryInstance);
    await fleet.advance(100);
    const evacuation = restarted.view.evacuatedDomains.get('d1');
    expect(evacuation?.window.primaryUntil).toBe(evacuation?.learnedAt);
  });

  // Guards against calls of the store that are added while nothing is evacuated.
  it('makes no more calls for the requests than without a bound', async () => {
    const countCalls = async (): Promise<number> => {
      const before = fleet.store.calls;
      await fleet.advance(10_000);
      return fleet.store.calls - before;
    };
    const withRequests = await countCalls();
    for (const { view } of fleet.instances) {
      const list = view.listExpectations.bind(view);
      vi.spyOn(view, 'listExpectations').mockImplementation((self) =>
        list(self).filter(({ key }) => !key.startsWith('requests/')),
      );
    }
    expect(Math.abs(withRequests - (await countCalls()))).toBeLessThanOrEqual(DOMAIN_COUNT);
  });
});
