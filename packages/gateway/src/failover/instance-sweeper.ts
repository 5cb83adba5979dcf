import { type Clock, type InstanceId, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { formatInstanceKey } from '../fleet/records.js';
import type { ControlStore } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { CoordinatorLease } from './coordinator-lease.js';

const PING_INTERVAL_MS = 1000;
/** Far longer than a round trip between regions, which takes 24 ms. */
const PING_TIMEOUT_MS = 500;
/**
 * An instance that has not responded for this long is removed. If it is running but disconnected,
 * it has stopped serving by then, and registers again when it is connected.
 */
const UNRESPONSIVE_INSTANCE_TIMEOUT_MS = 9000;
const STORE_CALL_TIMEOUT_MS = toMilliseconds(900);

/**
 * Removes the records of instances that no longer respond. While such a record exists, the other
 * instances cannot use that instance's share of each rate, and every change of primary waits for
 * it. Runs on the coordinator.
 */
export class InstanceSweeper {
  private readonly unresponsiveSince = new Map<InstanceId, Milliseconds>();

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly view: FleetView,
    private readonly store: ControlStore,
    private readonly lease: CoordinatorLease,
    private readonly clock: Clock,
    private readonly log: EventLog,
  ) {
    hub.handle('peer.ping', () => ({ kind: 'done' }));
  }

  /** Starts to ping the other instances. */
  start(): void {
    this.timer = setInterval(() => void this.pingInstances(), PING_INTERVAL_MS);
  }

  /** Stops the pings. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async pingInstances(): Promise<void> {
    if (!this.lease.isHeld) {
      this.unresponsiveSince.clear();
      return;
    }
    const others = [...this.view.instances.keys()].filter((id) => id !== this.self);
    await Promise.all(others.map(async (id) => this.checkInstance(id)));
  }

  private async checkInstance(id: InstanceId): Promise<void> {
    const response = await this.hub.request(id, { kind: 'peer.ping' }, PING_TIMEOUT_MS);
    if (response !== undefined) {
      this.unresponsiveSince.delete(id);
      return;
    }
    const now = this.clock.now();
    const since = this.unresponsiveSince.get(id) ?? now;
    this.unresponsiveSince.set(id, since);
    if (now - since >= UNRESPONSIVE_INSTANCE_TIMEOUT_MS) await this.removeInstance(id);
  }

  private async removeInstance(id: InstanceId): Promise<void> {
    const record = this.view.instances.get(id);
    // A record that the store has lost is not removed from it; the view forgets it by itself.
    if (record === undefined || !this.lease.isHeld || !this.view.isRegistered(id)) return;
    const key = formatInstanceKey(id);
    const removed = await this.store.commit(
      {
        expect: [this.lease.expectation, { key, revision: record.revision }],
        puts: [],
        removes: [key],
      },
      STORE_CALL_TIMEOUT_MS,
    );
    this.unresponsiveSince.delete(id);
    if (removed.isErr()) {
      this.log.warn('instance.not-removed', { id, reason: removed.error.reason });
    } else this.log.info('instance.removed', { id });
  }
}
