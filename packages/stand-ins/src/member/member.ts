/** A database member: its tables, its log, and what may be asked of it. */
import type {
  Ballot,
  InstanceId,
  LogPosition,
  MemberId,
  MemberStatus,
  Term,
} from '@heatherledge/core';
import { FileJournal } from './file-journal.js';
import type { MemberConfig, MemberFaults } from './member-config.js';
import { ReplicaLog } from './replica-log.js';
import { readMonotonicMs, ReplicationLink } from './replication-link.js';
import { type Change, TableOverlay, TableStore } from './sql/table-store.js';
import { SqlFailure, type SqlValue } from './sql/values.js';

/** Answer to a question for a position. */
export interface PositionAnswer {
  readonly term: Term;
  readonly position: LogPosition;
}

interface Waiter {
  readonly isReady: () => PositionAnswer | undefined;
  readonly resolve: (answer: PositionAnswer) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** One write transaction; it holds the member's only write lock. */
export class WriteTransaction {
  readonly overlay: TableOverlay;

  constructor(store: TableStore) {
    this.overlay = new TableOverlay(store);
  }
}

/** A stand-in member without its network side. */
export class Member {
  readonly faults: MemberFaults = { receiveLagMs: 0, applyLagMs: 0, isolated: false };

  readonly store = new TableStore();

  private readonly log: ReplicaLog<Change>;

  private readonly link: ReplicationLink;

  private applied = 0;

  private waiters = new Set<Waiter>();

  private lockQueue: (() => void)[] = [];

  /** Stays set while the lock is handed from one transaction to the next. */
  private locked = false;

  private lockHolder: WriteTransaction | undefined;

  private quietUntil = 0;

  private applyTimer: NodeJS.Timeout | undefined;

  /**
   * @param config - the member's settings
   * @param onDemoted - called when sessions must end because this member is no longer primary
   */
  constructor(
    config: MemberConfig,
    private readonly onDemoted: () => void,
  ) {
    const size = config.peers.length + 1;
    const journal = config.dataFile === undefined ? undefined : new FileJournal(config.dataFile);
    this.log = new ReplicaLog<Change>(config.id, size, journal?.write);
    this.log.restore(journal?.read() ?? []);
    this.applyUpTo(this.log.position);
    this.link = new ReplicationLink(config, this.log, this.faults, {
      onReceived: (truncated) => this.handleReceived(truncated),
      onAck: () => this.wakeWaiters(),
    });
  }

  /** Starts replication. */
  async start(): Promise<void> {
    await this.link.start();
  }

  /** Ends replication. */
  stop(): void {
    clearTimeout(this.applyTimer);
    this.link.stop();
  }

  /** @returns the member's account of itself */
  get status(): MemberStatus {
    const open = (this.locked ? 1 : 0) + this.lockQueue.length;
    return this.log.describe(this.applied as LogPosition, open, readMonotonicMs());
  }

  /** @returns an overlay through which committed data are read */
  createReader(): TableOverlay {
    return new TableOverlay(this.store);
  }

  /**
   * Starts a write transaction, waiting for the one before it.
   *
   * @returns the transaction
   * @throws SqlFailure if this member takes no writes
   */
  async beginWrite(): Promise<WriteTransaction> {
    this.checkWritable();
    if (this.locked) {
      await new Promise<void>((resolve) => {
        this.lockQueue.push(resolve);
      });
      if (!this.log.isPrimary) throw createReadOnlyFailure();
    }
    this.locked = true;
    const transaction = new WriteTransaction(this.store);
    this.lockHolder = transaction;
    return transaction;
  }

  /**
   * Commits a write transaction on this member; replicas receive it later.
   *
   * @param transaction - the transaction
   * @throws SqlFailure if this member is no longer primary
   */
  commit(transaction: WriteTransaction): void {
    const { pending } = transaction.overlay;
    const position = this.log.append(pending);
    this.finish(transaction);
    if (position === undefined) throw createReadOnlyFailure();
    this.store.apply(pending);
    this.applied = position;
    this.link.flush();
    this.wakeWaiters();
  }

  /** Ends a write transaction without a trace. */
  rollback(transaction: WriteTransaction): void {
    this.finish(transaction);
  }

