import {
  type ClaimTimings,
  type Clock,
  createSlotRecord,
  type InstanceId,
  type SlotRecord,
  SlotClaims,
} from '@heatherledge/core';
import type { PlatformPort } from '../platform/platform-port.js';
import { delay } from '../runtime/system-clock.js';

const SLOTS_KEY = '/heatherledge/slots';
/** Number of slots into which every rate is divided; it cannot be changed for an existing fleet. */
const SLOT_COUNT = 64;
/** Mean interval of steps; each is varied at random by up to a quarter. */
const STEP_INTERVAL_MS = 1000;

/** Claims slots for this instance, and renews the claims in the platform's store. */
export class SlotsTask {
  private readonly claims: SlotClaims;

  private isStopped = false;

  private liveInstanceCount = 1;

  private modRevision = 0;

  constructor(
    self: InstanceId,
    incarnation: string,
    timings: ClaimTimings,
    private readonly platform: PlatformPort,
    private readonly clock: Clock,
    private readonly random: () => number,
    private readonly onChange: () => void,
  ) {
    this.claims = new SlotClaims(self, incarnation, timings);
  }

  /** Starts to claim and renew slots. */
  start(): void {
    void this.run();
  }

  /** Stops without releasing the slots; their leases expire. */
  stop(): void {
    this.isStopped = true;
  }

  /** Stops and releases all slots; to be called after loans by this instance have expired. */
  async release(): Promise<void> {
    this.isStopped = true;
    this.claims.releaseAll();
    await this.step();
  }

  /** @param count - number of instances that share the slots */
  setLiveInstanceCount(count: number): void {
    if (count !== this.liveInstanceCount) this.claims.markRecordStale();
    this.liveInstanceCount = count;
  }

  /** @returns slots that this instance may use now */
  get owned(): number[] {
    return this.claims.listUsableSlots(this.clock.now());
  }

  /** @returns total number of slots */
  get slotCount(): number {
    return this.claims.slotCount;
  }

  /** @returns instances that hold slots */
  get holders(): ReadonlySet<InstanceId> {
    return this.claims.holders;
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      await this.step();
      this.onChange();
      await delay(STEP_INTERVAL_MS * (0.75 + this.random() / 2));
    }
  }

  private async step(): Promise<void> {
    try {
      if (!this.claims.needsRead(this.liveInstanceCount, this.clock.now())) return;
      await this.readRecord();
      await this.writeRecord();
    } catch {
      // The platform is unavailable; claimed slots stay usable until their leases expire.
    }
  }

  private async readRecord(): Promise<void> {
    const { keys } = await this.platform.readRange(SLOTS_KEY, true, 'slots');
    const stored = keys[0];
    this.modRevision = stored?.modRevision ?? 0;
    const record = stored ? (JSON.parse(stored.value) as SlotRecord) : createSlotRecord(SLOT_COUNT);
    this.claims.observe(record, this.clock.now());
  }

  private async writeRecord(): Promise<void> {
    const write = this.claims.createWrite(this.liveInstanceCount, this.clock.now());
    if (write === undefined) return;
    this.claims.recordSentWrite(write, this.clock.now());
    const outcome = await this.platform.transact(
      [{ key: SLOTS_KEY, modRevision: this.modRevision }],
      [{ key: SLOTS_KEY, value: JSON.stringify(write.record) }],
      'slots',
    );
    if (outcome.succeeded) this.claims.observe(write.record, this.clock.now());
    else this.claims.markRecordStale();
  }
}
