import {
  PositionHistory,
  type CommitStep,
  CommitTracker,
  type CommitVerdict,
  type GroupView,
  mayReplaceView,
  ReadIndexBatcher,
  type SessionPosition,
  toMilliseconds,
} from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { WriteRecord } from './group-history.js';
import type { GroupGuard } from './guards.js';
import type { ModelMember } from './model-member.js';

/** Response to a write. */
export type WriteResponse = { readonly kind: 'already-done' } | CommitVerdict;

/** Result of a read: the keys in the log, and the position that they are read at. */
export interface ReadResult {
  readonly keys: readonly string[];
  readonly position: SessionPosition;
}

/**
 * What a read requires of its data: a position, a maximum age, or if neither is given, all writes
 * acknowledged before the read.
 */
export interface ReadRequirement {
  readonly position: SessionPosition | undefined;
  readonly maxAgeMs: number | undefined;
}

const REQUEST_TIMEOUT_MS = 6000;
const STEP_TIMEOUT_MS = 800;
const RETRY_DELAY_MS = 60;
const MAX_REPLICA_WAIT_MS = 100;
const POSITION_RETENTION_MS = 60_000;

/** A write in progress. */
interface WriteJob {
  readonly record: WriteRecord;
  readonly tracker: CommitTracker;
  readonly deadlineMs: number;
  readonly reply: (response: WriteResponse) => void;
  isFinished: boolean;
}

/**
 * Models an instance that serves callers: it makes the daemon's decisions with the daemon's own
 * classes, over the simulated network. Its state is lost when it is killed.
 */
export class ModelInstance {
  private view: GroupView | undefined;

  private batcher = new ReadIndexBatcher();

  private positionHistory = new PositionHistory(POSITION_RETENTION_MS);

  private lastPosition: SessionPosition | undefined;

  private waitingReads = new Map<number, (position: SessionPosition | undefined) => void>();

  constructor(
    readonly name: NodeName,
    private readonly members: ReadonlyMap<NodeName, ModelMember>,
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly disabledGuards: ReadonlySet<GroupGuard>,
  ) {}

  /** Discards all state, as a restart of the process does. */
  reset(): void {
    this.view = undefined;
    this.batcher = new ReadIndexBatcher();
    this.positionHistory = new PositionHistory(POSITION_RETENTION_MS);
    this.waitingReads = new Map();
  }

  /**
   * Handles a watcher's view of the group. Ignores views of a lower term, and views without a
   * primary if the primary of their term is known.
   */
  handleView(view: GroupView): void {
    const isKnown = this.view?.term === view.term && this.view.primary !== undefined;
    if (!mayReplaceView(this.view, view) || (isKnown && view.primary === undefined)) return;
    this.view = view;
  }

  /** Handles a write request. */
  write(record: WriteRecord, reply: (response: WriteResponse) => void): void {
    const deadlineMs = this.now + REQUEST_TIMEOUT_MS;
    const tracker = new CommitTracker(!this.disabledGuards.has('outcome-record'));
    this.beginTransaction({ record, tracker, deadlineMs, reply, isFinished: false });
  }

  /** Handles a read request; the result is undefined if the read is refused at its deadline. */
  read(requirement: ReadRequirement, reply: (result: ReadResult | undefined) => void): void {
    const deadlineMs = this.now + REQUEST_TIMEOUT_MS;
    this.resolveRequiredPosition(requirement, (requiredPosition) => {
      const replicas = requiredPosition === undefined ? [] : this.listReplicas();
      this.readAtReplicas(replicas, requiredPosition, deadlineMs, reply);
    });
  }

  private get now(): number {
    return this.network.queue.now();
  }

  private get primary(): ModelMember | undefined {
    return this.view?.primary === undefined ? undefined : this.members.get(this.view.primary);
  }

