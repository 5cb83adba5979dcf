import {
  includesPosition,
  type LogPosition,
  type MemberId,
  type MemberOrder,
  type OrderResponse,
  type SessionPosition,
  type Term,
  toBrand,
} from '@heatherledge/core';
import {
  type LogAck,
  type LogBatch,
  ReplicaLog,
  type ResumeRequest,
} from '@heatherledge/stand-ins';
import type { FakeNetwork, NodeName } from '../fake-network.js';
import type { WriteRecord } from './group-history.js';
import type { GroupGuard } from './guards.js';

/** A write transaction that is open at the member. */
interface OpenTransaction {
  readonly record: WriteRecord;
  /** Whether the transaction stores its idempotency key, and so holds a lock on it. */
  readonly isRecorded: boolean;
  readonly openedAtMs: number;
}

/** A request that waits until a majority holds a log position. */
interface PendingConfirmation {
  readonly position: LogPosition;
  /** Acknowledgements of earlier rounds do not count. */
  readonly round: number;
  readonly reply: (position: SessionPosition) => void;
}

/** A request that waits for the transaction that has locked its key. */
interface LockWaiter {
  readonly key: string;
  readonly run: () => void;
}

/** A read that waits until the log reaches a position. */
interface PendingRead {
  readonly requiredPosition: SessionPosition;
  readonly deadlineMs: number;
  readonly reply: (keys: readonly string[] | undefined, at: SessionPosition) => void;
}

const TICK_INTERVAL_MS = 50;
/** A member closes a silent connection after this time, which rolls back its open transaction. */
const OPEN_TRANSACTION_TIMEOUT_MS = 4000;

/**
 * Models a member of the group: the stand-in's own log over the simulated network. The log and the
 * promise survive kills, as those of a real member do.
 */
export class ModelMember {
  /** Delay before a replica applies a batch, in milliseconds. */
  lagMs = 0;

  readonly log: ReplicaLog<WriteRecord>;

  /** Position from which the next batch to each follower starts. */
  private readonly followerPositions = new Map<MemberId, LogPosition>();

  private cachedRecords: readonly WriteRecord[] = [];

  private cachedKeys: readonly string[] = [];

  private openTransactions = new Map<string, OpenTransaction>();

  /** Attempts whose connection was closed; a begin request that arrives later is ignored. */
  private readonly endedAttempts = new Set<string>();

  private pendingConfirmations: PendingConfirmation[] = [];

  private lockWaiters: LockWaiter[] = [];

  private pendingReads: PendingRead[] = [];

  private quiescedUntilMs = 0;

  constructor(
    readonly name: NodeName,
    private readonly members: () => ReadonlyMap<NodeName, ModelMember>,
    private readonly network: FakeNetwork,
    groupSize: number,
    private readonly disabledGuards: ReadonlySet<GroupGuard>,
  ) {
    this.log = new ReplicaLog<WriteRecord>(toBrand<MemberId>(name), groupSize);
    this.start();
  }

  /** Starts the periodic work, at first and after a kill. */
  start(): void {
    this.openTransactions = new Map();
    this.pendingConfirmations = [];
    this.lockWaiters = [];
    this.pendingReads = [];
    this.followerPositions.clear();
    this.onTick();
  }

  /** @returns records of the transactions in the log; cached until the log changes */
  get records(): readonly WriteRecord[] {
    const { position } = this.log;
    const [last] = this.log.getEntriesFrom(Math.max(0, this.cachedRecords.length - 1));
    const isPrefix =
      this.cachedRecords.length === 0 ||
      last?.changes[0]?.attempt === this.cachedRecords.at(-1)?.attempt;
    if (isPrefix && position === this.cachedRecords.length) return this.cachedRecords;
    const known = isPrefix ? this.cachedRecords : [];
    const added = this.log.getEntriesFrom(known.length).flatMap(({ changes }) => changes);
    this.cachedRecords = [...known, ...added];
    this.cachedKeys = this.cachedRecords.map(({ key }) => key);
    return this.cachedRecords;
  }

  /** @returns keys of the transactions in the log */
  private get keys(): readonly string[] {
    return this.records.length === 0 ? [] : this.cachedKeys;
  }

