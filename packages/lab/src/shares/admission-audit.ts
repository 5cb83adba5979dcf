/** Judges admissions of one organisation against its rate and burst. */

/** Figures of one organisation. */
export interface AuditResult {
  readonly arrived: number;
  readonly admitted: number;
  readonly refused: number;
  /** Admissions that a single bucket for the whole fleet would not have allowed. */
  readonly above: number;
  /** Admissions missing against one ideal bucket, summed over windows of {@link WINDOW_MS}. */
  readonly wrongful: number;
  /** Admissions that one ideal bucket would have given the same arrivals. */
  readonly due: number;
}

/** Shortfalls below this are rounding, in tokens. */
const ROUNDING_TOKENS = 1e-6;

/** Time over which admissions are compared; waiting for a token moves a few to a later moment. */
const WINDOW_MS = 4000;

interface Window {
  admitted: number;
  due: number;
}

/** An exact token bucket over the whole fleet, run along with what really happens. */
export class AdmissionAudit {
  private level: number;

  private at = 0;

  private idealLevel: number;

  private idealAt = 0;

  private counts = { arrived: 0, admitted: 0, refused: 0, above: 0, due: 0 };

  private readonly windows = new Map<number, Window>();

  /**
   * @param ratePerMs - the organisation's rate, in tokens a millisecond
   * @param burst - its burst, in tokens
   */
  constructor(
    private readonly ratePerMs: number,
    private readonly burst: number,
  ) {
    this.level = burst;
    this.idealLevel = burst;
  }

  /** @param now - moment of an arrival */
  noteArrival(now: number): void {
    this.counts.arrived += 1;
    this.idealLevel = Math.min(this.burst, this.idealLevel + (now - this.idealAt) * this.ratePerMs);
    this.idealAt = now;
    if (this.idealLevel < 1) return;
    this.idealLevel -= 1;
    this.counts.due += 1;
    this.windowAt(now).due += 1;
  }

  /** @param now - moment of an admission */
  noteAdmission(now: number): void {
    this.fill(now);
    this.counts.admitted += 1;
    this.windowAt(now).admitted += 1;
    this.level -= 1;
    if (this.level < -ROUNDING_TOKENS) {
      this.counts.above += 1;
      // Counted once; what follows is judged from an empty bucket again.
      this.level = 0;
    }
  }

  /** Notes a refusal. */
  noteRefusal(): void {
    this.counts.refused += 1;
  }

  /** @returns the figures so far */
  get result(): AuditResult {
    let wrongful = 0;
    for (const { due, admitted } of this.windows.values()) wrongful += Math.max(0, due - admitted);
    return { ...this.counts, wrongful };
  }

  private windowAt(now: number): Window {
    const number = Math.floor(now / WINDOW_MS);
    const window = this.windows.get(number) ?? { admitted: 0, due: 0 };
    this.windows.set(number, window);
    return window;
  }

  private fill(now: number): void {
    this.level = Math.min(this.burst, this.level + Math.max(0, now - this.at) * this.ratePerMs);
    this.at = now;
  }
}
