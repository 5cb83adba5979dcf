import { describe, expect, it } from 'vitest';
import {
  formatIncarnation,
  HolderPresenceTracker,
  type MemberId,
  PRESUMED_GONE_MS,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const HOLDER = formatIncarnation({ id: toBrand<MemberId>('m'), incarnation: 1 });
const at = toMilliseconds;
const ATTEMPT_INTERVAL_MS = 500;

/** Records attempts that fail, at the interval at which holders are checked. */
function failAttempts(tracker: HolderPresenceTracker, from: number, until: number): void {
  for (let now = from; now <= until; now += ATTEMPT_INTERVAL_MS) {
    tracker.record(HOLDER, 'unreachable', at(now));
  }
}

describe('HolderPresenceTracker', () => {
  it('does not take a member that was not asked for gone', () => {
    expect(new HolderPresenceTracker().isGone(HOLDER, at(PRESUMED_GONE_MS * 2))).toBe(false);
  });

  it('takes a member for gone at once if another one has its address', () => {
    const tracker = new HolderPresenceTracker();
    tracker.record(HOLDER, 'replaced', at(5));
    expect(tracker.isGone(HOLDER, at(5))).toBe(true);
  });

  describe('while a member cannot be reached', () => {
    it('does not take it for gone before it was unreachable for a long time', () => {
      const tracker = new HolderPresenceTracker();
      failAttempts(tracker, 100, 99 + PRESUMED_GONE_MS);
      expect(tracker.isGone(HOLDER, at(99 + PRESUMED_GONE_MS))).toBe(false);
      tracker.record(HOLDER, 'unreachable', at(100 + PRESUMED_GONE_MS));
      expect(tracker.isGone(HOLDER, at(100 + PRESUMED_GONE_MS))).toBe(true);
    });

    // Guards against LOST: an instance that was frozen, or that led again later, counted the time between.
    it('does not count time in which nobody tried to reach it', () => {
      const tracker = new HolderPresenceTracker();
      tracker.record(HOLDER, 'unreachable', at(0));
      tracker.record(HOLDER, 'unreachable', at(PRESUMED_GONE_MS + 1));
      expect(tracker.isGone(HOLDER, at(PRESUMED_GONE_MS + 1))).toBe(false);
    });

    it('does not rely on attempts of long ago', () => {
      const tracker = new HolderPresenceTracker();
      failAttempts(tracker, 0, PRESUMED_GONE_MS);
      expect(tracker.isGone(HOLDER, at(PRESUMED_GONE_MS))).toBe(true);
      expect(tracker.isGone(HOLDER, at(PRESUMED_GONE_MS * 2))).toBe(false);
    });

    it('starts again after it responded', () => {
      const tracker = new HolderPresenceTracker();
      failAttempts(tracker, 0, 900);
      tracker.record(HOLDER, 'up', at(1000));
      expect(tracker.wasUp(HOLDER)).toBe(true);
      failAttempts(tracker, 2000, 1999 + PRESUMED_GONE_MS);
      expect(tracker.isGone(HOLDER, at(1999 + PRESUMED_GONE_MS))).toBe(false);
    });

    it('starts again after it was listed', () => {
      const tracker = new HolderPresenceTracker();
      failAttempts(tracker, 0, 900);
      tracker.forget([HOLDER]);
      failAttempts(tracker, 1000, 999 + PRESUMED_GONE_MS);
      expect(tracker.isGone(HOLDER, at(999 + PRESUMED_GONE_MS))).toBe(false);
    });
  });
});