  /** @returns term and end of the log that reads at this member include */
  get readPosition(): SessionPosition {
    return { term: this.log.currentTerm, position: this.log.position };
  }

  /** Handles an order of a watcher. */
  handleOrder(order: MemberOrder): OrderResponse {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.applyOrder(order);
    if (wasPrimary && !this.log.isPrimary) this.endAllSessions();
    const now = this.network.queue.now();
    return {
      accepted,
      status: this.log.createStatus(this.log.position, this.openTransactions.size, now),
    };
  }

  /**
   * Opens a write transaction, after a transaction that has locked the key has ended. Replies
   * `read-only` if the member is not primary or is quiesced, and `recorded` if the log has a record
   * of the key.
   */
  beginTransaction(
    record: WriteRecord,
    isRecorded: boolean,
    reply: (result: 'open' | 'read-only' | 'recorded') => void,
  ): void {
    if (this.endedAttempts.has(record.attempt)) return;
    const openedAtMs = this.network.queue.now();
    if (!this.log.isPrimary || openedAtMs < this.quiescedUntilMs) {
      reply('read-only');
      return;
    }
    if (this.isLocked(record.key)) {
      this.lockWaiters.push({
        key: record.key,
        run: () => this.beginTransaction(record, isRecorded, reply),
      });
      return;
    }
    if (isRecorded && this.records.some(({ key }) => key === record.key)) {
      reply('recorded');
      return;
    }
    this.openTransactions.set(record.attempt, { record, isRecorded, openedAtMs });
    reply('open');
  }

  /** Commits an open transaction; replies false if there is none or the member is not primary. */
  commit(attempt: string, reply: (isCommitted: boolean) => void): void {
    const transaction = this.openTransactions.get(attempt);
    this.openTransactions.delete(attempt);
    const position = transaction && this.log.append([transaction.record]);
    if (position !== undefined) this.sendBatches();
    this.runLockWaiters();
    reply(position !== undefined);
  }

  /** Closes an attempt's connection and rolls back its transaction. */
  endSession(attempt: string): void {
    this.endedAttempts.add(attempt);
    this.openTransactions.delete(attempt);
    this.runLockWaiters();
  }

  /**
   * Replies with the current end of the log, once a majority holds it and has acknowledged this
   * term in a round that starts now.
   */
  confirmPosition(reply: (position: SessionPosition) => void): void {
    if (!this.log.isPrimary) return;
    const { position } = this.log;
    this.pendingConfirmations.push({ position, round: this.log.startRound(), reply });
    this.sendBatches();
  }

  /** Replies whether the log has a record of a key, once no open transaction holds a lock on it. */
  lookUp(key: string, reply: (found: boolean) => void): void {
    if (!this.log.isPrimary) return;
    if (!this.disabledGuards.has('look-up-waits') && this.isLocked(key)) {
      this.lockWaiters.push({ key, run: () => this.lookUp(key, reply) });
      return;
    }
    reply(this.records.some((record) => record.key === key));
  }

  /** Replies with the keys in the log once it reaches a position, or undefined after a timeout. */
  readAtPosition(
    requiredPosition: SessionPosition,
    maxWaitMs: number,
    reply: (keys: readonly string[] | undefined, at: SessionPosition) => void,
  ): void {
    const deadlineMs = this.network.queue.now() + maxWaitMs;
    this.pendingReads.push({ requiredPosition, deadlineMs, reply });
    this.completeReads();
  }

  /** @returns keys in the log, or undefined if the member is not primary */
  readAsPrimary(): readonly string[] | undefined {
    return this.log.isPrimary ? this.keys : undefined;
  }

  private applyOrder(order: MemberOrder): boolean {
    switch (order.kind) {
      case 'fence':
        return this.disabledGuards.has('promise') || this.log.fence(order.ballot);
      case 'promote':
        if (this.disabledGuards.has('promise')) this.log.fence(order.ballot);
        return this.log.promote(order.ballot);
      case 'follow':
        return this.log.follow(order.term, order.primary);
      case 'quiesce':
        this.quiescedUntilMs = this.network.queue.now() + order.forMs;
        return true;
      default:
        return true;
    }
  }

