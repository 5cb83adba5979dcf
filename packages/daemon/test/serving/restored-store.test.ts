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

/** Connects once, and returns the code of the error, or `accepted` if there is none. */
async function tryKey(instance: number, password: string): Promise<string> {
  const user = password === 'key-slow' ? 'slow' : 'one';
  try {
    const caller = await fleet.connect(instance, { user, password });
    await caller.end();
    return 'accepted';
  } catch (error) {
    return (error as { code?: string }).code ?? String(error);
  }
}

/** Connects again and again, and returns the outcome of the last attempt: the key was refused, or time is up. */
async function waitForRefusal(instance: number, password: string): Promise<string> {
  const deadline = Date.now() + MAX_WITHDRAWAL_MS;
  let outcome = await tryKey(instance, password);
  while (outcome !== INVALID_KEY && Date.now() < deadline) {
    await sleep(50);
    outcome = await tryKey(instance, password);
  }
  return outcome;
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
    expect(await waitForRefusal(1, 'key-one-2')).toBe(INVALID_KEY);
    fleet.platform.restore(backup);
    await sleep(3000);
    for (const instance of [0, 1]) {
      expect(await tryKey(instance, 'key-one-2')).toBe(INVALID_KEY);
    }
    expect(await changeSettings('teams/a/keys/slow')).toBe(200);
    for (const instance of [0, 1]) {
      expect(await waitForRefusal(instance, 'key-slow')).toBe(INVALID_KEY);
    }
    for (const instance of [0, 1]) {
      expect(await tryKey(instance, 'key-one-2')).toBe(INVALID_KEY);
    }
    const caller = await fleet.connect(1);
    expect((await caller.query('SELECT 1 AS one')).rows).toEqual([{ one: 1 }]);
    await caller.end();
  });
});