  private beginTransaction(job: WriteJob): void {
    const { primary } = this;
    if (this.now >= job.deadlineMs) {
      this.applyStep(
        job,
        job.tracker.handle({ kind: 'interrupted', reason: 'no primary' }),
        undefined,
      );
      return;
    }
    if (primary === undefined) {
      this.network.scheduleOnNode(this.name, RETRY_DELAY_MS, () => this.beginTransaction(job));
      return;
    }
    const isRecorded = !this.disabledGuards.has('outcome-record');
    const onResponse = this.handleOnce(
      (result: 'open' | 'read-only' | 'recorded' | 'silent') =>
        this.handleBeginResponse(job, primary, result),
      () => 'silent' as const,
    );
    this.network.send(
      'begin',
      this.name,
      primary.name,
      () =>
        primary.beginTransaction(job.record, isRecorded, (result) =>
          this.network.send('begin-answer', primary.name, this.name, () => onResponse(result)),
        ),
      job.record.attempt,
    );
  }

  private handleBeginResponse(
    job: WriteJob,
    primary: ModelMember,
    result: 'open' | 'read-only' | 'recorded' | 'silent',
  ): void {
    if (result === 'recorded') {
      this.confirmRecord(job, primary);
    } else if (result === 'open') {
      this.applyStep(job, job.tracker.handle({ kind: 'commit-requested' }), primary);
    } else {
      // Closing the connection rolls back a transaction that may be open on it.
      if (result === 'silent') this.closeConnection(primary, job.record.attempt);
      this.network.scheduleOnNode(this.name, RETRY_DELAY_MS, () => this.beginTransaction(job));
    }
  }

  /**
   * Confirms a found record with a majority: the record may be in the unconfirmed tail of a
   * replaced primary's log.
   */
  private confirmRecord(job: WriteJob, primary: ModelMember): void {
    if (this.disabledGuards.has('record-confirmation')) {
      this.finish(job, { kind: 'already-done' });
      return;
    }
    const onResponse = this.handleOnce(
      (position: SessionPosition | undefined) => {
        if (position === undefined) this.beginTransaction(job);
        else this.finish(job, { kind: 'already-done' });
      },
      () => undefined,
    );
    this.getConfirmedPosition('confirm', primary, onResponse);
  }

  private applyStep(job: WriteJob, step: CommitStep, primary: ModelMember | undefined): void {
    if (step.kind === 'finish') this.finish(job, step.verdict);
    else if (step.kind === 'look-up') this.lookUp(job);
    else if (primary !== undefined && step.kind === 'send-commit') this.sendCommit(job, primary);
    else if (primary !== undefined && step.kind === 'confirm') this.confirmCommit(job, primary);
  }

  private sendCommit(job: WriteJob, primary: ModelMember): void {
    const onResponse = this.handleOnce(
      (result: 'applied' | 'refused' | 'silent') => this.handleCommitResponse(job, primary, result),
      () => 'silent' as const,
    );
    const { attempt } = job.record;
    this.network.send(
      'commit',
      this.name,
      primary.name,
      () =>
        primary.commit(attempt, (isCommitted) =>
          this.network.send('commit-answer', primary.name, this.name, () =>
            onResponse(isCommitted ? 'applied' : 'refused'),
          ),
        ),
      attempt,
    );
  }

  private handleCommitResponse(
    job: WriteJob,
    primary: ModelMember,
    result: 'applied' | 'refused' | 'silent',
  ): void {
    if (result === 'applied') {
      const step = job.tracker.handle({ kind: 'commit-applied' });
      if (this.disabledGuards.has('commit-confirmation')) {
        const position = primary.readPosition;
        this.applyStep(job, job.tracker.handle({ kind: 'confirmed', position }), primary);
      } else {
        this.applyStep(job, step, primary);
      }
    } else if (result === 'refused') {
      const reason = 'the member rolled back';
      this.applyStep(job, job.tracker.handle({ kind: 'commit-refused', reason }), primary);
    } else {
      this.handleInterruption(job, primary);
    }
  }

