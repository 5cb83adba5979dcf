import { type InstanceId, type OrganisationId, toBrand, toMilliseconds } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import {
  type InstanceRecord,
  RateShareAllocator,
  type StoredRecord,
  type StoreRevision,
} from '../../src/index.js';

const SETTLE_MS = 100;
const SELF = 'self';
const ORGANISATION = toBrand<OrganisationId>('archive');
const BURST = 100;

/** @param places - failure domain and cores by name of the instance */
function createInstances(
  places: Readonly<Record<string, readonly [string, number]>>,
): Map<InstanceId, StoredRecord<InstanceRecord>> {
  const revision = 1 as StoreRevision;
  const entries = Object.entries(places).map(([name, [domain, cores]]) => {
    const value = { host: '127.0.0.1', peerPort: 1, domain, cores };
    return [toBrand<InstanceId>(name), { value, revision, createdRevision: revision }] as const;
  });
  return new Map(entries);
}

/** Shares are kept until the instances change; whatever they are computed from has to count as a change. */
describe('rate shares', () => {
  it('count instances anew whose names together read like those of others', () => {
    const allocator = new RateShareAllocator(toBrand<InstanceId>(SELF), toMilliseconds(SETTLE_MS));
    allocator.resumeShare();
    const before = createInstances({ a: ['x', 1], b: ['x', 1], [SELF]: ['x', 1] });
    expect(allocator.computeShare(before, toMilliseconds(0)).slotCount).toBe(3);
    const after = createInstances({ 'a b': ['x', 1], [SELF]: ['x', 1] });
    expect(allocator.computeShare(after, toMilliseconds(1000)).slotCount).toBe(2);
  });

  it('follow an instance that starts again in another failure domain', () => {
    const allocator = new RateShareAllocator(toBrand<InstanceId>(SELF), toMilliseconds(SETTLE_MS));
    const listNear = (places: Readonly<Record<string, readonly [string, number]>>): string[] => {
      const share = allocator.computeShare(createInstances(places), toMilliseconds(0));
      return [...(share.divide?.(ORGANISATION, BURST).near ?? [])].sort();
    };
    expect(listNear({ a: ['x', 1], [SELF]: ['x', 1] })).toEqual(['a', SELF]);
    expect(listNear({ a: ['y', 1], [SELF]: ['x', 1] })).toEqual([SELF]);
  });
});
