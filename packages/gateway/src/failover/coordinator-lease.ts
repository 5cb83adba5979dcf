/** Holds the right to change primaries: one instance at a time, by a lease in the store. */
import { type Clock, type InstanceId, type Milliseconds, toMilliseconds } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { COORDINATOR_KEY, encodeRecord } from '../fleet/records.js';
import type { ControlStore, LeaseId, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';

/** Life of the lease: a coordinator that died is replaced after this. */
const LEASE_MS = toMilliseconds(3000);
/** How often it is renewed. */
const RENEW_MS = 900;
/** Time for one call. */
const CALL_TIMEOUT_MS = toMilliseconds(900);
/** The holder acts on the lease only for this much less than its life. */
const SAFETY_MS = 500;
/** How often an instance looks whether the right is free. */
const LOOK_MS = 200;
/** Random pause before claiming it, so that not all instances call at once. */
const CLAIM_SPREAD_MS = 300;

/** Claims and renews the right. */
export class CoordinatorLease {
  private lease: LeaseId | undefined;

  private validUntil: Milliseconds = toMilliseconds(0);

  private isStopped = false;

  constructor(
    private readonly self: InstanceId,
    private readonly store: ControlStore,
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly log: EventLog,
  ) {}

  /** Begins to claim and renew. */
  start(): void {
    void this.run();
  }

  /** Gives the right back. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const { lease } = this;
    this.lease = undefined;
    this.validUntil = toMilliseconds(0);
    if (lease !== undefined) await this.store.endLease(lease, CALL_TIMEOUT_MS);
  }

  /** @returns whether this instance certainly holds the right now */
  get isHeld(): boolean {
    return this.lease !== undefined && this.clock.now() < this.validUntil && this.isListed;
  }

  /** @returns how long it is certainly held, in milliseconds */
  get remainingMs(): number {
    return this.isHeld ? this.validUntil - this.clock.now() : 0;
  }

  /** @returns a number that rises whenever another instance takes the right */
  get fence(): number {
    return this.view.coordinator?.createdRevision ?? 0;
  }

  /** @returns condition under which this instance still holds the right */
  get expectation(): { key: string; revision: StoreRevision } {
    return {
      key: COORDINATOR_KEY,
      revision: this.view.coordinator?.revision ?? (0 as StoreRevision),
    };
  }

  private get isListed(): boolean {
    return this.view.coordinator?.value.instance === this.holderName;
  }

  /** Differs from life to life of the process, so that a restarted one does not take its own for valid. */
  private get holderName(): string {
    return `${this.self}/${this.lease ?? ''}`;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.lease !== undefined) {
        await delay(RENEW_MS);
        await this.renew();
      } else {
        await delay(LOOK_MS);
        if (this.view.coordinator === undefined) await this.claim();
      }
    }
  }

  private async renew(): Promise<void> {
    const { lease } = this;
    if (lease === undefined || this.isStopped) return;
    const askedAt = this.clock.now();
    const kept = await this.store.keepLease(lease, CALL_TIMEOUT_MS);
    if (kept.isOk()) {
      this.validUntil = toMilliseconds(askedAt + LEASE_MS - SAFETY_MS);
      return;
    }
    const isLost =
      kept.error.kind === 'lease-lost' || (this.view.coordinator !== undefined && !this.isListed);
    if (!isLost) return;
    this.log.warn('coordinator.lost', { reason: kept.error.reason });
    this.lease = undefined;
  }

  private async claim(): Promise<void> {
    await delay(this.random() * CLAIM_SPREAD_MS);
    if (this.isStopped || this.view.coordinator !== undefined) return;
    const askedAt = this.clock.now();
    const granted = await this.store.grantLease(LEASE_MS, CALL_TIMEOUT_MS);
    if (granted.isErr() || this.view.coordinator !== undefined) return;
    this.lease = granted.value;
    const value = encodeRecord({ instance: this.holderName });
    const written = await this.store.commit(
      {
        expect: [{ key: COORDINATOR_KEY, revision: 0 as StoreRevision }],
        puts: [{ key: COORDINATOR_KEY, value, lease: granted.value }],
        removes: [],
      },
      CALL_TIMEOUT_MS,
    );
    if (written.isErr()) {
      // If the claim was carried out all the same, the record ends with the lease.
      this.lease = undefined;
      await this.store.endLease(granted.value, CALL_TIMEOUT_MS);
      return;
    }
    this.validUntil = toMilliseconds(askedAt + LEASE_MS - SAFETY_MS);
    this.log.info('coordinator.claimed', { instance: this.self, fence: written.value });
  }
}
