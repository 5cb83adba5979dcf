import {
  AllKnowingScheduler,
  chooseFirst,
  chooseMostUrgent,
  DagorScheduler,
  FairScheduler,
  OrderedScheduler,
} from './baseline-schedulers.js';
import { type CreateScheduler, LastVersionScheduler, ProductScheduler } from './schedulers.js';

/** A way of queueing statements at members. */
export interface OverloadPlan {
  readonly name: string;
  readonly create: CreateScheduler;
  /** Whether BEGIN passes the queue and the limits of open transactions. */
  readonly limitsTransactions: boolean;
}

/** Our queue, the last version's, the baselines and the bound. */
export const OVERLOAD_PLANS: readonly OverloadPlan[] = [
  {
    name: 'product',
    create: (slots, events) => new ProductScheduler(slots, events),
    limitsTransactions: true,
  },
  {
    name: 'last version',
    create: (slots, events) => new LastVersionScheduler(slots, events),
    limitsTransactions: false,
  },
  {
    name: 'first come',
    create: (slots, events) => new OrderedScheduler(slots, events, chooseFirst),
    limitsTransactions: false,
  },
  {
    name: 'strict priority',
    create: (slots, events) => new OrderedScheduler(slots, events, chooseMostUrgent),
    limitsTransactions: false,
  },
  {
    name: 'fair shares',
    create: (slots, events) => new FairScheduler(slots, events),
    limitsTransactions: false,
  },
  {
    name: 'dagor',
    create: (slots, events) => new DagorScheduler(slots, events, chooseFirst),
    limitsTransactions: false,
  },
  {
    name: 'all-knowing',
    create: (slots, events) => new AllKnowingScheduler(slots, events),
    limitsTransactions: true,
  },
];
