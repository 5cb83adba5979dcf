import type { EventQueue } from '../../faults/event-queue.js';
import { type Job, PIPELINED, type Scheduler } from './schedulers.js';

/** Chooses the next of the waiting statements, by its index. */
export type ChooseNext = (waiting: readonly Job[], now: number) => number;

/** First come, first served. */
export const chooseFirst: ChooseNext = () => 0;

/** The most urgent class, by arrival within it. */
export const chooseMostUrgent: ChooseNext = (waiting) => {
  let best = 0;
  waiting.forEach(({ urgency }, index) => {
    if (urgency < (waiting[best] as Job).urgency) best = index;
  });
  return best;
};

/** The most urgent class, and within it the shortest statement. */
const chooseShortest: ChooseNext = (waiting) => {
  let best = 0;
  waiting.forEach((job, index) => {
    const other = waiting[best] as Job;
    const isBetter =
      job.urgency === other.urgency ? job.workMs < other.workMs : job.urgency < other.urgency;
    if (isBetter) best = index;
  });
  return best;
};

/** A queue that rejects only at the timeout of a statement. */
export class OrderedScheduler implements Scheduler {
  protected readonly waiting: Job[] = [];

  protected running = 0;

  constructor(
    protected readonly slots: number,
    protected readonly events: EventQueue,
    private readonly chooseNext: ChooseNext,
  ) {}

  get pending(): number {
    return this.running + this.waiting.length;
  }

  submit(job: Job): void {
    if (this.running < this.slots + PIPELINED) this.run(job);
    else {
      this.waiting.push(job);
      this.events.schedule(job.timeoutAt - this.events.now(), () => {
        const index = this.waiting.indexOf(job);
        if (index < 0) return;
        this.waiting.splice(index, 1);
        job.reject();
      });
    }
  }

  /** Called with the wait of each statement that starts. */
  protected recordWait(_waitMs: number): void {}

  protected run(job: Job): void {
    this.running += 1;
    this.recordWait(this.events.now() - (job.objectiveAt - job.objectiveMs));
    job.start(() => {
      this.running -= 1;
      this.startNext();
    });
  }

  protected startNext(): void {
    if (this.waiting.length === 0) return;
    const index = this.chooseNext(this.waiting, this.events.now());
    const [next] = this.waiting.splice(index, 1);
    if (next !== undefined) this.run(next);
  }
}

/** Equal turns of the organisations, by weighted number of statements, whatever their urgency. */
export class FairScheduler extends OrderedScheduler {
  constructor(slots: number, events: EventQueue) {
    const served = new Map<string, number>();
    let level = 0;
    super(slots, events, (waiting) => {
      let best = 0;
      let bestTag = Infinity;
      waiting.forEach(({ organisation }, index) => {
        const tag = Math.max(level, served.get(organisation) ?? 0);
        if (tag < bestTag) {
          best = index;
          bestTag = tag;
        }
      });
      const { organisation, weight } = waiting[best] as Job;
      level = bestTag;
      served.set(organisation, bestTag + 1 / weight);
      return best;
    });
  }
}

/** Knows how long each statement takes, and starts none that it cannot end in time. */
export class AllKnowingScheduler extends OrderedScheduler {
  constructor(slots: number, events: EventQueue) {
    super(slots, events, chooseShortest);
  }

  protected override startNext(): void {
    const now = this.events.now();
    for (let index = this.waiting.length - 1; index >= 0; index -= 1) {
      const job = this.waiting[index] as Job;
      if (job.isInTransaction || now + job.workMs <= job.objectiveAt) continue;
      this.waiting.splice(index, 1);
      job.reject();
    }
    super.startNext();
  }
}

/** Mean wait above which DAGOR counts a member as overloaded, in milliseconds. */
const DAGOR_MAX_WAIT_MS = 20;
const DAGOR_WINDOW_MS = 1000;
const DAGOR_WINDOW_STATEMENTS = 2000;
/** Fraction of the admitted statements by which the level falls, and of the arrivals by which it rises. */
const DAGOR_DECREASE_FRACTION = 0.05;
const DAGOR_INCREASE_FRACTION = 0.01;
const DAGOR_USER_LEVELS = 128;
const DAGOR_CLASSES = 4;

/**
 * Admission by what is published of DAGOR: a level over business and user priority, which follows a
 * histogram of the arrivals, and falls while the mean wait in the queue is over 20 ms.
 */
export class DagorScheduler extends OrderedScheduler {
  private level = DAGOR_CLASSES * DAGOR_USER_LEVELS;

  private arrivals = new Array<number>(DAGOR_CLASSES * DAGOR_USER_LEVELS).fill(0);

  private admitted = 0;

  private arrived = 0;

  private waitSumMs = 0;

  private started = 0;

  private windowStart = 0;

  override submit(job: Job): void {
    this.updateLevel();
    const index = computeDagorLevel(job);
    this.arrivals[index] = (this.arrivals[index] ?? 0) + 1;
    this.arrived += 1;
    if (index >= this.level && !job.isInTransaction) {
      job.reject();
      return;
    }
    this.admitted += 1;
    super.submit(job);
  }

  protected override recordWait(waitMs: number): void {
    this.waitSumMs += waitMs;
    this.started += 1;
  }

  private updateLevel(): void {
    const now = this.events.now();
    const isOver =
      now - this.windowStart >= DAGOR_WINDOW_MS || this.arrived >= DAGOR_WINDOW_STATEMENTS;
    if (!isOver) return;
    const isOverloaded = this.started > 0 && this.waitSumMs / this.started > DAGOR_MAX_WAIT_MS;
    if (isOverloaded) {
      let excess = this.admitted * DAGOR_DECREASE_FRACTION;
      while (excess > 0 && this.level > 1) {
        this.level -= 1;
        excess -= this.arrivals[this.level] ?? 0;
      }
    } else {
      let missing = this.arrived * DAGOR_INCREASE_FRACTION;
      while (missing > 0 && this.level < this.arrivals.length) {
        missing -= this.arrivals[this.level] ?? 0;
        this.level += 1;
      }
    }
    this.arrivals.fill(0);
    this.admitted = 0;
    this.arrived = 0;
    this.waitSumMs = 0;
    this.started = 0;
    this.windowStart = now;
  }
}

function computeDagorLevel({ urgency, organisation }: Job): number {
  let hash = 7;
  for (const character of organisation) hash = (hash * 31 + character.charCodeAt(0)) % 9973;
  const business = Math.min(DAGOR_CLASSES - 1, urgency);
  return business * DAGOR_USER_LEVELS + (hash % DAGOR_USER_LEVELS);
}
