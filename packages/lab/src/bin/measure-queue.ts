#!/usr/bin/env node
/**
 * Measures the time of one decision of the member queue beside that of the last version, at 42 members
 * and 140 organisations with full queues.
 */
import { performance } from 'node:perf_hooks';
import { MemberSlotQueue, type OrganisationId, toBrand, toMilliseconds } from '@heatherledge/core';
import { SeededRandom } from '../faults/random.js';
import { LastVersionQueue } from '../placement/baselines/last-version-queue.js';

const MEMBERS = 42;
const ORGANISATIONS = 140;
const SLOTS = 4;
const ROUNDS = 60_000;
const WARM_UP_ROUNDS = 20_000;
const QUEUES = {
  product: () => new MemberSlotQueue(SLOTS),
  'last version': () => new LastVersionQueue(SLOTS),
};

/** @returns times of a request and a release each, in microseconds, in ascending order */
function measure(name: keyof typeof QUEUES): number[] {
  const random = new SeededRandom(1);
  const queues = Array.from({ length: MEMBERS }, () => QUEUES[name]());
  const times: number[] = [];
  for (let round = 0; round < ROUNDS; round += 1) {
    const queue = queues[round % MEMBERS] as MemberSlotQueue | LastVersionQueue;
    const now = toMilliseconds(round / 20);
    const organisation = `o${random.pickInteger(0, ORGANISATIONS - 1)}`;
    const request = {
      organisation: toBrand<OrganisationId>(organisation),
      weight: 1,
      priority: random.pickInteger(0, 2),
      deadline: toMilliseconds(now + 60_000),
      maxEstimatedWaitMs: 60_000,
    };
    const startedAt = performance.now();
    queue.request(request, now);
    // Every fifth statement ends, so that the queues fill up.
    if (round % 5 === 0) queue.release(now);
    if (queue instanceof MemberSlotQueue) queue.takeRejected();
    if (round >= WARM_UP_ROUNDS) times.push((performance.now() - startedAt) * 1000);
  }
  return times.sort((left, right) => left - right);
}

for (const name of ['last version', 'product'] as const) {
  const times = measure(name);
  const [median, p99] = [0.5, 0.99].map((part) => times[Math.floor(times.length * part)] ?? 0);
  process.stdout.write(`${name}: median ${median?.toFixed(1)} us, p99 ${p99?.toFixed(1)} us\n`);
}
