/** A caller that writes through one entry and reads through another. */
import { mergePositions, type SessionPosition } from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { ReadAnswer, WriteAttempt } from './group-history.js';
import type { ModelEntry, ReadNeed, WriteAnswer } from './model-entry.js';

/** How a session shows what it has seen. */
export type SessionStyle = 'shows-position' | 'shows-nothing' | 'states-age';

const NO_ANSWER_MS = 7000;
const PAUSE_MS = 60;
const STATED_AGE_MS = 400;
const MOST_TRIES = 8;

/** One session of one caller. */
export class ModelClient {
  private position: SessionPosition | undefined;

  private readonly doneKeys: string[] = [];

  private sequence = 0;

  private tries = 0;

  constructor(
    readonly name: NodeName,
    private readonly style: SessionStyle,
    private readonly entries: readonly ModelEntry[],
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly history: { writes: WriteAttempt[]; reads: ReadAnswer[] },
    private readonly stopsAt: number,
  ) {}

  /** Starts to write and read in turn. */
  start(): void {
    this.writeNext();
  }

  private get now(): number {
    return this.network.queue.now();
  }

  private writeNext(): void {
    if (this.now >= this.stopsAt) return;
    this.sequence += 1;
    this.tries = 0;
    this.tryWrite(`${this.name}-${this.sequence}`);
  }

  private tryWrite(key: string): void {
    this.tries += 1;
    const attempt: WriteAttempt = {
      attempt: `${key}#${this.tries}`,
      key,
      session: this.name,
      startedAt: this.now,
      told: 'no-answer',
    };
    this.history.writes.push(attempt);
    const entry = this.random.pick(this.entries);
    const settle = this.once((answer: WriteAnswer | undefined) =>
      this.handleWrite(attempt, answer),
    );
    this.network.send('request', this.name, entry.name, () =>
      entry.write({ key, attempt: attempt.attempt }, (answer) =>
        this.network.send('answer', entry.name, this.name, () => settle(answer)),
      ),
    );
  }

  private handleWrite(attempt: WriteAttempt, answer: WriteAnswer | undefined): void {
    Object.assign(attempt, { told: answer?.kind ?? 'no-answer', toldAt: this.now });
    const isDone = attempt.told === 'done' || attempt.told === 'already-done';
    if (answer?.kind === 'done' && answer.position !== undefined) {
      this.position = mergePositions(this.position, answer.position);
    }
    if (isDone) {
      this.doneKeys.push(attempt.key);
      // A retry that finds its key recorded has no position to show, so it reads without one.
      if (answer?.kind === 'already-done') this.position = undefined;
      this.network.later(this.name, PAUSE_MS, () => this.readNext());
    } else if (this.tries < MOST_TRIES) {
      this.network.later(this.name, PAUSE_MS, () => this.tryWrite(attempt.key));
    } else {
      this.writeNext();
    }
  }

  private readNext(): void {
    const entry = this.random.pick(this.entries);
    const need = this.createNeed();
    const expected = [...this.doneKeys];
    const startedAt = this.now;
    const settle = this.once(
      (result: { keys: readonly string[]; position: SessionPosition } | undefined) => {
        if (result !== undefined) {
          const { maxAgeMs } = need;
          this.history.reads.push({
            session: this.name,
            expected,
            seen: result.keys,
            maxAgeMs,
            startedAt,
          });
          if (maxAgeMs === undefined) {
            this.position = mergePositions(this.position, result.position);
          }
        }
        this.network.later(this.name, PAUSE_MS, () => this.writeNext());
      },
    );
    this.network.send('request', this.name, entry.name, () =>
      entry.read(need, (result) =>
        this.network.send('answer', entry.name, this.name, () => settle(result)),
      ),
    );
  }

  private createNeed(): ReadNeed {
    if (this.style === 'states-age') return { position: undefined, maxAgeMs: STATED_AGE_MS };
    const position = this.style === 'shows-position' ? this.position : undefined;
    return { position, maxAgeMs: undefined };
  }

  private once<Value>(
    handle: (value: Value | undefined) => void,
  ): (value: Value | undefined) => void {
    let isOver = false;
    const settle = (value: Value | undefined): void => {
      if (isOver) return;
      isOver = true;
      handle(value);
    };
    this.network.later(this.name, NO_ANSWER_MS, () => settle(undefined));
    return settle;
  }
}
