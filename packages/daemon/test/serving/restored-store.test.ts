import { afterAll, beforeAll, describe, expect, it } from 'vitest';
import { SmallFleet } from '../fixtures/small-fleet.js';

const fleet = new SmallFleet(22_000, 2);
/** Code of the error that a caller with an unknown key gets. */
const INVALID_KEY = '28P01';
/** The promise: a withdrawn key stops within this time. */
const MAX_WITHDRAWAL_MS = 5000;

beforeAll(async () => fleet.start());
afterAll(() => fleet.stop());

async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Connects again and again, and returns whether the key was refused in time. */
async function isRefusedWithin(ms: number, instance: number, password: string): Promise<boolean> {
  const user = password === 'key-slow' ? 'slow' : 'one';
  const deadline = Date.now() + ms;
  while (Date.now() < deadline) {
    try {
      const caller = await fleet.connect(instance, { user, password });
      await caller.end();
    } catch (error) {
      if ((error as { code?: string }).code === INVALID_KEY) return true;
    }
    await sleep(50);
  }
  return false;
}

/** @returns status of the response; without a value the path is deleted */
async function changeSettings(path: string, value?: object): Promise<number> {
  const response = await fleet.callAdmin(0, '/v1/settings', { changes: [{ path, value }] });
  return response.status;
}

describe('a platform whose store is restored from a backup', () => {
  it('does not bring back a key whose withdrawal it has lost, nor hide the next withdrawal', async () => {
    const backup = fleet.platform.store.takeSnapshot();
    // Raises the revision that the fleet knows well above that of the backup.
    for (let burst = 1; burst <= 20; burst += 1) {
      await changeSettings('teams/a/organisations/slow', { requestsPerSecond: 1, burst });
    }
    expect(await changeSettings('teams/a/keys/one-2')).toBe(200);
    expect(await isRefusedWithin(MAX_WITHDRAWAL_MS, 1, 'key-one-2')).toBe(true);
    fleet.platform.restore(backup);
    await sleep(3000);
    for (const instance of [0, 1]) {
      expect(await isRefusedWithin(1, instance, 'key-one-2')).toBe(true);
    }
    expect(await changeSettings('teams/a/keys/slow')).toBe(200);
    for (const instance of [0, 1]) {
      expect(await isRefusedWithin(MAX_WITHDRAWAL_MS, instance, 'key-slow')).toBe(true);
    }
    for (const instance of [0, 1]) {
      expect(await isRefusedWithin(1, instance, 'key-one-2')).toBe(true);
    }
    const caller = await fleet.connect(1);
    expect((await caller.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
    await caller.end();
  });
});
