import {
  ConfirmationTracker,
  type GroupId,
  type LogPosition,
  ManualClock,
  type MemberId,
  type Route,
  type Term,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import { err } from 'neverthrow';
import { describe, expect, it } from 'vitest';
import {
  encodeRecord,
  EventLog,
  type FleetDirectory,
  FleetView,
  formatPrimaryKey,
  type PrimaryLogSample,
  PrimaryTracker,
  type StoreEra,
  type StoreRevision,
} from '../../src/index.js';

const GROUP = toBrand<GroupId>('g');
const [PREVIOUS, NEXT] = [toBrand<MemberId>('m1'), toBrand<MemberId>('m2')];
const MAX_PRIMARY_AGE_MS = 2800;
const ROUTE = { group: GROUP, maxAgeMs: toMilliseconds(1500) } as Route;

const DIRECTORY: FleetDirectory = {
  settingsKey: 'settings',
  membersPrefix: 'members/',
  decodeSettings: () => err('none'),
  decodeMember: () => err('none'),
};

function createTracker() {
  const clock = new ManualClock(10_000);
  const limit = toMilliseconds(MAX_PRIMARY_AGE_MS);
  const confirmation = new ConfirmationTracker({
    maxKeyedAgeMs: limit,
    maxPrimaryAgeMs: limit,
    maxReadyAgeMs: limit,
  });
  confirmation.confirm(clock.now());
  const log = new EventLog(clock);
  const view = new FleetView(DIRECTORY, confirmation, log, clock);
  const era = toBrand<StoreEra>(1);
  view.replace({ items: [], era }, clock.now());
  const tracker = new PrimaryTracker(view, () => true, clock, log);
  const recordPrimary = (epoch: number, member: MemberId | undefined): void => {
    const value = { epoch, holders: [], ...(member === undefined ? {} : { member }) };
    const revision = epoch as StoreRevision;
    const item = { key: formatPrimaryKey(GROUP), value: encodeRecord(value), revision };
    view.apply([{ kind: 'written', item: { ...item, createdRevision: revision } }], era);
  };
  recordPrimary(1, PREVIOUS);
  const createSample = (member: MemberId, term: number, position: number): PrimaryLogSample => ({
    group: GROUP,
    member,
    logPosition: { term: toBrand<Term>(term), position: toBrand<LogPosition>(position) },
    takenAt: clock.now(),
  });
  return { tracker, clock, recordPrimary, createSample };
}

describe('PrimaryTracker', () => {
  /**
   * Guards against refusing reads of a stated age during a change of primary: reads were refused for
   * 1.6 s although two replicas could have served them.
   */
  it('lets replicas serve reads of a stated age while the primary changes', () => {
    const { tracker, clock, recordPrimary, createSample } = createTracker();
    tracker.addSample(createSample(PREVIOUS, 1, 50));
    tracker.suspend(GROUP, 2);
    recordPrimary(2, undefined);
    clock.advance(1400);
    expect(tracker.find(GROUP)).toBeUndefined();
    expect(tracker.findPositionForAge(ROUTE, clock.now())?.position).toBe(50);
    clock.advance(100);
    expect(tracker.findPositionForAge(ROUTE, clock.now())).toBeUndefined();
  });

  it('ignores samples of a primary that is being replaced or is no longer confirmed', () => {
    const { tracker, clock, recordPrimary, createSample } = createTracker();
    const early = createSample(PREVIOUS, 1, 50);
    clock.advance(MAX_PRIMARY_AGE_MS);
    tracker.addSample(early);
    expect(tracker.listSamples()).toEqual([]);
    const suspended = createTracker();
    suspended.tracker.suspend(GROUP, 2);
    suspended.tracker.addSample(suspended.createSample(PREVIOUS, 1, 50));
    expect(suspended.tracker.listSamples()).toEqual([]);
    recordPrimary(2, NEXT);
  });

  it('requires log positions of the next primary once older samples are too old', () => {
    const { tracker, clock, recordPrimary, createSample } = createTracker();
    tracker.addSample(createSample(PREVIOUS, 1, 50));
    recordPrimary(3, NEXT);
    clock.advance(1000);
    tracker.addSample(createSample(NEXT, 2, 40));
    expect(tracker.findPositionForAge(ROUTE, clock.now())).toMatchObject({ term: 1, position: 50 });
    clock.advance(600);
    expect(tracker.findPositionForAge(ROUTE, clock.now())).toMatchObject({ term: 2, position: 40 });
    expect(tracker.listSamples()[0]?.member).toBe(NEXT);
  });
});
