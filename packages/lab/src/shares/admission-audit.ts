/** Counts for one organisation. */
export interface AuditResult {
  readonly arrived: number;
  readonly admitted: number;
  readonly refused: number;
  /** Admissions that a single bucket for the whole fleet would not have allowed. */
  readonly above: number;
  /**
   * Admissions that are missing compared with an ideal bucket, summed over the windows in which
   * there were too few.
   */
  readonly wrongfulRefusals: number;
  /** Admissions that an ideal bucket would have given for the same arrivals. */
  readonly idealAdmissions: number;
}

/** Shortfalls below this are rounding errors. */
const ROUNDING_TOLERANCE_TOKENS = 1e-6;

/**
 * Length of the windows in which admissions are compared; a request that waits for a token may be
 * admitted in a later window than the one in which it arrived.
 */
const COMPARISON_WINDOW_MS = 4000;

interface ComparisonWindow {
  admitted: number;
  ideal: number;
}

/**
 * Compares the admissions of one organisation with its rate and burst. It runs two exact token
 * buckets for the whole fleet: one spends a token for each actual admission, the ideal one for each
 * arrival that finds a token.
 */
export class AdmissionAudit {
  private tokens: number;

  private refilledAt = 0;

  private idealTokens: number;

  private idealRefilledAt = 0;

  private counts = { arrived: 0, admitted: 0, refused: 0, above: 0, idealAdmissions: 0 };

  private readonly windows = new Map<number, ComparisonWindow>();

  /**
   * @param ratePerMs - the organisation's rate, in tokens per millisecond
   * @param burst - the organisation's burst, in tokens
   */
  constructor(
    private readonly ratePerMs: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
    this.idealTokens = burst;
  }

  /**
   * Records a request that arrives at any instance.
   *
   * @param now - time of the arrival, in milliseconds
   */
  recordArrival(now: number): void {
    this.counts.arrived += 1;
    this.idealTokens = Math.min(
      this.burst,
      this.idealTokens + (now - this.idealRefilledAt) * this.ratePerMs,
    );
    this.idealRefilledAt = now;
    if (this.idealTokens < 1) return;
    this.idealTokens -= 1;
    this.counts.idealAdmissions += 1;
    this.getWindow(now).ideal += 1;
  }

  /**
   * Records an admission.
   *
   * @param now - time of the admission, in milliseconds
   */
  recordAdmission(now: number): void {
    this.refill(now);
    this.counts.admitted += 1;
    this.getWindow(now).admitted += 1;
    this.tokens -= 1;
    if (this.tokens < -ROUNDING_TOLERANCE_TOKENS) {
      this.counts.above += 1;
      // Counts each excess admission once: the next one is compared with an empty bucket again.
      this.tokens = 0;
    }
  }

  /** Records a refusal. */
  recordRefusal(): void {
    this.counts.refused += 1;
  }

  /** @returns the counts so far */
  get result(): AuditResult {
    let sum = 0;
    for (const { ideal, admitted } of this.windows.values()) sum += Math.max(0, ideal - admitted);
    return { ...this.counts, wrongfulRefusals: sum };
  }

  private getWindow(now: number): ComparisonWindow {
    const index = Math.floor(now / COMPARISON_WINDOW_MS);
    const window = this.windows.get(index) ?? { admitted: 0, ideal: 0 };
    this.windows.set(index, window);
    return window;
  }

  private refill(now: number): void {
    this.tokens = Math.min(
      this.burst,
      this.tokens + Math.max(0, now - this.refilledAt) * this.ratePerMs,
    );
    this.refilledAt = now;
  }
}
