import { type GroupId, type InstanceId, ManualClock, toBrand } from '@heatherledge/core';
import type { PeerBody } from '@heatherledge/daemon';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { PrimarySuspension, type PrimarySuspensionServices } from '../../src/index.js';

const GROUP = toBrand<GroupId>('g');
const [SELF, OTHER, CUT_OFF] = ['i1', 'i2', 'i3'].map((id) => toBrand<InstanceId>(id)) as [
  InstanceId,
  InstanceId,
  InstanceId,
];
const CONFIRMATION_TTL_MS = 2800;
const STEP_MS = 10;
const RESTART_MS = 700;

describe('PrimarySuspension', () => {
  let clock: ManualClock;
  /** Whether connections to the instance that is cut off are refused. */
  let isRefused: boolean;
  /** Requests to that instance. */
  let requests: number;
  /** Whether its process is started again after `RESTART_MS`. */
  let willRestart: boolean;

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock(1000);
    isRefused = true;
    willRestart = false;
    requests = 0;
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  /** Returns the duration of the wait, in milliseconds. */
  async function measureWait(): Promise<number> {
    const startedAt = clock.now();
    let isDone = false;
    const request = async (to: InstanceId): Promise<PeerBody | undefined> => {
      if (to === CUT_OFF) requests += 1;
      return to === CUT_OFF && isRefused ? undefined : { kind: 'done' };
    };
    const services = {
      self: SELF,
      clock,
      view: { instances: new Map([SELF, OTHER, CUT_OFF].map((id) => [id, {}])) },
      hub: { request },
      primaryTracker: { suspend() {} },
      confirmationTtlMs: CONFIRMATION_TTL_MS,
      log: { info() {} },
    } as unknown as PrimarySuspensionServices;
    void new PrimarySuspension(GROUP, services).waitUntilSuspended(2).then(() => {
      isDone = true;
    });
    await vi.advanceTimersByTimeAsync(0);
    while (!isDone && clock.now() < startedAt + 2 * CONFIRMATION_TTL_MS) {
      clock.advance(STEP_MS);
      await vi.advanceTimersByTimeAsync(STEP_MS);
      if (willRestart && clock.now() - startedAt >= RESTART_MS) isRefused = false;
    }
    return clock.now() - startedAt;
  }

  it('ends once all instances have acknowledged it', async () => {
    isRefused = false;
    expect(await measureWait()).toBe(0);
  });

  // Guards against STALE: an instance behind a partition that resets went on to read at the old primary.
  it('waits for an instance that refuses connections until its confirmation has expired', async () => {
    expect(await measureWait()).toBeGreaterThanOrEqual(CONFIRMATION_TTL_MS);
  });

  it('ends once a process that was killed has been started again', async () => {
    willRestart = true;
    expect(await measureWait()).toBeLessThan(RESTART_MS + 200);
  });

  /** Load pattern: a third of 195 instances is killed while 14 primaries change. */
  it('asks an instance that refuses connections ten times at most', async () => {
    await measureWait();
    expect(requests).toBeLessThanOrEqual(10);
  });
});
