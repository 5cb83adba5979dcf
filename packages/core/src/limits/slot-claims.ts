import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** The claim on one slot; stored in the platform. */
export interface SlotClaim {
  readonly holder: InstanceId;
  /** Distinguishes processes with the same instance id. */
  readonly incarnation: string;
  /** Changes with every renewal. */
  readonly renewal: number;
}

/** The claims on all slots, as stored in the platform. */
export interface SlotRecord {
  /** By slot number; null for an unclaimed slot. */
  readonly slots: readonly (SlotClaim | null)[];
}

/** Lease and polling periods. */
export interface ClaimTimings {
  /** Duration of a lease, counted from before its renewal was sent. */
  readonly leaseMs: Milliseconds;
  /** Interval between renewals of held claims. */
  readonly renewalIntervalMs: Milliseconds;
  /** Maximum interval between reads of the record, reached while its holders do not change. */
  readonly maxReadIntervalMs: Milliseconds;
  /** Interval until the next read after a change of holders; it doubles with every further read. */
  readonly minReadIntervalMs: Milliseconds;
  /** Time for which a newly claimed slot stays unused while its previous holder's loans expire. */
  readonly newSlotDelayMs: Milliseconds;
}

/** Leases are long, so that every holder keeps its share during a platform outage. */
export const DEFAULT_CLAIM_TIMINGS: ClaimTimings = {
  leaseMs: toMilliseconds(600_000),
  renewalIntervalMs: toMilliseconds(120_000),
  maxReadIntervalMs: toMilliseconds(60_000),
  minReadIntervalMs: toMilliseconds(1000),
  newSlotDelayMs: toMilliseconds(1100),
};

/**
 * Other instances consider a claim expired after this many times its lease, to allow for clock
 * drift.
 */
const OBSERVED_LEASE_FACTOR = 1.05;

/** A new record, to write by compare-and-swap with the record that was read. */
export interface ClaimWrite {
  readonly record: SlotRecord;
  /** Renewal number of the claims of this instance in the record. */
  readonly renewal: number;
}

/** A claim, and the time at which this instance first read it. */
interface Observation {
  readonly claim: SlotClaim;
  readonly firstSeenAt: Milliseconds;
}

/** Period in which this instance may use a slot that it holds. */
interface UsagePeriod {
  readonly validUntil: Milliseconds;
  readonly usableFrom: Milliseconds;
}

/**
 * One instance's claims on the slots into which every organisation's rate and every member's
 * connections are divided. The claims are kept in one record in the platform's store, which is
 * changed by compare-and-swap.
 *
 * Clocks of different instances are never compared: a holder counts its lease from before it sent
 * the renewal, and another instance takes a slot over only after it has itself observed the claim
 * without renewal for longer than the lease.
 */
export class SlotClaims {
  private record: SlotRecord | undefined;

  private observations = new Map<number, Observation>();

  private readonly usagePeriods = new Map<number, UsagePeriod>();

  /** Time at which each renewal of this instance was sent, by renewal number. */
  private readonly renewalsSentAt = new Map<number, Milliseconds>();

  private nextRenewal = 1;

  private renewedAt: Milliseconds | undefined;

  private currentHolders: ReadonlySet<InstanceId> = new Set();

  private isReleasing = false;

  private recordReadAt: Milliseconds | undefined;

  private readIntervalMs: number;

  /**
   * @param self - this instance
   * @param incarnation - identifies this process among those with the same instance id
   * @param timings - lease and polling periods
   */
  constructor(
    private readonly self: InstanceId,
    private readonly incarnation: string,
    private readonly timings: ClaimTimings,
  ) {
    this.readIntervalMs = timings.minReadIntervalMs;
  }

  /**
   * Applies the record as read from the platform, or as written to it.
   *
   * @param record - the claims on all slots
   * @param now - time at which the record was received
   */
  observe(record: SlotRecord, now: Milliseconds): void {
    this.record = record;
    this.recordReadAt = now;
    this.updateHoldersAndReadInterval(record);
    const next = new Map<number, Observation>();
    record.slots.forEach((claim, slot) => {
      if (claim === null) return;
      const known = this.observations.get(slot);
      const isSame = known !== undefined && isSameClaim(known.claim, claim);
      next.set(slot, isSame ? known : { claim, firstSeenAt: now });
    });
    this.observations = next;
    this.updateUsagePeriods(record, now);
  }

  /**
   * Checks whether to read the record: because the read interval is over or a write is due.
   *
   * @param liveInstances - number of instances that share the slots
   * @param now - current time
   * @returns whether to read the record
   */
  needsRead(liveInstances: number, now: Milliseconds): boolean {
    const { recordReadAt } = this;
    if (recordReadAt === undefined || now - recordReadAt >= this.readIntervalMs) return true;
    return this.createWrite(liveInstances, now) !== undefined;
  }

  /** Makes the next {@link needsRead} return true, because the last record read is outdated. */
  markRecordStale(): void {
    this.recordReadAt = undefined;
  }