  private confirmCommit(job: WriteJob, primary: ModelMember): void {
    const onResponse = this.handleOnce(
      (position: SessionPosition | undefined) => {
        if (position === undefined) this.handleInterruption(job, primary);
        else this.applyStep(job, job.tracker.handle({ kind: 'confirmed', position }), primary);
      },
      () => undefined,
    );
    this.getConfirmedPosition('confirm', primary, onResponse);
  }

  private handleInterruption(job: WriteJob, primary: ModelMember): void {
    this.closeConnection(primary, job.record.attempt);
    const step = job.tracker.handle({ kind: 'interrupted', reason: 'no answer' });
    this.applyStep(job, step, undefined);
  }

  private lookUp(job: WriteJob): void {
    const { primary } = this;
    if (this.now >= job.deadlineMs) {
      this.applyStep(job, job.tracker.handle({ kind: 'deadline' }), undefined);
      return;
    }
    const retry = (): void =>
      this.network.scheduleOnNode(this.name, RETRY_DELAY_MS, () => this.lookUp(job));
    if (primary === undefined) {
      retry();
      return;
    }
    const onResponse = this.handleOnce(
      (found: boolean | undefined) => {
        if (found === undefined) retry();
        else this.confirmLookUp(job, primary, found, retry);
      },
      () => undefined,
    );
    this.network.send('look-up', this.name, primary.name, () =>
      primary.lookUp(job.record.key, (found) =>
        this.network.send('look-up-answer', primary.name, this.name, () => onResponse(found)),
      ),
    );
  }

  /** Confirms the result of a look-up; it counts only if the member was still primary. */
  private confirmLookUp(
    job: WriteJob,
    primary: ModelMember,
    found: boolean,
    retry: () => void,
  ): void {
    const onResponse = this.handleOnce(
      (position: SessionPosition | undefined) => {
        if (position === undefined) retry();
        else {
          this.applyStep(
            job,
            job.tracker.handle({ kind: 'looked-up', found, position }),
            undefined,
          );
        }
      },
      () => undefined,
    );
    this.getConfirmedPosition('confirm', primary, onResponse);
  }

  private finish(job: WriteJob, response: WriteResponse): void {
    if (job.isFinished) return;
    Object.assign(job, { isFinished: true });
    job.reply(response);
  }

  private resolveRequiredPosition(
    requirement: ReadRequirement,
    proceed: (requiredPosition: SessionPosition | undefined) => void,
  ): void {
    const now = toMilliseconds(this.now);
    const positionForAge =
      requirement.maxAgeMs === undefined
        ? undefined
        : this.positionHistory.findOldest(requirement.maxAgeMs, now);
    const knownPosition =
      positionForAge ?? (requirement.maxAgeMs === undefined ? requirement.position : undefined);
    if (knownPosition !== undefined) {
      proceed(knownPosition);
      return;
    }
    if (this.disabledGuards.has('read-index-order') && this.lastPosition !== undefined) {
      // Without the guard: the response to an earlier request serves this read as well.
      proceed(this.lastPosition);
      return;
    }
    const ticket = this.batcher.addRead();
    this.waitingReads.set(ticket, proceed);
    this.requestPosition();
  }

  private requestPosition(): void {
    const request = this.batcher.startRequest();
    const { primary, batcher } = this;
    if (request === undefined) return;
    const requestedAt = toMilliseconds(this.now);
    const onResponse = this.handleOnce(
      (position: SessionPosition | undefined) => {
        if (batcher !== this.batcher) return;
        if (position !== undefined) this.positionHistory.add({ requestedAt, position });
        this.lastPosition = position;
        for (const ticket of batcher.completeRequest(request.requestId, position).tickets) {
          this.waitingReads.get(ticket)?.(position);
          this.waitingReads.delete(ticket);
        }
        this.requestPosition();
      },
      () => undefined,
    );
    if (primary === undefined) onResponse(undefined);
    else if (this.disabledGuards.has('read-confirmation')) this.getUnconfirmed(primary, onResponse);
    else this.getConfirmedPosition('index', primary, onResponse);
  }

