import { type InstanceId, ManualClock, type MemberId, toBrand } from '@heatherledge/core';
import type { PeerBody, PeerHub } from '@heatherledge/daemon';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  type MemberControl,
  type MemberRegistry,
  type PrimaryLogSample,
  PrimarySampler,
} from '../../src/index.js';
import { createRegionMember, REGION_GROUP } from '../fixtures/region-fleet.js';

const PRIMARY = createRegionMember('p', 'north-1');
const TRIP_MS = 20;

type Handler = (body: { member: string }) => Promise<PeerBody>;

describe('PrimarySampler', () => {
  let clock: ManualClock;
  let handle: Handler;
  let host: string;
  let role: 'primary' | 'replica' | undefined;
  let commands: number;
  let requests: number;
  let samples: PrimaryLogSample[];
  let respond: (body: { member: string }) => Promise<PeerBody | undefined>;
  let sampler: PrimarySampler;

  beforeEach(() => {
    clock = new ManualClock(1000);
    host = 'host';
    role = 'primary';
    commands = 0;
    requests = 0;
    samples = [];
    respond = async (body) => handle(body);
    const hub = {
      handle: (_: string, handler: Handler) => {
        handle = handler;
      },
      request: async (_: InstanceId, body: { member: string }) => {
        requests += 1;
        clock.advance(TRIP_MS);
        const response = await respond(body);
        clock.advance(TRIP_MS);
        return response;
      },
    } as unknown as PeerHub;
    const control = {
      sendCommand: async () => {
        commands += 1;
        return role && { role, received: { term: 1, position: 9 }, term: 1, heldTerm: 0 };
      },
    } as unknown as MemberControl;
    const memberRegistry = {
      primaryTracker: {
        find: () => PRIMARY.id,
        listSamples: () => samples,
        addSample: (sample: PrimaryLogSample) => samples.push(sample),
      },
      hosts: { findHost: () => host },
      findEntry: (id: MemberId) => (id === PRIMARY.id ? PRIMARY : undefined),
      isPrimary: (id: MemberId) => id === PRIMARY.id,
    } as unknown as MemberRegistry;
    const self = toBrand<InstanceId>('self');
    sampler = new PrimarySampler({ self, hub, clock, control, memberRegistry });
  });

  async function request(): Promise<void> {
    sampler.request(REGION_GROUP);
    await new Promise((resolve) => {
      setTimeout(resolve, 1);
    });
  }

  /** Guards against a sample that looks newer than it is, by which a read would miss a commit. */
  it('dates a sample no later than its request at the host', async () => {
    await request();
    expect(samples).toMatchObject([{ member: 'p', takenAt: 1000, logPosition: { position: 9 } }]);
    clock.advance(500);
    const takenAt = clock.now();
    await handle({ member: 'p' });
    clock.advance(60);
    await request();
    expect(commands).toBe(2);
    expect(samples).toHaveLength(2);
    expect(samples.at(-1)?.takenAt).toBeLessThanOrEqual(takenAt);
  });

  it('asks the primary itself if this instance is its host', async () => {
    host = 'self';
    await request();
    expect(requests).toBe(0);
    expect(samples).toMatchObject([{ member: 'p', takenAt: 1000 }]);
  });

  /** Guards against a request for each read. */
  it('sends no request while it has a recent sample or has sent one shortly before', async () => {
    respond = async () => undefined;
    for (let read = 0; read < 100; read += 1) await request();
    expect(requests).toBe(1);
    respond = async (body) => handle(body);
    clock.advance(400);
    await request();
    expect(requests).toBe(2);
  });

  /** Load pattern: 195 instances ask one host in the same moment. Guards against a command for each. */
  it('sends the primary one command for many instances', async () => {
    const asked = Array.from({ length: 195 }, async () => handle({ member: 'p' }));
    const kinds = new Set((await Promise.all(asked)).map(({ kind }) => kind));
    expect([...kinds]).toEqual(['primary.sampled']);
    expect(commands).toBe(1);
  });

  /** Guards against the log position of a member that is no primary, or of one that does not respond. */
  it.each([['replica'], [undefined]] as const)('takes no sample of a %s', async (reported) => {
    role = reported;
    await request();
    expect(samples).toEqual([]);
    expect(await handle({ member: 'unknown' })).toEqual({ kind: 'failed' });
  });

  /** Guards against a fault when the host runs an earlier version. */
  it('does without a sample if the host does not support the request', async () => {
    respond = async () => ({ kind: 'unsupported' });
    await request();
    expect(samples).toEqual([]);
  });
});
