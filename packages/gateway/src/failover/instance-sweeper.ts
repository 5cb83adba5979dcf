/** Removes the records of instances that are gone for good. */
import { type Clock, type InstanceId, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { formatInstanceKey } from '../fleet/records.js';
import type { ControlStore } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { CoordinatorLease } from './coordinator-lease.js';

/** How often the coordinator asks every instance whether it lives. */
const PING_EVERY_MS = 1000;
/** Time for an answer; a round trip between regions takes 24 ms. */
const PING_TIMEOUT_MS = 500;
/**
 * An instance that answered nothing for this long is removed. One that lives and is merely cut off
 * has stopped serving by then, and registers again.
 */
const GONE_AFTER_MS = 9000;
/** Time for a call of the store. */
const CALL_TIMEOUT_MS = toMilliseconds(900);

/**
 * Runs on the coordinator. A record of an instance that is gone would keep its share of every rate
 * from the others, and make each change of primary wait for it.
 */
export class InstanceSweeper {
  private readonly silentSince = new Map<InstanceId, Milliseconds>();

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

  /** Begins to ask. */
  start(): void {
    this.timer = setInterval(() => void this.step(), PING_EVERY_MS);
  }

  /** Asks no more. */
  stop(): void {
    clearInterval(this.timer);
  }

  private async step(): Promise<void> {
    if (!this.lease.isHeld) {
      this.silentSince.clear();
      return;
    }
    const others = [...this.view.instances.keys()].filter((id) => id !== this.self);
    await Promise.all(others.map(async (id) => this.check(id)));
  }

  private async check(id: InstanceId): Promise<void> {
    const answer = await this.hub.ask(id, { kind: 'peer.ping' }, PING_TIMEOUT_MS);
    if (answer !== undefined) {
      this.silentSince.delete(id);
      return;
    }
    const now = this.clock.now();
    const since = this.silentSince.get(id) ?? now;
    this.silentSince.set(id, since);
    if (now - since >= GONE_AFTER_MS) await this.remove(id);
  }

  private async remove(id: InstanceId): Promise<void> {
    const record = this.view.instances.get(id);
    if (record === undefined || !this.lease.isHeld) return;
    const key = formatInstanceKey(id);
    const removed = await this.store.commit(
      {
        expect: [this.lease.expectation, { key, revision: record.revision }],
        puts: [],
        removes: [key],
      },
      CALL_TIMEOUT_MS,
    );
    this.silentSince.delete(id);
    if (removed.isErr()) {
      this.log.warn('instance.not-removed', { id, reason: removed.error.reason });
    } else this.log.info('instance.removed', { id });
  }
}