  /** Gets the primary's position without the confirmation of a majority, for a disabled guard. */
  private getUnconfirmed(
    primary: ModelMember,
    onResponse: (position: SessionPosition | undefined) => void,
  ): void {
    this.network.send('index', this.name, primary.name, () => {
      const { readPosition } = primary;
      const isPrimary = primary.readAsPrimary() !== undefined;
      this.network.send('index-answer', primary.name, this.name, () => {
        onResponse(isPrimary ? readPosition : undefined);
      });
    });
  }

  /** Gets the primary's position once a majority confirms it. */
  private getConfirmedPosition(
    step: string,
    primary: ModelMember,
    onResponse: (position: SessionPosition | undefined) => void,
  ): void {
    this.network.send(step, this.name, primary.name, () =>
      primary.confirmPosition((position) =>
        this.network.send(`${step}-answer`, primary.name, this.name, () => onResponse(position)),
      ),
    );
  }

  /** Lists all members but the primary, in random order. */
  private listReplicas(): ModelMember[] {
    const replicas = [...this.members.values()].filter((member) => member !== this.primary);
    if (this.random.next() < 0.5) replicas.reverse();
    return replicas;
  }

  /** Reads at the first replica that reaches the position in time, or else at the primary. */
  private readAtReplicas(
    replicas: readonly ModelMember[],
    requiredPosition: SessionPosition | undefined,
    deadlineMs: number,
    reply: (result: ReadResult | undefined) => void,
  ): void {
    const [replica, ...others] = replicas;
    if (replica === undefined || requiredPosition === undefined) {
      this.readAtPrimary(deadlineMs, reply);
      return;
    }
    const onResponse = this.handleOnce(
      (result: ReadResult | undefined) => {
        if (result === undefined) this.readAtReplicas(others, requiredPosition, deadlineMs, reply);
        else reply(result);
      },
      () => undefined,
    );
    this.network.send('read', this.name, replica.name, () =>
      replica.readAtPosition(requiredPosition, MAX_REPLICA_WAIT_MS, (keys, position) =>
        this.network.send('read-answer', replica.name, this.name, () =>
          onResponse(keys === undefined ? undefined : { keys, position }),
        ),
      ),
    );
  }

  private readAtPrimary(deadlineMs: number, reply: (result: ReadResult | undefined) => void): void {
    const { primary } = this;
    if (this.now >= deadlineMs) {
      reply(undefined);
      return;
    }
    const retry = (): void =>
      this.network.scheduleOnNode(this.name, RETRY_DELAY_MS, () =>
        this.readAtPrimary(deadlineMs, reply),
      );
    if (primary === undefined) {
      retry();
      return;
    }
    const onResponse = this.handleOnce(
      (result: ReadResult | undefined) => {
        if (result === undefined) retry();
        else reply(result);
      },
      () => undefined,
    );
    this.network.send('read', this.name, primary.name, () => {
      const keys = primary.readAsPrimary();
      const respond = (position: SessionPosition): void =>
        this.network.send('read-answer', primary.name, this.name, () =>
          onResponse(keys && { keys, position }),
        );
      if (this.disabledGuards.has('read-confirmation')) respond(primary.readPosition);
      else primary.confirmPosition(respond);
    });
  }

  private closeConnection(primary: ModelMember, attempt: string): void {
    const endSession = (): void => primary.endSession(attempt);
    this.network.send('terminate', this.name, primary.name, endSession, attempt);
  }

  /** Wraps a handler so that it runs once: with the response, or a fallback after a timeout. */
  private handleOnce<Value>(
    handle: (value: Value) => void,
    fallback: () => NoInfer<Value>,
  ): (value: Value) => void {
    let isHandled = false;
    const onResponse = (value: Value): void => {
      if (isHandled) return;
      isHandled = true;
      handle(value);
    };
    this.network.scheduleOnNode(this.name, STEP_TIMEOUT_MS, () => onResponse(fallback()));
    return onResponse;
  }
}
