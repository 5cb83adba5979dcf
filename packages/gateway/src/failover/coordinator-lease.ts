import {
  type Clock,
  computeClaimDelay,
  computeEraNumber,
  type InstanceId,
  type Milliseconds,
  toMilliseconds,
} from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { COORDINATOR_KEY, encodeRecord, ERA_KEY, formatCoordinator } from '../fleet/records.js';
import type {
  ControlStore,
  LeaseId,
  StoreEra,
  StoreRevision,
  StoreTransaction,
} from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';

/** The lease of a crashed coordinator expires after this; another instance can then claim it. */
export const LEASE_TTL_MS = toMilliseconds(3000);
const LEASE_RENEWAL_INTERVAL_MS = 900;
const STORE_CALL_TIMEOUT_MS = toMilliseconds(900);
/** The holder stops acting on the lease this long before it expires. */
const LEASE_SAFETY_MARGIN_MS = 500;
/** Interval at which an instance checks whether the fleet has a coordinator. */
const COORDINATOR_CHECK_INTERVAL_MS = 200;
/** Interval at which the coordinator checks whether its lease is void or must be renewed. */
const HELD_CHECK_INTERVAL_MS = 300;
const NEVER = toMilliseconds(0);

interface HeldLease {
  readonly id: LeaseId;
  /** Era of the store that granted it. */
  readonly era: StoreEra;
}

/**
 * Claims and renews the lease in the store that makes one instance at a time the coordinator, which
 * alone may change primaries.
 *
 * A store that has returned from an older copy may not know the lease, or may have given its id to
 * another instance. A lease is therefore void in every later era, and nobody claims another one before
 * the void one has expired for its holder too.
 */
export class CoordinatorLease {
  private held: HeldLease | undefined;

  private validUntil = NEVER;

  /** Until then the store grants the lease to no other instance, as long as it is not restored. */
  private grantedUntil = NEVER;

  /** When the lease was claimed, or its last renewal was sent. */
  private renewedAt = NEVER;

  /** Name under which this instance held the lease that the last change of era has voided. */
  private voidedName: string | undefined;

  /** Era for which `claimableAt` holds. */
  private claimEra: StoreEra | undefined;

  /** From when on no holder of an earlier era acts on its lease any more. */
  private claimableAt = NEVER;

