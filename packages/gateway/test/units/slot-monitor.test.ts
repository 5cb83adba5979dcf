import { ManualClock, type MemberId, toBrand } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import {
  createOverloadRefusal,
  EventLog,
  GatewayMetrics,
  type MemberRegistry,
  type OverloadRejection,
  SlotMonitor,
} from '../../src/index.js';

const MEMBER = toBrand<MemberId>('m1');
const REJECTION: OverloadRejection = {
  kind: 'overloaded',
  cause: 'displaced',
  retryAfterMs: 120.4,
  waiting: 192,
  estimatedWaitMs: 399.6,
};

describe('SlotMonitor', () => {
  function create() {
    const lines: Record<string, unknown>[] = [];
    const write = (line: string): void => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    };
    const metrics = new GatewayMetrics();
    const registry = { findEntry: () => ({ group: 'g' }) } as unknown as MemberRegistry;
    const log = new EventLog(new ManualClock(1000), { write });
    return { lines, metrics, monitor: new SlotMonitor(registry, metrics, log) };
  }

  it('names member, group, class, cause, queue length and estimate of a rejection', async () => {
    const { lines, metrics, monitor } = create();
    monitor.onRejected(MEMBER, 2, REJECTION);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toMatchObject({
      event: 'slot.rejected',
      member: 'm1',
      group: 'g',
      class: 2,
      cause: 'displaced',
      waiting: 192,
      estimatedWaitMs: 400,
      retryAfterMs: 120,
    });
    expect(await metrics.registry.metrics()).toContain(
      'heatherledge_gateway_slot_rejections_total{class="2",cause="displaced"} 1',
    );
  });

  // Guards against a log and metrics that grow with the overload.
  it('writes a bounded number of lines, and counts every rejection under few labels', async () => {
    const { lines, metrics, monitor } = create();
    for (let priority = 0; priority < 1000; priority += 1) {
      monitor.onRejected(MEMBER, priority, REJECTION);
      monitor.onAdmitted(priority, 10);
    }
    expect(lines.length).toBeLessThanOrEqual(20);
    const { values } = await metrics.slotRejections.get();
    expect(values).toHaveLength(11);
    expect(values.reduce((sum, { value }) => sum + value, 0)).toBe(1000);
  });
});

describe('createOverloadRefusal', () => {
  it('names a time of at least the estimate and at most half as much again', () => {
    const texts = [0, 0.999].map((value) => createOverloadRefusal(REJECTION, () => value).text);
    expect(texts[0]).toMatch(/retry after 120 ms$/);
    expect(texts[1]).toMatch(/retry after 181 ms$/);
  });
});
