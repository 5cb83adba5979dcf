import type { EventQueue } from '../../faults/event-queue.js';
import { LIMIT_SLOTS, type LimitedMember } from './limited-member.js';

/** What happens to the first member of the group. */
export interface LimitPattern {
  readonly name: string;
  readonly describe: string;
  /**
   * Time from which statements count, in milliseconds. Where it is not 0, the other members have run for
   * long, and the time in which all limits start is left out.
   */
  readonly countFromMs: number;
  /** Time from which it serves well again, in milliseconds. */
  readonly goodFromMs: number;
  /** Schedules the changes; `onReturn` tells of each return of the member. */
  readonly schedule: (events: EventQueue, member: LimitedMember, onReturn: () => void) => void;
}

const COUNT_FROM_MS = 2000;
const RETURN_MS = 3000;
const GOOD_MS = 8000;
const COLD_SLOWNESS = 4;
const SLOW_FACTOR = 7;
const FLAP_MS = 1000;

/** The patterns of member failures against which limits are compared. */
export const LIMIT_PATTERNS: readonly LimitPattern[] = [
  {
    name: 'all-limits-start',
    describe: 'all members serve well, but their hosts know nothing of them',
    countFromMs: 0,
    goodFromMs: 0,
    schedule: () => {},
  },
  {
    name: 'cold-start',
    describe: 'down for 3 s, then one slot and four times as slow for 5 s',
    countFromMs: COUNT_FROM_MS,
    goodFromMs: GOOD_MS,
    schedule: (events, member, onReturn) => {
      Object.assign(member, { isDown: true });
      events.schedule(RETURN_MS, () => {
        Object.assign(member, { isDown: false, capacity: 1, slowness: COLD_SLOWNESS });
        onReturn();
      });
      events.schedule(GOOD_MS, () => {
        Object.assign(member, { capacity: LIMIT_SLOTS, slowness: 1 });
      });
    },
  },
  {
    name: 'slow-by-a-factor',
    describe: 'seven times as slow for 5 s',
    countFromMs: COUNT_FROM_MS,
    goodFromMs: GOOD_MS,
    schedule: (events, member) => {
      events.schedule(RETURN_MS, () => Object.assign(member, { slowness: SLOW_FACTOR }));
      events.schedule(GOOD_MS, () => Object.assign(member, { slowness: 1 }));
    },
  },
  {
    name: 'flapping',
    describe: 'down for every second second from 3 s to 8 s',
    countFromMs: COUNT_FROM_MS,
    goodFromMs: GOOD_MS,
    schedule: (events, member, onReturn) => {
      for (let at = RETURN_MS; at < GOOD_MS; at += 2 * FLAP_MS) {
        events.schedule(at, () => Object.assign(member, { isDown: true }));
        events.schedule(at + FLAP_MS, () => {
          Object.assign(member, { isDown: false });
          onReturn();
        });
      }
    },
  },
];