  /**
   * Waits until a majority holds everything committed here, and has obeyed this term since now.
   *
   * @param timeoutMs - longest wait
   * @returns the confirmed position
   * @throws SqlFailure if that did not come about in time
   */
  async confirm(timeoutMs: number): Promise<PositionAnswer> {
    if (!this.log.isPrimary) throw createReadOnlyFailure();
    const { position } = this.log;
    const term = this.log.currentTerm;
    const round = this.log.startRound();
    this.link.flush();
    return this.wait(timeoutMs, () => {
      if (this.log.currentTerm !== term || !this.log.isConfirmed(position, round)) return undefined;
      return { term, position };
    });
  }

  /**
   * Waits until reads here include a position.
   *
   * @param term - term in which it was confirmed
   * @param position - the position
   * @param timeoutMs - longest wait
   * @returns what reads here include now
   * @throws SqlFailure if that did not come about in time
   */
  async awaitPosition(term: number, position: number, timeoutMs: number): Promise<PositionAnswer> {
    return this.wait(timeoutMs, () => {
      if (this.log.currentTerm < term || this.applied < position) return undefined;
      return { term: this.log.currentTerm, position: this.applied as LogPosition };
    });
  }

  /** @returns whether the promise was given */
  fence(term: Term, by: InstanceId): boolean {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.log.fence({ term, by } satisfies Ballot);
    if (wasPrimary && !this.log.isPrimary) this.demote();
    return accepted;
  }

  /** @returns whether this member is now primary of the term */
  promote(term: Term, by: InstanceId): boolean {
    const accepted = this.log.promote({ term, by });
    if (accepted) {
      this.applyUpTo(this.log.position);
      this.quietUntil = 0;
    }
    return accepted;
  }

  /** @returns whether the order was obeyed */
  follow(term: Term, primary: MemberId): boolean {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.log.follow(term, primary);
    if (accepted && wasPrimary) this.demote();
    return accepted;
  }

  /** Starts no new write transaction for a while. */
  quiesce(term: Term, forMs: number): boolean {
    if (!this.log.isPrimary || this.log.currentTerm !== term) return false;
    this.quietUntil = readMonotonicMs() + forMs;
    return true;
  }

  /**
   * @param table - a table
   * @returns its rows, for tests that check what was kept
   */
  dumpTable(table: string): Record<string, SqlValue>[] {
    return [...this.store.rowsOf(table).values()].map((row) => ({ ...row }));
  }

  private checkWritable(): void {
    if (!this.log.isPrimary || readMonotonicMs() < this.quietUntil) throw createReadOnlyFailure();
  }

  private demote(): void {
    this.lockHolder = undefined;
    this.locked = false;
    const queue = this.lockQueue;
    this.lockQueue = [];
    for (const resume of queue) resume();
    this.onDemoted();
    this.wakeWaiters();
  }

  private finish(transaction: WriteTransaction): void {
    if (this.lockHolder === transaction) this.releaseLock();
  }

  private releaseLock(): void {
    this.lockHolder = undefined;
    const next = this.lockQueue.shift();
    this.locked = next !== undefined;
    next?.();
  }

  private handleReceived(truncated: boolean): void {
    if (truncated) this.rebuild();
    const target = this.log.position;
    const { applyLagMs } = this.faults;
    if (applyLagMs === 0) this.applyUpTo(target);
    else this.applyTimer = setTimeout(() => this.applyUpTo(target), applyLagMs);
  }

  private rebuild(): void {
    this.store.clear();
    this.applied = 0;
  }

  private applyUpTo(target: number): void {
    const end = Math.min(target, this.log.position);
    if (end <= this.applied) return;
    for (const entry of this.log.entriesFrom(this.applied).slice(0, end - this.applied)) {
      this.store.apply(entry.changes);
    }
    this.applied = end;
    this.wakeWaiters();
  }

  private async wait(
    timeoutMs: number,
    isReady: () => PositionAnswer | undefined,
  ): Promise<PositionAnswer> {
    const ready = isReady();
    if (ready !== undefined) return ready;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.waiters.delete(waiter);
        reject(new SqlFailure('LH002', 'position was not reached in time'));
      }, timeoutMs);
      const waiter: Waiter = { isReady, resolve, reject, timer };
      this.waiters.add(waiter);
    });
  }

  private wakeWaiters(): void {
    for (const waiter of this.waiters) {
      const answer = waiter.isReady();
      if (answer === undefined) continue;
      this.waiters.delete(waiter);
      clearTimeout(waiter.timer);
      waiter.resolve(answer);
    }
  }
}

function createReadOnlyFailure(): SqlFailure {
  return new SqlFailure('25006', 'cannot execute in a read-only transaction');
}
