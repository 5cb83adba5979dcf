/** Keeps this instance's claims on slots in the platform's store. */
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
/** Slots into which every rate is divided; fixed for the life of a fleet. */
const SLOT_COUNT = 64;
const STEP_MS = 1000;

/** Owns the claims. */
export class SlotsTask {
  private readonly claims: SlotClaims;

  private stopped = false;

  private liveInstances = 1;

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

  /** Starts to claim. */
  start(): void {
    void this.run();
  }

  /** Stops without giving anything up. */
  stop(): void {
    this.stopped = true;
  }

  /** Gives up all slots; to be called after lent tokens have lapsed. */
  async release(): Promise<void> {
    this.stopped = true;
    this.claims.releaseAll();
    await this.step();
  }

  /** @param count - instances among which slots are shared */
  setLiveInstances(count: number): void {
    if (count !== this.liveInstances) this.claims.markRecordStale();
    this.liveInstances = count;
  }

  /** @returns slots that may be used now */
  get owned(): number[] {
    return this.claims.listUsableSlots(this.clock.now());
  }

  /** @returns number of slots in all */
  get slotCount(): number {
    return this.claims.slotCount;
  }

  /** @returns instances that hold slots */
  get holders(): ReadonlySet<InstanceId> {
    return this.claims.holders;
  }

  private async run(): Promise<void> {
    while (!this.stopped) {
      await this.step();
      this.onChange();
      await delay(STEP_MS * (0.75 + this.random() / 2));
    }
  }

  private async step(): Promise<void> {
    try {
      if (!this.claims.needsRead(this.liveInstances, this.clock.now())) return;
      await this.read();
      await this.write();
    } catch {
      // The platform is out; what is held goes on until its lease ends.
    }
  }

  private async read(): Promise<void> {
    const { keys } = await this.platform.readRange(SLOTS_KEY, true, 'slots');
    const stored = keys[0];
    this.modRevision = stored?.modRevision ?? 0;
    const record = stored ? (JSON.parse(stored.value) as SlotRecord) : createSlotRecord(SLOT_COUNT);
    this.claims.observe(record, this.clock.now());
  }

  private async write(): Promise<void> {
    const write = this.claims.createWrite(this.liveInstances, this.clock.now());
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
