/** An entry instance as the matrix steps it: the daemon's decisions behind fake messages. */
import {
  PositionHistory,
  type CommitStep,
  CommitTracker,
  type CommitVerdict,
  type GroupView,
  isNewerView,
  ReadIndexBatcher,
  type SessionPosition,
  toMilliseconds,
} from '@heatherledge/core';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { SeededRandom } from '../random.js';
import type { KeptEntry } from './group-history.js';
import type { GroupGuard } from './guards.js';
import type { ModelMember } from './model-member.js';

/** What a caller is told of a write. */
export type WriteAnswer = { readonly kind: 'already-done' } | CommitVerdict;

/** What a caller is told of a read; undefined if it was refused. */
export interface ReadResult {
  readonly keys: readonly string[];
  readonly position: SessionPosition;
}

/** What a read needs. */
export interface ReadNeed {
  readonly position: SessionPosition | undefined;
  readonly maxAgeMs: number | undefined;
}

const DEADLINE_MS = 6000;
const STEP_TIMEOUT_MS = 800;
const RETRY_MS = 60;
const REPLICA_WAIT_MS = 100;
const KEEP_SAMPLES_MS = 60_000;

/** One write on its way. */
interface WriteJob {
  readonly entry: KeptEntry;
  readonly tracker: CommitTracker;
  readonly deadline: number;
  readonly reply: (answer: WriteAnswer) => void;
  finished: boolean;
}

/** One entry; it keeps nothing over a kill. */
export class ModelEntry {
  private view: GroupView | undefined;

  private batcher = new ReadIndexBatcher();

  private samples = new PositionHistory(KEEP_SAMPLES_MS);

  private lastIndex: SessionPosition | undefined;

  private indexWaiters = new Map<number, (position: SessionPosition | undefined) => void>();

  constructor(
    readonly name: NodeName,
    private readonly members: ReadonlyMap<NodeName, ModelMember>,
    private readonly network: FakeNetwork,
    private readonly random: SeededRandom,
    private readonly without: ReadonlySet<GroupGuard>,
  ) {}

  /** Forgets everything, as after a kill. */
  reset(): void {
    this.view = undefined;
    this.batcher = new ReadIndexBatcher();
    this.samples = new PositionHistory(KEEP_SAMPLES_MS);
    this.indexWaiters = new Map();
  }

  /** Takes a watcher's view. */
  learn(view: GroupView): void {
    const isKnown = this.view?.term === view.term && this.view.primary !== undefined;
    if (!isNewerView(this.view, view) || (isKnown && view.primary === undefined)) return;
    this.view = view;
  }

  /** Serves a write. */
  write(entry: KeptEntry, reply: (answer: WriteAnswer) => void): void {
    const deadline = this.now + DEADLINE_MS;
    const tracker = new CommitTracker(!this.without.has('outcome-record'));
    this.begin({ entry, tracker, deadline, reply, finished: false });
  }

  /** Serves a read. */
  read(need: ReadNeed, reply: (result: ReadResult | undefined) => void): void {
    const deadline = this.now + DEADLINE_MS;
    this.resolveNeeded(need, (needed) => {
      const replicas = needed === undefined ? [] : this.chooseReplicas();
      this.readAt(replicas, needed, deadline, reply);
    });
  }

  private get now(): number {
    return this.network.queue.now();
  }

  private get primary(): ModelMember | undefined {
    return this.view?.primary === undefined ? undefined : this.members.get(this.view.primary);
  }

  private begin(job: WriteJob): void {
    const { primary } = this;
    if (this.now >= job.deadline) {
      this.follow(
        job,
        job.tracker.handle({ kind: 'interrupted', reason: 'no primary' }),
        undefined,
      );
      return;
    }
    if (primary === undefined) {
      this.network.later(this.name, RETRY_MS, () => this.begin(job));
      return;
    }
    const isRecorded = !this.without.has('outcome-record');
    const answer = this.once(
      (result: 'open' | 'read-only' | 'recorded' | 'silent') =>
        this.handleBegin(job, primary, result),
      () => 'silent' as const,
    );
    this.network.send(
      'begin',
      this.name,
      primary.name,
      () =>
        primary.begin(job.entry, isRecorded, (result) =>
          this.network.send('begin-answer', primary.name, this.name, () => answer(result)),
        ),
      job.entry.attempt,
    );
  }

  private handleBegin(
    job: WriteJob,
    primary: ModelMember,
    result: 'open' | 'read-only' | 'recorded' | 'silent',
  ): void {
    if (result === 'recorded') {
      this.confirmRecorded(job, primary);
    } else if (result === 'open') {
      this.follow(job, job.tracker.handle({ kind: 'commit-requested' }), primary);
    } else {
      // The connection is given up, so that the member rolls back what may be open on it.
      if (result === 'silent') this.dropConnection(primary, job.entry.attempt);
      this.network.later(this.name, RETRY_MS, () => this.begin(job));
    }
  }