  /**
   * Creates the next write: to claim, renew or release slots.
   *
   * @param liveInstances - number of instances that share the slots; affects only how evenly
   * they are divided
   * @param now - current time
   * @returns the write, or undefined if none is due
   */
  createWrite(liveInstances: number, now: Milliseconds): ClaimWrite | undefined {
    const { record } = this;
    if (record === undefined) return undefined;
    const renewal = this.nextRenewal;
    const wanted = this.chooseSlots(record, Math.max(1, liveInstances), now);
    const isIntervalOver = now - (this.renewedAt ?? -Infinity) >= this.timings.renewalIntervalMs;
    const isRenewalDue = isIntervalOver && wanted.size > 0;
    if (!isRenewalDue && this.hasExactClaims(record, wanted)) return undefined;
    const slots = record.slots.map((claim, slot) => {
      if (wanted.has(slot)) return { holder: this.self, incarnation: this.incarnation, renewal };
      return claim?.holder === this.self ? null : claim;
    });
    return { record: { slots }, renewal };
  }

  /**
   * Records that a write is about to be sent; if it succeeds, its lease counts from now.
   *
   * @param write - the write
   * @param now - time before sending
   */
  recordSentWrite(write: ClaimWrite, now: Milliseconds): void {
    this.renewalsSentAt.set(write.renewal, now);
    this.nextRenewal = write.renewal + 1;
    // Slots that the write releases must not be used any more, whether or not the write succeeds.
    write.record.slots.forEach((claim, slot) => {
      if (claim?.holder !== this.self) this.usagePeriods.delete(slot);
    });
  }

  /** Releases all slots with the next write. */
  releaseAll(): void {
    this.isReleasing = true;
  }

  /**
   * @param now - current time
   * @returns numbers of the slots that this instance may use now
   */
  listUsableSlots(now: Milliseconds): number[] {
    const usable: number[] = [];
    for (const [slot, period] of this.usagePeriods) {
      if (now >= period.usableFrom && now < period.validUntil) usable.push(slot);
    }
    return usable;
  }

  /** @returns total number of slots; 0 before the record has been read */
  get slotCount(): number {
    return this.record?.slots.length ?? 0;
  }

  /** @returns instances that hold slots by the record; the same set object until they change */
  get holders(): ReadonlySet<InstanceId> {
    return this.currentHolders;
  }

  private updateHoldersAndReadInterval(record: SlotRecord): void {
    const holders = new Set<InstanceId>();
    for (const claim of record.slots) if (claim !== null) holders.add(claim.holder);
    const known = this.currentHolders;
    const isSame = holders.size === known.size && [...holders].every((id) => known.has(id));
    if (!isSame) this.currentHolders = holders;
    const { minReadIntervalMs, maxReadIntervalMs } = this.timings;
    this.readIntervalMs = isSame
      ? Math.min(this.readIntervalMs * 2, maxReadIntervalMs)
      : minReadIntervalMs;
  }

  private updateUsagePeriods(record: SlotRecord, now: Milliseconds): void {
    record.slots.forEach((claim, slot) => {
      if (claim?.holder !== this.self || claim.incarnation !== this.incarnation) {
        this.usagePeriods.delete(slot);
        return;
      }
      const sentAt = this.renewalsSentAt.get(claim.renewal);
      if (sentAt === undefined) return;
      this.renewedAt = sentAt;
      const known = this.usagePeriods.get(slot);
      const hasExpired = known !== undefined && now >= known.validUntil;
      const usableFrom =
        known === undefined || hasExpired
          ? toMilliseconds(now + this.timings.newSlotDelayMs)
          : known.usableFrom;
      this.usagePeriods.set(slot, {
        validUntil: toMilliseconds(sentAt + this.timings.leaseMs),
        usableFrom,
      });
    });
  }

  private chooseSlots(record: SlotRecord, liveInstances: number, now: Milliseconds): Set<number> {
    if (this.isReleasing) return new Set();
    const total = record.slots.length;
    const maxSlots = Math.ceil(total / liveInstances);
    const minSlots = Math.floor(total / liveInstances);
    const ownSlots: number[] = [];
    const freeSlots: number[] = [];
    record.slots.forEach((claim, slot) => {
      if (claim?.holder === this.self) ownSlots.push(slot);
      else if (claim === null || this.hasLeaseExpired(slot, now)) freeSlots.push(slot);
    });
    const chosen = new Set(ownSlots.slice(0, maxSlots));
    const target = Math.max(minSlots, Math.min(maxSlots, chosen.size + freeSlots.length));
    for (const slot of freeSlots) if (chosen.size < target) chosen.add(slot);
    return chosen;
  }

  /** Checks whether this instance has observed a claim without renewal for longer than its lease. */
  private hasLeaseExpired(slot: number, now: Milliseconds): boolean {
    const observation = this.observations.get(slot);
    if (observation === undefined) return false;
    return now - observation.firstSeenAt >= this.timings.leaseMs * OBSERVED_LEASE_FACTOR;
  }

  /** Checks whether the record holds claims of this process on exactly the wanted slots. */
  private hasExactClaims(record: SlotRecord, wanted: ReadonlySet<number>): boolean {
    return record.slots.every((claim, slot) => {
      const isOwnProcess = claim?.holder === this.self && claim.incarnation === this.incarnation;
      const isOwnInstance = claim?.holder === this.self;
      return wanted.has(slot) ? isOwnProcess : !isOwnInstance;
    });
  }
}

/**
 * Creates the record for a new fleet.
 *
 * @param slotCount - number of slots
 * @returns a record in which no slot is claimed
 */
export function createSlotRecord(slotCount: number): SlotRecord {
  return { slots: new Array<null>(slotCount).fill(null) };
}

function isSameClaim(left: SlotClaim, right: SlotClaim): boolean {
  return (
    left.holder === right.holder &&
    left.incarnation === right.incarnation &&
    left.renewal === right.renewal
  );
}
