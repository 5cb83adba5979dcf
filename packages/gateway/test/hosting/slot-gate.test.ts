import { ManualClock, type OrganisationId, toBrand } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { SlotGate, type SlotResult } from '../../src/index.js';

const SLOTS = 2;
/** Statements that a gate lets through at the same time. */
const CONCURRENCY = SLOTS + 1;
const PATIENCE_MS = 280;
const TIMEOUT_MS = 800;

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
    expect(await waiting).toEqual({ kind: 'overloaded', retryAfterMs: PATIENCE_MS });
  });
});