  /** A record may stand in the unconfirmed tail of a replaced primary; only a majority tells. */
  private confirmRecorded(job: WriteJob, primary: ModelMember): void {
    if (this.without.has('record-confirmation')) {
      this.finish(job, { kind: 'already-done' });
      return;
    }
    const answer = this.once(
      (position: SessionPosition | undefined) => {
        if (position === undefined) this.begin(job);
        else this.finish(job, { kind: 'already-done' });
      },
      () => undefined,
    );
    this.askPrimary('confirm', primary, answer);
  }

  private follow(job: WriteJob, step: CommitStep, primary: ModelMember | undefined): void {
    if (step.kind === 'finish') this.finish(job, step.verdict);
    else if (step.kind === 'look-up') this.lookUp(job);
    else if (primary !== undefined && step.kind === 'send-commit') this.sendCommit(job, primary);
    else if (primary !== undefined && step.kind === 'confirm') this.askConfirmation(job, primary);
  }

  private sendCommit(job: WriteJob, primary: ModelMember): void {
    const answer = this.once(
      (result: 'applied' | 'refused' | 'silent') => this.handleCommit(job, primary, result),
      () => 'silent' as const,
    );
    const { attempt } = job.entry;
    this.network.send(
      'commit',
      this.name,
      primary.name,
      () =>
        primary.commit(attempt, (isCommitted) =>
          this.network.send('commit-answer', primary.name, this.name, () =>
            answer(isCommitted ? 'applied' : 'refused'),
          ),
        ),
      attempt,
    );
  }

  private handleCommit(
    job: WriteJob,
    primary: ModelMember,
    result: 'applied' | 'refused' | 'silent',
  ): void {
    if (result === 'applied') {
      const step = job.tracker.handle({ kind: 'commit-applied' });
      if (this.without.has('commit-confirmation')) {
        const position = primary.seen;
        this.follow(job, job.tracker.handle({ kind: 'confirmed', position }), primary);
      } else {
        this.follow(job, step, primary);
      }
    } else if (result === 'refused') {
      const reason = 'the member rolled back';
      this.follow(job, job.tracker.handle({ kind: 'commit-refused', reason }), primary);
    } else {
      this.interrupt(job, primary);
    }
  }

  private askConfirmation(job: WriteJob, primary: ModelMember): void {
    const answer = this.once(
      (position: SessionPosition | undefined) => {
        if (position === undefined) this.interrupt(job, primary);
        else this.follow(job, job.tracker.handle({ kind: 'confirmed', position }), primary);
      },
      () => undefined,
    );
    this.askPrimary('confirm', primary, answer);
  }

  private interrupt(job: WriteJob, primary: ModelMember): void {
    this.dropConnection(primary, job.entry.attempt);
    const step = job.tracker.handle({ kind: 'interrupted', reason: 'no answer' });
    this.follow(job, step, undefined);
  }

  private lookUp(job: WriteJob): void {
    const { primary } = this;
    if (this.now >= job.deadline) {
      this.follow(job, job.tracker.handle({ kind: 'deadline' }), undefined);
      return;
    }
    const retry = (): void => this.network.later(this.name, RETRY_MS, () => this.lookUp(job));
    if (primary === undefined) {
      retry();
      return;
    }
    const answer = this.once(
      (found: boolean | undefined) => {
        if (found === undefined) retry();
        else this.confirmLookUp(job, primary, found, retry);
      },
      () => undefined,
    );
    this.network.send('look-up', this.name, primary.name, () =>
      primary.lookUp(job.entry.key, (found) =>
        this.network.send('look-up-answer', primary.name, this.name, () => answer(found)),
      ),
    );
  }

  /** What a primary says counts only if it was still the primary when it said it. */
  private confirmLookUp(
    job: WriteJob,
    primary: ModelMember,
    found: boolean,
    retry: () => void,
  ): void {
    const answer = this.once(
      (position: SessionPosition | undefined) => {
        if (position === undefined) retry();
        else {
          this.follow(job, job.tracker.handle({ kind: 'looked-up', found, position }), undefined);
        }
      },
      () => undefined,
    );
    this.askPrimary('confirm', primary, answer);
  }

  private finish(job: WriteJob, answer: WriteAnswer): void {
    if (job.finished) return;
    Object.assign(job, { finished: true });
    job.reply(answer);
  }

