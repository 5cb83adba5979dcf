import {
  ConfirmationTracker,
  type GroupId,
  ManualClock,
  type MemberEntry,
  type MemberId,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { err, ok } from 'neverthrow';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  EventLog,
  type FleetDirectory,
  FleetView,
  type StoreEra,
  type StoreEvent,
  type StoreItem,
  type StoreRevision,
} from '../../src/index.js';

const MEMBER = toBrand<MemberId>('m1');
const KEY = `members/${MEMBER}`;
/** Longer than the time in which members list themselves again. */
const RELISTED_MS = 3000;

const DIRECTORY: FleetDirectory = {
  settingsKey: 'settings',
  membersPrefix: 'members/',
  decodeSettings: () => err('none'),
  decodeMember: (_, value) => {
    const text = value.toString();
    if (text === 'odd') return err('odd');
    const { sequence, isDraining } = JSON.parse(text) as Partial<MemberEntry>;
    return ok({
      id: MEMBER,
      group: toBrand<GroupId>('g'),
      host: '10.0.0.1',
      port: 1,
      failureDomain: 'a',
      role: 'replica',
      slots: 1,
      isDraining: isDraining ?? false,
      incarnation: 1,
      sequence,
    });
  },
};

describe('entries of members', () => {
  const clock = new ManualClock(1000);
  let view: FleetView;
  let revision = 10;

  function createItem(value: Partial<MemberEntry> | 'odd'): StoreItem {
    revision += 1;
    const text = value === 'odd' ? value : JSON.stringify(value);
    const revisions = { revision, createdRevision: revision };
    return { key: KEY, value: Buffer.from(text), ...revisions } as unknown as StoreItem;
  }

  function apply(value: Partial<MemberEntry> | 'odd', era: number): void {
    const event: StoreEvent = { kind: 'written', item: createItem(value) };
    view.apply([event], era as StoreEra);
  }

  function load(value: Partial<MemberEntry>, era: number): void {
    view.replace({ items: [createItem(value)], era: era as StoreEra }, clock.now());
  }

  beforeEach(() => {
    const limit = toMilliseconds(1000);
    const limits = { maxKeyedAgeMs: limit, maxPrimaryAgeMs: limit, maxReadyAgeMs: limit };
    view = new FleetView(DIRECTORY, new ConfirmationTracker(limits), new EventLog(clock), clock);
    revision = 10 as StoreRevision;
    load({ sequence: 7 }, 1);
  });

  const isDraining = (): boolean | undefined => view.members.get(MEMBER)?.isDraining;

  // Guards against a member that is no longer followed after one entry with a high number.
  it('replace earlier ones of the same era, whatever numbers members give them', () => {
    apply({ sequence: Number.MAX_SAFE_INTEGER }, 1);
    apply({ sequence: 8, isDraining: true }, 1);
    expect(isDraining()).toBe(true);
  });

  it('that cannot be read name no member until the next one', () => {
    apply('odd', 1);
    expect(isDraining()).toBeUndefined();
    apply({ sequence: 8 }, 1);
    expect(isDraining()).toBe(false);
  });

  describe('of a store that has returned from an older copy', () => {
    it('do not replace newer ones at once', () => {
      apply({ sequence: 9, isDraining: true }, 1);
      load({ sequence: 7 }, 2);
      expect(isDraining()).toBe(true);
      apply({ sequence: 10, isDraining: false }, 2);
      expect(isDraining()).toBe(false);
    });

    it('are in force once members have had the time to write newer ones', () => {
      apply({ sequence: Number.MAX_SAFE_INTEGER }, 1);
      load({ sequence: 8, isDraining: true }, 2);
      expect(isDraining()).toBe(false);
      clock.advance(RELISTED_MS);
      view.removeMissing(clock.now());
      expect(isDraining()).toBe(true);
    });
  });
});
