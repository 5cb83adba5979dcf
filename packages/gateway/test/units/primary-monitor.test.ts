import {
  type GroupId,
  HolderPresenceTracker,
  type InstanceId,
  ManualClock,
  type MemberEntry,
  type MemberId,
  toBrand,
} from '@heatherledge/core';
import type { PeerBody, PeerHub } from '@heatherledge/daemon';
import { err } from 'neverthrow';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type GatewayMetrics,
  formatCoordinator,
  type LeaseId,
  type PrimaryChangeServices,
  PrimaryMonitor,
  type PrimaryRecord,
  type StoreTransaction,
} from '../../src/index.js';

const GROUP = toBrand<GroupId>('g');
const SELF = toBrand<InstanceId>('self');
const PRIMARY = toBrand<MemberId>('m1');
const REPLICA = toBrand<MemberId>('m2');
const STEP_MS = 100;

function createEntry(id: MemberId, changes: Partial<MemberEntry>): MemberEntry {
  const entry = { id, group: GROUP, host: '127.0.0.1', port: 1, failureDomain: 'a', slots: 1 };
  return { ...entry, role: 'replica', isDraining: false, incarnation: 1, ...changes };
}

describe('PrimaryMonitor', () => {
  let clock: ManualClock;
  let members: Map<MemberId, MemberEntry>;
  let isCoordinator: boolean;
  /** Instance that holds the coordinator's role, as recorded. */
  let coordinator: string;
  let isSilent: boolean;
  /** Whether the replica has received all that the primary holds. */
  let hasCaughtUp: boolean;
  let sent: { to: InstanceId; body: PeerBody }[];
  let attempts: number;
  let monitor: PrimaryMonitor;

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock(100_000);
    isCoordinator = false;
    isSilent = false;
    hasCaughtUp = false;
    coordinator = 'other/7';
    sent = [];
    attempts = 0;
    members = new Map([
      [PRIMARY, createEntry(PRIMARY, { role: 'primary' })],
      [REPLICA, createEntry(REPLICA, {})],
    ]);
    const record = { epoch: 1, member: PRIMARY, holders: ['m1/1', 'm2/1'] };
    const hub = {
      handle() {},
      send: (to: InstanceId, body: PeerBody) => sent.push({ to, body }),
    } as unknown as PeerHub;
    const services = {
      self: SELF,
      clock,
      hub,
      view: {
        settings: { groups: new Map([[GROUP, { id: GROUP }]]), routesByDatabase: new Map() },
        era: 1,
        get coordinator() {
          return { value: { instance: coordinator } };
        },
        primaries: new Map([[GROUP, { value: record, revision: 1, createdRevision: 1 }]]),
        members,
        listMembers: () => [...members.values()],
      },
      lease: {
        get isHeld() {
          return isCoordinator;
        },
      },
      control: {
        sendCommand: async ({ id }: MemberEntry) => ({
          role: id === PRIMARY ? 'primary' : 'replica',
          received: { term: 1, position: id === PRIMARY || hasCaughtUp ? 9 : 5 },
        }),
      },
      store: {
        commit: async ({ puts }: StoreTransaction) => {
          const record = JSON.parse(`${puts[0]?.value.toString()}`) as PrimaryRecord;
          // The record of a change names no primary.
          if (record.member === undefined) attempts += 1;
          return err({ kind: 'unavailable', reason: 'busy' });
        },
      },
      log: { info() {}, warn() {} },
      memberRegistry: {
        primaryTracker: {
          find: () => PRIMARY,
          isSuspended: () => false,
          findSuspendedEpoch: () => 0,
        },
        findPool: () => ({ computeSilenceMs: () => (isSilent ? 1000 : 0), avoidUntil: 0 }),
      },
      holderPresence: new HolderPresenceTracker(),
    } as unknown as PrimaryChangeServices;
    const metrics = { primaryChanges: { inc() {} } } as unknown as GatewayMetrics;
    monitor = new PrimaryMonitor(services, hub, metrics);
    monitor.start();
  });

  afterEach(() => {
    monitor.stop();
    vi.useRealTimers();
  });

  async function advance(ms: number): Promise<void> {
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      clock.advance(STEP_MS);
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
  }

  it.each(['other', 'rack 1/other', 'a/b/c'])(
    'reports a primary that does not respond to the coordinator %j',
    async (name) => {
      const id = toBrand<InstanceId>(name);
      coordinator = formatCoordinator(id, toBrand<LeaseId>('7/8'));
      isSilent = true;
      await advance(STEP_MS);
      expect(sent).toEqual([
        { to: id, body: { kind: 'primary.suspect', group: GROUP, member: PRIMARY } },
      ]);
    },
  );

  describe('while the primary drains', () => {
    beforeEach(() => {
      isCoordinator = true;
      members.set(PRIMARY, createEntry(PRIMARY, { role: 'primary', isDraining: true }));
    });

    it('waits for a replica to catch up, but not for long', async () => {
      await advance(3500);
      expect(attempts).toBe(0);
      await advance(1000);
      expect(attempts).toBeGreaterThan(0);
    });

    /** Load pattern: a rolling restart, in which members drain one after another, more than once. */
    it.each<[string, Partial<MemberEntry>]>([
      ['started again under its id', { incarnation: 2 }],
      ['stopped draining', {}],
    ])('waits as long if it drained before and then %s', async (_, changes) => {
      await advance(1000);
      members.set(PRIMARY, createEntry(PRIMARY, { role: 'primary', ...changes }));
      await advance(60_000);
      const before = attempts;
      members.set(PRIMARY, createEntry(PRIMARY, { ...changes, role: 'primary', isDraining: true }));
      await advance(1000);
      expect(attempts).toBe(before);
    });
  });
});