  private onTick(): void {
    if (this.log.isPrimary) {
      this.log.startRound();
      this.sendBatches();
    } else {
      this.followerPositions.clear();
      this.requestLog();
    }
    this.completeReads();
    this.endExpiredTransactions();
    this.network.scheduleOnNode(this.name, TICK_INTERVAL_MS, () => this.onTick());
  }

  private requestLog(): void {
    const request = this.log.createResumeRequest();
    const source = this.log.currentSource;
    const primary = source === undefined ? undefined : this.members().get(source);
    if (request === undefined || primary === undefined) return;
    this.network.send('resume', this.name, primary.name, () =>
      primary.handleResumeRequest(request),
    );
  }

  private handleResumeRequest(request: ResumeRequest): void {
    const from = this.log.resolveResumePosition(request);
    if (from === undefined) return;
    this.followerPositions.set(request.member, from);
    this.sendBatch(request.member, from);
  }

  private sendBatches(): void {
    for (const [member, from] of this.followerPositions) this.sendBatch(member, from);
  }

  private sendBatch(member: MemberId, from: LogPosition): void {
    const replica = this.members().get(member);
    if (replica === undefined) return;
    const batch = this.log.createBatch(from);
    this.network.send('batch', this.name, replica.name, () => replica.receiveBatch(batch, this));
  }

  private receiveBatch(batch: LogBatch<WriteRecord>, primary: ModelMember): void {
    if (this.lagMs === 0) {
      this.applyBatch(batch, primary);
      return;
    }
    this.network.scheduleOnNode(this.name, this.lagMs, () => this.applyBatch(batch, primary));
  }

  private applyBatch(batch: LogBatch<WriteRecord>, primary: ModelMember): void {
    const result = this.log.receive(batch);
    if (result === undefined) return;
    this.completeReads();
    this.network.send('ack', this.name, primary.name, () => primary.handleAck(result.ack));
  }

  private handleAck(ack: LogAck): void {
    this.log.recordAck(ack, this.network.queue.now());
    const known = this.followerPositions.get(ack.member);
    if (ack.term === this.log.currentTerm && known !== undefined && ack.position > known) {
      this.followerPositions.set(ack.member, ack.position);
    }
    this.completeConfirmations();
  }

  private completeConfirmations(): void {
    const term: Term = this.log.currentTerm;
    const ready = this.pendingConfirmations.filter((item) =>
      this.log.isConfirmed(item.position, item.round),
    );
    this.pendingConfirmations = this.pendingConfirmations.filter((item) => !ready.includes(item));
    for (const { position, reply } of ready) reply({ term, position });
  }

  private completeReads(): void {
    const now = this.network.queue.now();
    for (const read of [...this.pendingReads]) {
      if (this.hasReached(read.requiredPosition)) {
        this.pendingReads = this.pendingReads.filter((other) => other !== read);
        read.reply(this.keys, this.readPosition);
      } else if (now >= read.deadlineMs) {
        this.pendingReads = this.pendingReads.filter((other) => other !== read);
        read.reply(undefined, this.readPosition);
      }
    }
  }

  private hasReached(required: SessionPosition): boolean {
    if (this.disabledGuards.has('position-check')) return true;
    if (this.disabledGuards.has('position-term')) return this.log.position >= required.position;
    return includesPosition(this.readPosition, required);
  }

  private isLocked(key: string): boolean {
    return [...this.openTransactions.values()].some(
      ({ record, isRecorded }) => isRecorded && record.key === key,
    );
  }

  private runLockWaiters(): void {
    const { lockWaiters } = this;
    this.lockWaiters = [];
    for (const { run } of lockWaiters) run();
  }

  private endExpiredTransactions(): void {
    const oldestOpenedAtMs = this.network.queue.now() - OPEN_TRANSACTION_TIMEOUT_MS;
    for (const [attempt, { openedAtMs }] of this.openTransactions) {
      if (openedAtMs < oldestOpenedAtMs) this.endSession(attempt);
    }
  }

  private endAllSessions(): void {
    this.openTransactions.clear();
    this.pendingConfirmations = [];
    this.lockWaiters = [];
  }
}
