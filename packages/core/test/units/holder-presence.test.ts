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
      tracker.record(HOLDER, 'unreachable', at(100));
      tracker.record(HOLDER, 'unreachable', at(5000));
      expect(tracker.isGone(HOLDER, at(99 + PRESUMED_GONE_MS))).toBe(false);
      expect(tracker.isGone(HOLDER, at(100 + PRESUMED_GONE_MS))).toBe(true);
    });

    it('starts again after it responded', () => {
      const tracker = new HolderPresenceTracker();
      tracker.record(HOLDER, 'unreachable', at(0));
      tracker.record(HOLDER, 'up', at(1000));
      expect(tracker.wasUp(HOLDER)).toBe(true);
      expect(tracker.isGone(HOLDER, at(PRESUMED_GONE_MS * 2))).toBe(false);
      tracker.record(HOLDER, 'unreachable', at(2000));
      expect(tracker.isGone(HOLDER, at(1999 + PRESUMED_GONE_MS))).toBe(false);
    });

    it('starts again after it was listed', () => {
      const tracker = new HolderPresenceTracker();
      tracker.record(HOLDER, 'unreachable', at(0));
      tracker.forget([HOLDER]);
      tracker.record(HOLDER, 'unreachable', at(1000));
      expect(tracker.isGone(HOLDER, at(PRESUMED_GONE_MS))).toBe(false);
    });
  });
});
