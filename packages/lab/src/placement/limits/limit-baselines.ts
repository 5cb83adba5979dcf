import type { Milliseconds, StatementEnd, StatementLimit } from '@heatherledge/core';

/** Time for which the fixed slow start rises. */
const RAMP_MS = 10_000;

/** The limit rises linearly for 10 s after a start, whatever the member answers. */
export class RampLimit implements StatementLimit {
  constructor(
    private readonly fullLimit: number,
    private readonly startedAt: Milliseconds,
  ) {}

  limit(now: Milliseconds): number {
    const share = Math.min(1, (now - this.startedAt) / RAMP_MS);
    return Math.max(1, Math.floor(1 + (this.fullLimit - 1) * share));
  }

  /** The ramp depends on nothing but time. */
  recordEnd(): void {}
}

/** A limit that is adjusted after each statement, within 1 and the full limit. */
abstract class AdjustedLimit implements StatementLimit {
  protected current = 1;

  constructor(protected readonly fullLimit: number) {}

  limit(): number {
    return Math.max(1, Math.floor(this.current));
  }

  recordEnd(end: StatementEnd, now: Milliseconds): void {
    const next = this.computeNext(end, now);
    this.current = Math.min(this.fullLimit, Math.max(1, next));
  }

  protected abstract computeNext(end: StatementEnd, now: Milliseconds): number;
}

function isDropped({ outcome }: StatementEnd): boolean {
  return outcome === 'busy' || outcome === 'lost';
}

const AIMD_BACKOFF_RATIO = 0.9;

/** Additive increase and multiplicative decrease by 0.9, with the published defaults. */
export class AimdLimit extends AdjustedLimit {
  protected computeNext(end: StatementEnd): number {
    if (isDropped(end)) return this.current * AIMD_BACKOFF_RATIO;
    return end.running * 2 >= this.current ? this.current + 1 : this.current;
  }
}

const VEGAS_ALPHA = 3;
const VEGAS_BETA = 6;

/** Estimates the statements that queue inside the member from its lowest time, as TCP Vegas does. */
export class VegasLimit extends AdjustedLimit {
  private lowestMs = Infinity;

  protected computeNext(end: StatementEnd): number {
    const step = Math.max(1, Math.log10(this.current));
    if (isDropped(end)) return this.current - step;
    this.lowestMs = Math.min(this.lowestMs, end.elapsedMs);
    if (end.running * 2 < this.current) return this.current;
    const queued = Math.ceil(this.current * (1 - this.lowestMs / end.elapsedMs));
    if (queued <= step) return this.current + VEGAS_BETA * step;
    if (queued < VEGAS_ALPHA * step) return this.current + step;
    return queued > VEGAS_BETA * step ? this.current - step : this.current;
  }
}

const GRADIENT_LONG_WINDOW = 600;
const GRADIENT_TOLERANCE = 1.5;
const GRADIENT_QUEUE = 4;
const GRADIENT_SMOOTHING = 0.2;

/** Long-term mean over the newest time, with the published defaults of the second gradient limit. */
export class GradientLimit extends AdjustedLimit {
  private longMs: number | undefined;

  protected computeNext(end: StatementEnd): number {
    // The published limit takes nothing from dropped statements but that they are no samples.
    if (isDropped(end) || end.running < this.current / 2) return this.current;
    const longMs = this.longMs ?? end.elapsedMs;
    this.longMs = longMs + (2 / (GRADIENT_LONG_WINDOW + 1)) * (end.elapsedMs - longMs);
    if (longMs / end.elapsedMs > 2) this.longMs *= 0.95;
    const ratio = (GRADIENT_TOLERANCE * this.longMs) / end.elapsedMs;
    const gradient = Math.max(0.5, Math.min(1, ratio));
    const next = this.current * gradient + GRADIENT_QUEUE;
    return this.current * (1 - GRADIENT_SMOOTHING) + next * GRADIENT_SMOOTHING;
  }
}

const MINIMUM_INTERVAL_MS = 60_000;
const MINIMUM_SAMPLES = 50;
const MINIMUM_CONCURRENCY = 3;
const WINDOW_MS = 100;
const BUFFER_RATIO = 0.25;

/**
 * Adaptive concurrency with a lowest time that is measured at a concurrency of three once a minute, and
 * a gradient of it and the newest window of 100 ms. Windows take the mean instead of a percentile.
 */
export class MeasuredMinimumLimit extends AdjustedLimit {
  private minimumMs = 0;

  private measuredAt = -Infinity;

  private windowStartedAt = 0;

  private samples: number[] = [];

  protected computeNext(end: StatementEnd, now: Milliseconds): number {
    if (!isDropped(end)) this.samples.push(end.elapsedMs);
    if (now - this.measuredAt >= MINIMUM_INTERVAL_MS) {
      if (this.samples.length < MINIMUM_SAMPLES) return MINIMUM_CONCURRENCY;
      this.minimumMs = this.takeMean();
      this.measuredAt = now;
      this.windowStartedAt = now;
      return this.current;
    }
    if (now - this.windowStartedAt < WINDOW_MS || this.samples.length === 0) return this.current;
    this.windowStartedAt = now;
    const ratio = (this.minimumMs * (1 + BUFFER_RATIO)) / this.takeMean();
    const gradient = Math.max(0.5, Math.min(2, ratio));
    return this.current * gradient + Math.sqrt(this.current);
  }

  private takeMean(): number {
    const mean = this.samples.reduce((sum, ms) => sum + ms, 0) / this.samples.length;
    this.samples = [];
    return mean;
  }
}
