/**
 * Claims on the slots into which every organisation's rate, and every member's connections, are
 * divided. Claims are kept in one record of the platform's store, changed by compare-and-swap.
 *
 * No clocks are compared: a holder counts its lease from before it sent the renewal, and another
 * instance takes a slot only after it has itself watched the claim stand unrenewed for longer.
 */
import type { InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** One slot's claim. */
export interface SlotClaim {
  readonly holder: InstanceId;
  /** Distinguishes processes that bear the same instance id. */
  readonly incarnation: string;
  /** Changes with every renewal. */
  readonly renewal: number;
}

/** All claims, as kept by the platform. */
export interface SlotRecord {
  readonly slots: readonly (SlotClaim | null)[];
}

/** Periods of claiming. */
export interface ClaimTimings {
  readonly leaseMs: Milliseconds;
  readonly renewEveryMs: Milliseconds;
  /** While nothing changes, the record is read this often only. */
  readonly readEveryMs: Milliseconds;
  /** After a change the record is read this soon again, and then ever more rarely. */
  readonly firstReadMs: Milliseconds;
  /** New slots stay unused for this long, until loans made by an earlier holder have lapsed. */
  readonly settleMs: Milliseconds;
}

/** Long leases, so that an outage of the platform leaves every holder with its part. */
export const DEFAULT_CLAIM_TIMINGS: ClaimTimings = {
  leaseMs: toMilliseconds(600_000),
  renewEveryMs: toMilliseconds(120_000),
  readEveryMs: toMilliseconds(60_000),
  firstReadMs: toMilliseconds(1000),
  settleMs: toMilliseconds(1100),
};

/** How much longer than the lease an observer waits, for clocks that drift. */
const OBSERVER_FACTOR = 1.05;

/** A change to write if the record is still the one that was read. */
export interface ClaimWrite {
  readonly record: SlotRecord;
  readonly renewal: number;
}

interface Observation {
  readonly claim: SlotClaim;
  readonly since: Milliseconds;
}

interface Holding {
  readonly validUntil: Milliseconds;
  readonly usableFrom: Milliseconds;
}

/** One instance's side of the claims. */
export class SlotClaims {
  private record: SlotRecord | undefined;

  private observations = new Map<number, Observation>();

  private readonly holdings = new Map<number, Holding>();

  /** When each of our renewals was sent. */
  private readonly sentAt = new Map<number, Milliseconds>();

  private nextRenewal = 1;

  private renewedAt: Milliseconds | undefined;

  private knownHolders: ReadonlySet<InstanceId> = new Set();

  private releasing = false;

  private observedAt: Milliseconds | undefined;

  private readAfterMs: number;

  /**
   * @param self - this instance
   * @param incarnation - this process
   * @param timings - periods of claiming
   */
  constructor(
    private readonly self: InstanceId,
    private readonly incarnation: string,
    private readonly timings: ClaimTimings,
  ) {
    this.readAfterMs = timings.firstReadMs;
  }

  /**
   * Takes the record as read from the platform.
   *
   * @param record - all claims
   * @param now - moment at which it was received
   */
  observe(record: SlotRecord, now: Milliseconds): void {
    this.record = record;
    this.observedAt = now;
    this.updateHolders(record);
    const next = new Map<number, Observation>();
    record.slots.forEach((claim, slot) => {
      if (claim === null) return;
      const known = this.observations.get(slot);
      const same = known !== undefined && isSameClaim(known.claim, claim);
      next.set(slot, same ? known : { claim, since: now });
    });
    this.observations = next;
    this.adoptOwn(record, now);
  }

  /**
   * Tells whether the record should be read, because it may have changed or is to be changed.
   *
   * @param liveInstances - instances among which slots are shared
   * @param now - present moment
   * @returns whether to read it
   */
  needsRead(liveInstances: number, now: Milliseconds): boolean {
    const { observedAt } = this;
    if (observedAt === undefined || now - observedAt >= this.readAfterMs) return true;
    return this.propose(liveInstances, now) !== undefined;
  }

  /** Makes the next {@link needsRead} true, since the record is known to have changed. */
  forgetRecord(): void {
    this.observedAt = undefined;
  }

  /**
   * Decides what to write next.
   *
   * @param liveInstances - instances among which slots are shared; affects balance only
   * @param now - present moment
   * @returns the change to write, or undefined if none is due
   */
  propose(liveInstances: number, now: Milliseconds): ClaimWrite | undefined {
    const { record } = this;
    if (record === undefined) return undefined;
    const renewal = this.nextRenewal;
    const wanted = this.chooseSlots(record, Math.max(1, liveInstances), now);
    const isLate = now - (this.renewedAt ?? -Infinity) >= this.timings.renewEveryMs;
    const due = isLate && wanted.size > 0;
    if (!due && this.matches(record, wanted)) return undefined;
    const slots = record.slots.map((claim, slot) => {
      if (wanted.has(slot)) return { holder: this.self, incarnation: this.incarnation, renewal };
      return claim?.holder === this.self ? null : claim;
    });
    return { record: { slots }, renewal };
  }

  /**
   * Notes that a write is being sent; its lease counts from now if it takes effect.
   *
   * @param write - what is sent
   * @param now - moment before sending
   */
  noteSent(write: ClaimWrite, now: Milliseconds): void {
    this.sentAt.set(write.renewal, now);
    this.nextRenewal = write.renewal + 1;
    // Slots that the write gives up must not be used any more, whatever becomes of the write.
    write.record.slots.forEach((claim, slot) => {
      if (claim?.holder !== this.self) this.holdings.delete(slot);
    });
  }

  /** Gives up all slots with the next write. */
  release(): void {
    this.releasing = true;
  }

  /**
   * @param now - present moment
   * @returns slots that this instance may use now
   */
  resolveOwned(now: Milliseconds): number[] {
    const owned: number[] = [];
    for (const [slot, holding] of this.holdings) {
      if (now >= holding.usableFrom && now < holding.validUntil) owned.push(slot);
    }
    return owned;
  }

  /** @returns how many slots there are; 0 before the record is known */
  get slotCount(): number {
    return this.record?.slots.length ?? 0;
  }

  /** @returns every instance that holds a slot by the record; the same set until that changes */
  get holders(): ReadonlySet<InstanceId> {
    return this.knownHolders;
  }

  private updateHolders(record: SlotRecord): void {
    const holders = new Set<InstanceId>();
    for (const claim of record.slots) if (claim !== null) holders.add(claim.holder);
    const known = this.knownHolders;
    const isSame = holders.size === known.size && [...holders].every((id) => known.has(id));
    if (!isSame) this.knownHolders = holders;
    const { firstReadMs, readEveryMs } = this.timings;
    this.readAfterMs = isSame ? Math.min(this.readAfterMs * 2, readEveryMs) : firstReadMs;
  }

  private adoptOwn(record: SlotRecord, now: Milliseconds): void {
    record.slots.forEach((claim, slot) => {
      if (claim?.holder !== this.self || claim.incarnation !== this.incarnation) {
        this.holdings.delete(slot);
        return;
      }
      const sentAt = this.sentAt.get(claim.renewal);
      if (sentAt === undefined) return;
      this.renewedAt = sentAt;
      const known = this.holdings.get(slot);
      const lapsed = known !== undefined && now >= known.validUntil;
      const usableFrom =
        known === undefined || lapsed
          ? toMilliseconds(now + this.timings.settleMs)
          : known.usableFrom;
      this.holdings.set(slot, {
        validUntil: toMilliseconds(sentAt + this.timings.leaseMs),
        usableFrom,
      });
    });
  }

  private chooseSlots(record: SlotRecord, live: number, now: Milliseconds): Set<number> {
    if (this.releasing) return new Set();
    const total = record.slots.length;
    const most = Math.ceil(total / live);
    const least = Math.floor(total / live);
    const mine: number[] = [];
    const free: number[] = [];
    record.slots.forEach((claim, slot) => {
      if (claim?.holder === this.self) mine.push(slot);
      else if (claim === null || this.hasLapsed(slot, now)) free.push(slot);
    });
    const chosen = new Set(mine.slice(0, most));
    const target = Math.max(least, Math.min(most, chosen.size + free.length));
    for (const slot of free) if (chosen.size < target) chosen.add(slot);
    return chosen;
  }

  private hasLapsed(slot: number, now: Milliseconds): boolean {
    const observation = this.observations.get(slot);
    if (observation === undefined) return false;
    return now - observation.since >= this.timings.leaseMs * OBSERVER_FACTOR;
  }

  private matches(record: SlotRecord, wanted: ReadonlySet<number>): boolean {
    return record.slots.every((claim, slot) => {
      const isMine = claim?.holder === this.self && claim.incarnation === this.incarnation;
      const isNamed = claim?.holder === this.self;
      return wanted.has(slot) ? isMine : !isNamed;
    });
  }
}

/**
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
