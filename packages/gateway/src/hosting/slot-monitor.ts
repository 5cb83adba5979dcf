import type { MemberId } from '@heatherledge/core';
import type { MemberRegistry } from '../members/member-registry.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { OverloadRejection, SlotObserver } from './slot-rejections.js';

/** Classes above this share a label, so that settings cannot create any number of time series. */
const MAX_CLASS_LABEL = 9;

/** Counts and logs what happens to requests at the queues of the members that this instance hosts. */
export class SlotMonitor implements SlotObserver {
  constructor(
    private readonly memberRegistry: MemberRegistry,
    private readonly metrics: GatewayMetrics,
    private readonly log: EventLog,
  ) {}

  onAdmitted(priority: number, waitMs: number): void {
    this.metrics.slotWaitSeconds.observe({ class: formatClass(priority) }, waitMs / 1000);
  }

  onRejected(member: MemberId, priority: number, rejection: OverloadRejection): void {
    const { cause, waiting, estimatedWaitMs, retryAfterMs } = rejection;
    this.metrics.slotRejections.inc({ class: formatClass(priority), cause });
    if (waiting !== undefined) {
      this.metrics.slotQueueLength.observe({ class: formatClass(priority), cause }, waiting);
    }
    // The log itself limits the lines of an event in a second, and counts those beyond.
    this.log.info('slot.rejected', {
      member,
      group: this.memberRegistry.findEntry(member)?.group,
      class: priority,
      cause,
      waiting,
      estimatedWaitMs: estimatedWaitMs === undefined ? undefined : Math.round(estimatedWaitMs),
      retryAfterMs: Math.round(retryAfterMs),
    });
  }
}

/** Statements of open transactions have a class of their own, ahead of the most urgent one. */
function formatClass(priority: number): string {
  if (priority < 0) return 'transaction';
  return priority <= MAX_CLASS_LABEL ? String(Math.trunc(priority)) : 'other';
}
