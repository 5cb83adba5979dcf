import { mergePositions, type SessionPosition } from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { CompletedRead, WriteAttempt } from './group-history.js';
import type { ModelInstance, ReadRequirement, WriteResponse } from './model-instance.js';

/**
 * What a session sends with its reads: the position of what it has seen, nothing, or a maximum age.
 */
export type SessionStyle = 'sends-position' | 'sends-nothing' | 'sends-max-age';

const RESPONSE_TIMEOUT_MS = 7000;
const REQUEST_DELAY_MS = 60;
const MAX_READ_AGE_MS = 400;
const MAX_WRITE_ATTEMPTS = 8;

/** Models a caller with one session, which writes and reads in turn through random instances. */
export class ModelCaller {
  private position: SessionPosition | undefined;

  private readonly doneKeys: string[] = [];

  private sequence = 0;

  private attemptCount = 0;

  constructor(
    readonly name: NodeName,
    private readonly style: SessionStyle,
    private readonly instances: readonly ModelInstance[],
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly history: { writes: WriteAttempt[]; reads: CompletedRead[] },
    private readonly stopsAtMs: number,
  ) {}

  /** Starts the first write. */
  start(): void {
    this.startWrite();
  }

  private get now(): number {
    return this.network.queue.now();
  }

  private startWrite(): void {
    if (this.now >= this.stopsAtMs) return;
    this.sequence += 1;
    this.attemptCount = 0;
    this.sendWrite(`${this.name}-${this.sequence}`);
  }

  private sendWrite(key: string): void {
    this.attemptCount += 1;
    const attempt: WriteAttempt = {
      attempt: `${key}#${this.attemptCount}`,
      key,
      session: this.name,
      startedAt: this.now,
      outcome: 'no-answer',
    };
    this.history.writes.push(attempt);
    const instance = this.random.pick(this.instances);
    const onResponse = this.handleOnce((response: WriteResponse | undefined) =>
      this.handleWriteResponse(attempt, response),
    );
    this.network.send('request', this.name, instance.name, () =>
      instance.write({ key, attempt: attempt.attempt }, (response) =>
        this.network.send('answer', instance.name, this.name, () => onResponse(response)),
      ),
    );
  }

  private handleWriteResponse(attempt: WriteAttempt, response: WriteResponse | undefined): void {
    Object.assign(attempt, { outcome: response?.kind ?? 'no-answer', respondedAt: this.now });
    const isDone = attempt.outcome === 'done' || attempt.outcome === 'already-done';
    if (response?.kind === 'done' && response.position !== undefined) {
      this.position = mergePositions(this.position, response.position);
    }
    if (isDone) {
      this.doneKeys.push(attempt.key);
      // A retry that finds its key recorded returns no position, so the next read sends none.
      if (response?.kind === 'already-done') this.position = undefined;
      this.network.scheduleOnNode(this.name, REQUEST_DELAY_MS, () => this.startRead());
    } else if (this.attemptCount < MAX_WRITE_ATTEMPTS) {
      this.network.scheduleOnNode(this.name, REQUEST_DELAY_MS, () => this.sendWrite(attempt.key));
    } else {
      this.startWrite();
    }
  }

  private startRead(): void {
    const instance = this.random.pick(this.instances);
    const requirement = this.createReadRequirement();
    const expected = [...this.doneKeys];
    const startedAtMs = this.now;
    const onResponse = this.handleOnce(
      (result: { keys: readonly string[]; position: SessionPosition } | undefined) => {
        if (result !== undefined) {
          const { maxAgeMs } = requirement;
          this.history.reads.push({
            session: this.name,
            expected,
            seen: result.keys,
            maxAgeMs,
            startedAt: startedAtMs,
          });
          if (maxAgeMs === undefined) {
            this.position = mergePositions(this.position, result.position);
          }
        }
        this.network.scheduleOnNode(this.name, REQUEST_DELAY_MS, () => this.startWrite());
      },
    );
    this.network.send('request', this.name, instance.name, () =>
      instance.read(requirement, (result) =>
        this.network.send('answer', instance.name, this.name, () => onResponse(result)),
      ),
    );
  }

  private createReadRequirement(): ReadRequirement {
    if (this.style === 'sends-max-age') return { position: undefined, maxAgeMs: MAX_READ_AGE_MS };
    const position = this.style === 'sends-position' ? this.position : undefined;
    return { position, maxAgeMs: undefined };
  }

  /** Wraps a handler so that it runs once: with the response, or undefined after a timeout. */
  private handleOnce<Value>(
    handle: (value: Value | undefined) => void,
  ): (value: Value | undefined) => void {
    let isHandled = false;
    const onResponse = (value: Value | undefined): void => {
      if (isHandled) return;
      isHandled = true;
      handle(value);
    };
    this.network.scheduleOnNode(this.name, RESPONSE_TIMEOUT_MS, () => onResponse(undefined));
    return onResponse;
  }
}