  /** Orders that may not have arrived yet. */
  private ordersInFlight = 0;

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
    this.updateEra();
    const { held } = this;
    this.held = undefined;
    this.validUntil = NEVER;
    if (held !== undefined) await this.store.revokeLease(held.id, STORE_CALL_TIMEOUT_MS);
  }

  /** Whether this instance is certainly the coordinator now. */
  get isHeld(): boolean {
    return (
      this.held?.era === this.view.era &&
      this.view.isComplete &&
      this.clock.now() < this.validUntil &&
      this.isRecordedHolder
    );
  }

  /** Time for which the lease is certainly held, in milliseconds. */
  get remainingMs(): number {
    return this.isHeld ? this.validUntil - this.clock.now() : 0;
  }

  /** Fencing token: increases with each claim of the lease, in later eras of the store too. */
  get fencingToken(): number {
    return computeEraNumber(this.held?.era ?? 0, this.view.coordinator?.createdRevision ?? 0);
  }

  /** Condition for store transactions, which is met only while this instance is the coordinator. */
  get expectation(): { key: string; revision: StoreRevision } {
    return {
      key: COORDINATOR_KEY,
      revision: this.view.coordinator?.revision ?? (0 as StoreRevision),
    };
  }

  /** Whether this instance was the coordinator when the store returned from an older copy. */
  get wasHeldBefore(): boolean {
    this.updateEra();
    return this.voidedName !== undefined;
  }

  /**
   * Voids a lease of an earlier era, whether or not this instance has seen the later one itself.
   *
   * @param era - an era of the store that another instance has seen
   * @returns time for which orders that were sent under such a lease may take effect, in milliseconds
   */
  voidLeasesBefore(era: StoreEra): number {
    if (this.held !== undefined && this.held.era < era) this.voidLease();
    return this.held === undefined ? this.orderTtlMs : 0;
  }

  /**
   * Sends an order that only the coordinator may give. It is cancelled when the lease may have expired.
   *
   * @param send - sends the order with a fencing token and a timeout in milliseconds
   * @returns the result, or undefined if this instance is not the coordinator
   */
  async sendOrder<Result>(
    send: (fence: number, timeoutMs: number) => Promise<Result>,
  ): Promise<Result | undefined> {
    const { remainingMs } = this;
    if (remainingMs <= 0) return undefined;
    this.ordersInFlight += 1;
    try {
      return await send(this.fencingToken, remainingMs);
    } finally {
      this.ordersInFlight -= 1;
    }
  }

  /**
   * Allows this instance to claim the lease earlier than after the whole duration of a void one.
   *
   * @param era - the era for which this holds
   * @param at - when every holder of an earlier era has stopped to act
   */
  allowClaim(era: StoreEra, at: Milliseconds): void {
    this.updateEra();
    if (era !== this.claimEra) return;
    this.claimableAt = toMilliseconds(Math.min(this.claimableAt, at));
  }

  private get isRecordedHolder(): boolean {
    return this.held !== undefined && this.view.coordinator?.value.instance === this.holderName;
  }

  /** Contains the lease id, so that an earlier claim is not valid for a restarted process. */
  private get holderName(): string {
    return formatCoordinator(this.self, this.held?.id ?? ('' as LeaseId));
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      await delay(this.held === undefined ? COORDINATOR_CHECK_INTERVAL_MS : HELD_CHECK_INTERVAL_MS);
      this.updateEra();
      if (this.held === undefined) {
        if (this.mayClaim) await this.claim();
      } else if (this.clock.now() - this.renewedAt >= LEASE_RENEWAL_INTERVAL_MS) {
        await this.renew();
      }
    }
  }

  /** Voids the lease of an earlier era, and postpones claims until the leases of others are void. */
  private updateEra(): void {
    const { era, eraRecord, isComplete } = this.view;
    if (era === this.claimEra || era === undefined) return;
    const isFirst = this.claimEra === undefined;
    this.claimEra = era;
    if (this.held !== undefined && this.held.era !== era) this.voidLease();
    const isSettled = isFirst && isComplete && eraRecord?.value.hasCoordinator === true;
    const now = this.clock.now();
    // The store would not have granted another lease before the end of this instance's.
    const wasLastHolder = now < this.grantedUntil;
    if (isSettled) this.claimableAt = NEVER;
    else if (wasLastHolder) this.claimableAt = toMilliseconds(now + this.orderTtlMs);
    else this.claimableAt = toMilliseconds(now + LEASE_TTL_MS);
  }

  /** Time for which orders that are under way may take effect, in milliseconds. */
  private get orderTtlMs(): number {
    return this.ordersInFlight === 0 ? 0 : Math.max(0, this.validUntil - this.clock.now());
  }

  private voidLease(): void {
    this.log.warn('coordinator.lost', { reason: 'the store returned from an older copy' });
    this.voidedName = this.holderName;
    this.held = undefined;
  }

  private get mayClaim(): boolean {
    this.updateEra();
    if (!this.view.isComplete || this.clock.now() < this.claimableAt) return false;
    const { coordinator } = this.view;
    return coordinator === undefined || coordinator.value.instance === this.voidedName;
  }

  private async renew(): Promise<void> {
    const { held } = this;
    if (held === undefined || this.isStopped) return;
    const requestedAt = this.clock.now();
    this.renewedAt = requestedAt;
    const renewed = await this.store.renewLease(held.id, STORE_CALL_TIMEOUT_MS);
    // Voided meanwhile, or the id belongs to another lease in a later era.
    if (this.held !== held) return;
    const era = renewed.isOk() ? renewed.value : renewed.error.era;
    if (era !== undefined && era > held.era) {
      this.voidLease();
    } else if (renewed.isOk()) {
      this.extend(requestedAt);
    } else {
      const isReplaced = this.view.coordinator !== undefined && !this.isRecordedHolder;
      if (renewed.error.kind !== 'lease-lost' && !isReplaced) return;
      this.log.warn('coordinator.lost', { reason: renewed.error.reason });
      this.held = undefined;
      this.grantedUntil = NEVER;
    }
  }

  /** The lease runs from the arrival of the call, which is no earlier than when it was sent. */
  private extend(requestedAt: Milliseconds): void {
    this.grantedUntil = toMilliseconds(requestedAt + LEASE_TTL_MS);
    this.validUntil = toMilliseconds(this.grantedUntil - LEASE_SAFETY_MARGIN_MS);
  }

  private async claim(): Promise<void> {
    const { era } = this.view;
    const isOwn = this.view.coordinator !== undefined;
    if (!isOwn) {
      await delay(computeClaimDelay(this.self, this.view.instances.keys(), this.random()));
    }
    if (this.isStopped || !this.mayClaim) return;
    const requestedAt = this.clock.now();
    const granted = await this.store.grantLease(LEASE_TTL_MS, STORE_CALL_TIMEOUT_MS);
    if (granted.isErr() || !this.mayClaim) return;
    const { lease: id, era: leaseEra } = granted.value;
    if (leaseEra !== era || era !== this.view.era) return;
    this.held = { id, era };
    this.renewedAt = requestedAt;
    const written = await this.store.commit(this.createClaim(id, era), STORE_CALL_TIMEOUT_MS);
    if (written.isErr() || written.value.era !== era) {
      this.held = undefined;
      // If the store has applied the claim nevertheless, the record is removed with the lease. In
      // another era the id may belong to another lease.
      const seenEra = written.isOk() ? written.value.era : (written.error.era ?? this.view.era);
      if (seenEra === era) await this.store.revokeLease(id, STORE_CALL_TIMEOUT_MS);
      return;
    }
    this.voidedName = undefined;
    this.extend(requestedAt);
    this.log.info('coordinator.claimed', {
      instance: this.self,
      fence: computeEraNumber(era, written.value.revision),
      era,
    });
  }

  private createClaim(lease: LeaseId, era: StoreEra): StoreTransaction {
    const { eraRecord } = this.view;
    const claim = {
      key: COORDINATOR_KEY,
      value: encodeRecord({ instance: this.holderName }),
      lease,
    };
    if (eraRecord?.value.era === era && eraRecord.value.hasCoordinator) {
      return { expect: [this.expectation], puts: [claim], removes: [] };
    }
    const revision = eraRecord?.revision ?? (0 as StoreRevision);
    const value = encodeRecord({ era, hasCoordinator: true });
    return {
      expect: [this.expectation, { key: ERA_KEY, revision }],
      puts: [claim, { key: ERA_KEY, value, lease: undefined }],
      removes: [],
    };
  }
}
