import { type Clock, type GroupId, type InstanceId, toMilliseconds } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { PrimaryTracker } from '../members/primary-tracker.js';
import type { EventLog } from '../runtime/event-log.js';
import { requestUntil } from './request-until.js';

/** Instances that have not acknowledged the suspension by then are logged. */
const LOG_DELAY_MS = 300;

/** Services needed to suspend a primary on all instances. */
export interface PrimarySuspensionServices {
  readonly self: InstanceId;
  readonly clock: Clock;
  readonly view: Pick<FleetView, 'instances'>;
  readonly hub: Pick<PeerHub, 'request'>;
  readonly primaryTracker: Pick<PrimaryTracker, 'suspend'>;
  /** How long an instance relies on a confirmed record, in milliseconds. */
  readonly confirmationTtlMs: number;
  readonly log: Pick<EventLog, 'info'>;
}

/** Makes all instances stop using the primary of a group. */
export class PrimarySuspension {
  constructor(
    private readonly group: GroupId,
    private readonly services: PrimarySuspensionServices,
  ) {}

  /**
   * Waits until every instance has stopped using the old primary: the instance, or the process that was
   * started in its place, has acknowledged the suspension, or its confirmation of the old record has
   * expired. Called just after the record of the change was written.
   *
   * @param epoch - epoch of the change
   */
  async waitUntilSuspended(epoch: number): Promise<void> {
    const { group } = this;
    const { self, clock, view, hub, primaryTracker, log, confirmationTtlMs } = this.services;
    const writtenAt = clock.now();
    primaryTracker.suspend(group, epoch);
    const body = { kind: 'primary.suspend' as const, group, epoch };
    const until = toMilliseconds(writtenAt + confirmationTtlMs);
    const silent = new Set([...view.instances.keys()].filter((id) => id !== self));
    const logTimer = setTimeout(() => {
      const waitMs = Math.round(until - clock.now());
      log.info('primary.change.waiting', { group, silent: [...silent], waitMs });
    }, LOG_DELAY_MS);
    await Promise.all(
      [...silent].map(async (id) => {
        await requestUntil(hub, clock, id, body, 'done', until);
        silent.delete(id);
      }),
    );
    clearTimeout(logTimer);
  }
}
