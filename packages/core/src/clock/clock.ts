/** The one source of time: monotonic milliseconds, passed in by whoever composes the parts. */
import { type Milliseconds, toMilliseconds } from '../types/ids.js';

/** Tells the time of one process; never goes back and has no meaning outside of the process. */
export interface Clock {
  /** @returns milliseconds since an arbitrary moment */
  now(): Milliseconds;
}

/** A clock moved by hand, for tests and for stepping many instances in one process. */
export class ManualClock implements Clock {
  private current: number;

  /** @param start - first reading, in milliseconds */
  constructor(start = 0) {
    this.current = start;
  }

  now(): Milliseconds {
    return toMilliseconds(this.current);
  }

  /** @param by - how far to move forward, in milliseconds */
  advance(by: number): void {
    this.current += by;
  }
}