  private resolveNeeded(
    need: ReadNeed,
    proceed: (needed: SessionPosition | undefined) => void,
  ): void {
    const now = toMilliseconds(this.now);
    const aged =
      need.maxAgeMs === undefined ? undefined : this.samples.findOldest(need.maxAgeMs, now);
    const known = aged ?? (need.maxAgeMs === undefined ? need.position : undefined);
    if (known !== undefined) {
      proceed(known);
      return;
    }
    if (this.without.has('read-index-order') && this.lastIndex !== undefined) {
      // The mutation: an answer to an earlier question serves for this read as well.
      proceed(this.lastIndex);
      return;
    }
    const ticket = this.batcher.addRead();
    this.indexWaiters.set(ticket, proceed);
    this.pumpIndex();
  }

  private pumpIndex(): void {
    const request = this.batcher.startRequest();
    const { primary, batcher } = this;
    if (request === undefined) return;
    const requestedAt = toMilliseconds(this.now);
    const answer = this.once(
      (position: SessionPosition | undefined) => {
        if (batcher !== this.batcher) return;
        if (position !== undefined) this.samples.add({ requestedAt, position });
        this.lastIndex = position;
        for (const ticket of batcher.completeRequest(request.requestId, position).tickets) {
          this.indexWaiters.get(ticket)?.(position);
          this.indexWaiters.delete(ticket);
        }
        this.pumpIndex();
      },
      () => undefined,
    );
    if (primary === undefined) answer(undefined);
    else if (this.without.has('read-confirmation')) this.askUnconfirmed(primary, answer);
    else this.askPrimary('index', primary, answer);
  }

  /** The mutation: takes the primary's word without a majority's. */
  private askUnconfirmed(
    primary: ModelMember,
    answer: (position: SessionPosition | undefined) => void,
  ): void {
    this.network.send('index', this.name, primary.name, () => {
      const { seen } = primary;
      const isPrimary = primary.readNow() !== undefined;
      this.network.send('index-answer', primary.name, this.name, () => {
        answer(isPrimary ? seen : undefined);
      });
    });
  }

  private askPrimary(
    step: string,
    primary: ModelMember,
    answer: (position: SessionPosition | undefined) => void,
  ): void {
    this.network.send(step, this.name, primary.name, () =>
      primary.confirm((position) =>
        this.network.send(`${step}-answer`, primary.name, this.name, () => answer(position)),
      ),
    );
  }

  private chooseReplicas(): ModelMember[] {
    const replicas = [...this.members.values()].filter((member) => member !== this.primary);
    if (this.random.next() < 0.5) replicas.reverse();
    return replicas;
  }

  private readAt(
    replicas: readonly ModelMember[],
    needed: SessionPosition | undefined,
    deadline: number,
    reply: (result: ReadResult | undefined) => void,
  ): void {
    const [replica, ...others] = replicas;
    if (replica === undefined || needed === undefined) {
      this.readAtPrimary(deadline, reply);
      return;
    }
    const answer = this.once(
      (result: ReadResult | undefined) => {
        if (result === undefined) this.readAt(others, needed, deadline, reply);
        else reply(result);
      },
      () => undefined,
    );
    this.network.send('read', this.name, replica.name, () =>
      replica.read(needed, REPLICA_WAIT_MS, (keys, position) =>
        this.network.send('read-answer', replica.name, this.name, () =>
          answer(keys === undefined ? undefined : { keys, position }),
        ),
      ),
    );
  }

  private readAtPrimary(deadline: number, reply: (result: ReadResult | undefined) => void): void {
    const { primary } = this;
    if (this.now >= deadline) {
      reply(undefined);
      return;
    }
    const retry = (): void =>
      this.network.later(this.name, RETRY_MS, () => this.readAtPrimary(deadline, reply));
    if (primary === undefined) {
      retry();
      return;
    }
    const answer = this.once(
      (result: ReadResult | undefined) => {
        if (result === undefined) retry();
        else reply(result);
      },
      () => undefined,
    );
    this.network.send('read', this.name, primary.name, () => {
      const keys = primary.readNow();
      const pass = (position: SessionPosition): void =>
        this.network.send('read-answer', primary.name, this.name, () =>
          answer(keys && { keys, position }),
        );
      if (this.without.has('read-confirmation')) pass(primary.seen);
      else primary.confirm(pass);
    });
  }

  private dropConnection(primary: ModelMember, attempt: string): void {
    const end = (): void => primary.endSession(attempt);
    this.network.send('terminate', this.name, primary.name, end, attempt);
  }

  /** Calls back once: with the answer, or with a fallback after the step's timeout. */
  private once<Value>(
    handle: (value: Value) => void,
    fallback: () => NoInfer<Value>,
  ): (value: Value) => void {
    let isOver = false;
    const settle = (value: Value): void => {
      if (isOver) return;
      isOver = true;
      handle(value);
    };
    this.network.later(this.name, STEP_TIMEOUT_MS, () => settle(fallback()));
    return settle;
  }
}
