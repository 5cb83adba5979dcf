import {
  type Clock,
  computeClaimDelay,
  type InstanceId,
  type Milliseconds,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { COORDINATOR_KEY, encodeRecord } from '../fleet/records.js';
import type { ControlStore, LeaseId, StoreRevision } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';

/** The lease of a crashed coordinator expires after this; another instance can then claim it. */
const LEASE_TTL_MS = toMilliseconds(3000);
const LEASE_RENEWAL_INTERVAL_MS = 900;
const STORE_CALL_TIMEOUT_MS = toMilliseconds(900);
/** The holder stops acting on the lease this long before it expires. */
const LEASE_SAFETY_MARGIN_MS = 500;
/** Interval at which an instance checks whether the fleet has a coordinator. */
const COORDINATOR_CHECK_INTERVAL_MS = 200;

/**
 * Claims and renews the lease in the store that makes one instance at a time the coordinator, which
 * alone may change primaries.
 */
export class CoordinatorLease {
  private leaseId: LeaseId | undefined;

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

  /** Starts to claim the lease and to renew it. */
  start(): void {
    void this.run();
  }

  /** Stops claims and renewals, and releases the lease if it is held. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const { leaseId } = this;
    this.leaseId = undefined;
    this.validUntil = toMilliseconds(0);
    if (leaseId !== undefined) await this.store.revokeLease(leaseId, STORE_CALL_TIMEOUT_MS);
  }

  /** Whether this instance is certainly the coordinator now. */
  get isHeld(): boolean {
    return (
      this.leaseId !== undefined && this.clock.now() < this.validUntil && this.isRecordedHolder
    );
  }

  /** Time for which the lease is certainly held, in milliseconds. */
  get remainingMs(): number {
    return this.isHeld ? this.validUntil - this.clock.now() : 0;
  }

  /** Fencing token: increases with each claim of the lease. */
  get fencingToken(): number {
    return this.view.coordinator?.createdRevision ?? 0;
  }

  /** Condition for store transactions, which is met only while this instance is the coordinator. */
  get expectation(): { key: string; revision: StoreRevision } {
    return {
      key: COORDINATOR_KEY,
      revision: this.view.coordinator?.revision ?? (0 as StoreRevision),
    };
  }

  private get isRecordedHolder(): boolean {
    return this.view.coordinator?.value.instance === this.holderName;
  }

  /** Contains the lease id, so that an earlier claim is not valid for a restarted process. */
  private get holderName(): string {
    return `${this.self}/${this.leaseId ?? ''}`;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      if (this.leaseId !== undefined) {
        await delay(LEASE_RENEWAL_INTERVAL_MS);
        await this.renew();
      } else {
        await delay(COORDINATOR_CHECK_INTERVAL_MS);
        if (this.view.coordinator === undefined) await this.claim();
      }
    }
  }

  private async renew(): Promise<void> {
    const { leaseId } = this;
    if (leaseId === undefined || this.isStopped) return;
    const requestedAt = this.clock.now();
    const renewed = await this.store.renewLease(leaseId, STORE_CALL_TIMEOUT_MS);
    if (renewed.isOk()) {
      this.validUntil = toMilliseconds(requestedAt + LEASE_TTL_MS - LEASE_SAFETY_MARGIN_MS);
      return;
    }
    const isLost =
      renewed.error.kind === 'lease-lost' ||
      (this.view.coordinator !== undefined && !this.isRecordedHolder);
    if (!isLost) return;
    this.log.warn('coordinator.lost', { reason: renewed.error.reason });
    this.leaseId = undefined;
  }

  private async claim(): Promise<void> {
    await delay(computeClaimDelay(this.self, this.view.instances.keys(), this.random()));
    if (this.isStopped || this.view.coordinator !== undefined) return;
    const requestedAt = this.clock.now();
    const granted = await this.store.grantLease(LEASE_TTL_MS, STORE_CALL_TIMEOUT_MS);
    if (granted.isErr() || this.view.coordinator !== undefined) return;
    const { lease } = granted.value;
    this.leaseId = lease;
    const value = encodeRecord({ instance: this.holderName });
    const written = await this.store.commit(
      {
        expect: [{ key: COORDINATOR_KEY, revision: 0 as StoreRevision }],
        puts: [{ key: COORDINATOR_KEY, value, lease }],
        removes: [],
      },
      STORE_CALL_TIMEOUT_MS,
    );
    if (written.isErr()) {
      // If the store has applied the claim nevertheless, the record is removed with the lease.
      this.leaseId = undefined;
      await this.store.revokeLease(lease, STORE_CALL_TIMEOUT_MS);
      return;
    }
    this.validUntil = toMilliseconds(requestedAt + LEASE_TTL_MS - LEASE_SAFETY_MARGIN_MS);
    this.log.info('coordinator.claimed', {
      instance: this.self,
      fence: written.value.revision,
      era: written.value.era,
    });
  }
}
