import { ManualClock, type OrganisationId, toBrand } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SlotGate, type SlotResult } from '../../src/index.js';

const SLOTS = 2;
/** Statements that a gate lets through at the same time. */
const CONCURRENCY = SLOTS + 1;
const PATIENCE_MS = 280;
const TIMEOUT_MS = 800;
const MAX_RETRY_AFTER_MS = 2000;

describe('SlotGate', () => {
  let clock: ManualClock;
  let gate: SlotGate;

  beforeEach(() => {
    vi.useFakeTimers();
    clock = new ManualClock(1000);
    gate = new SlotGate(SLOTS, clock);
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  async function acquire(): Promise<SlotResult> {
    return gate.acquire({
      organisation: toBrand<OrganisationId>('a'),
      weight: 1,
      priority: 1,
      maxEstimatedWaitMs: PATIENCE_MS,
      waitMs: TIMEOUT_MS,
    });
  }

  async function fill(): Promise<SlotResult[]> {
    return Promise.all(Array.from({ length: CONCURRENCY }, acquire));
  }

  async function advance(ms: number): Promise<void> {
    clock.advance(ms);
    await vi.advanceTimersByTimeAsync(ms);
  }

  it('lets the next statement through when a slot is released, and counts a release once', async () => {
    const [first] = await fill();
    const next = acquire();
    expect(gate.pending).toBe(CONCURRENCY + 1);
    if (first?.kind === 'granted') {
      first.release();
      first.release();
    }
    expect((await next).kind).toBe('granted');
    expect(gate.pending).toBe(CONCURRENCY);
  });

  /**
   * Load pattern: a member runs statements and loses some of the answers. Each of them waits for its
   * timeout; if it held its slot meanwhile, three of them would stop the member.
   */
  it('does not let statements whose answers are lost hold the slots', async () => {
    await fill();
    const next = acquire();
    await advance(200);
    expect((await next).kind).toBe('granted');
  });

  it('refuses a statement that has waited beyond its objective, with a time to return', async () => {
    // Slots are taken again as soon as they are released, by more urgent statements.
    await fill();
    const waiting = acquire();
    for (let elapsed = 0; elapsed < 450; elapsed += 10) {
      for (let index = 0; index < CONCURRENCY; index += 1) {
        void gate.acquire({
          organisation: undefined,
          weight: 1,
          priority: 0,
          maxEstimatedWaitMs: TIMEOUT_MS,
          waitMs: TIMEOUT_MS,
        });
      }
      await advance(10);
    }
    const result = await waiting;
    if (result.kind !== 'overloaded') throw new Error(result.kind);
    expect(result.cause).toBe('deadline');
    const excessMs = result.estimatedWaitMs - PATIENCE_MS;
    expect(excessMs).toBeGreaterThan(0);
    expect(result.retryAfterMs).toBe(Math.min(MAX_RETRY_AFTER_MS, excessMs));
  });

  /**
   * Load pattern: a member takes seven times as long, 270 ms and more for a statement. If slots were
   * released after a fixed 150 ms, it would get more statements than it runs, and refuse some.
   */
  // Guards against a commit that is sent when its caller has been told of a failure.
  it('refuses a statement of an open transaction when its timeout has passed, and not before', async () => {
    await fill();
    let result: SlotResult | undefined;
    const request = { organisation: undefined, weight: 1, priority: -1, isInTransaction: true };
    void gate.acquire({ ...request, maxEstimatedWaitMs: 100, waitMs: 100 }).then((ended) => {
      result = ended;
    });
    await advance(95);
    expect(result).toBeUndefined();
    await advance(10);
    expect(result).toMatchObject({ kind: 'timeout', cause: 'deadline' });
    expect(gate.pending).toBe(CONCURRENCY);
  });

  it('keeps a slot occupied until the reply of a slow member', async () => {
    // Its statements took 60 ms before.
    for (let round = 0; round < 20; round += 1) {
      const results = await fill();
      await advance(60);
      for (const result of results) if (result.kind === 'granted') result.release();
    }
    const slow = await fill();
    const next = acquire();
    await advance(270);
    expect(gate.pending).toBe(CONCURRENCY + 1);
    const [first] = slow;
    if (first?.kind === 'granted') first.release();
    expect((await next).kind).toBe('granted');
  });

  it('is not blocked by a slow member that stops replying', async () => {
    for (let round = 0; round < 20; round += 1) {
      const results = await fill();
      await advance(700);
      for (const result of results) if (result.kind === 'granted') result.release();
    }
    await fill();
    await advance(1999);
    expect(gate.pending).toBe(CONCURRENCY);
    await advance(2);
    expect(gate.pending).toBe(0);
  });

  it('learns from the late reply to a statement whose slot was released', async () => {
    const late = await fill();
    await advance(200);
    expect(gate.pending).toBe(0);
    await advance(100);
    for (const result of late) if (result.kind === 'granted') result.release();
    await fill();
    // 300 ms for each statement are known now.
    await advance(1000);
    expect(gate.pending).toBe(CONCURRENCY);
  });

  it('does not take lost replies for a slow member', async () => {
    const lost = await fill();
    await advance(500);
    for (const result of lost) if (result.kind === 'granted') result.release(false);
    await fill();
    await advance(200);
    expect(gate.pending).toBe(0);
  });
});
