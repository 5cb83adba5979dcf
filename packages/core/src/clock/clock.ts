import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/** Monotonic clock of one process. Its readings have no meaning outside the process. */
export interface Clock {
  /** @returns milliseconds since an arbitrary fixed point */
  now(): Milliseconds;
}

/** A manually advanced clock, for tests and for simulations of many instances in one process. */
export class ManualClock implements Clock {
  private currentMs: number;

  /** @param start - first reading, in milliseconds */
  constructor(start = 0) {
    this.currentMs = start;
  }

  now(): Milliseconds {
    return toMilliseconds(this.currentMs);
  }

  /** @param by - time to advance, in milliseconds */
  advance(by: number): void {
    this.currentMs += by;
  }
}
