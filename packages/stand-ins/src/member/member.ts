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
import { type TableChange, TableOverlay, TableStore } from './sql/table-store.js';
import { SqlError, type SqlValue } from './sql/values.js';

/** A log position that was confirmed or applied; sent as JSON. */
export interface ReachedPosition {
  readonly term: Term;
  readonly position: LogPosition;
}

interface PositionWaiter {
  /** Returns undefined until the condition holds. */
  readonly getResult: () => ReachedPosition | undefined;
  readonly resolve: (result: ReachedPosition) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** A write transaction; it holds the member's only write lock. */
export class WriteTransaction {
  readonly overlay: TableOverlay;

  constructor(store: TableStore) {
    this.overlay = new TableOverlay(store);
  }
}

/** A stand-in for a PostgreSQL member: tables, write lock, replicated log and control functions. */
export class Member {
  readonly faults: MemberFaults = { receiveLagMs: 0, applyLagMs: 0, isolated: false };

  readonly store = new TableStore();

  private readonly log: ReplicaLog<TableChange>;

  private readonly link: ReplicationLink;

  private applied = 0;

  private positionWaiters = new Set<PositionWaiter>();

  private lockQueue: (() => void)[] = [];

  /** Stays set while the write lock passes from one transaction to the next. */
  private isLocked = false;

  private lockHolder: WriteTransaction | undefined;

  private quiesceEndMs = 0;

  private applyTimer: NodeJS.Timeout | undefined;

  /**
   * @param config - the member's settings
   * @param onDemoted - called when this member stops being primary, so that its sessions must end
   */
  constructor(
    config: MemberConfig,
    private readonly onDemoted: () => void,
  ) {
    const size = config.peers.length + 1;
    const journal = config.dataFile === undefined ? undefined : new FileJournal(config.dataFile);
    this.log = new ReplicaLog<TableChange>(config.id, size, journal?.write);
    this.log.restore(journal?.read() ?? []);
    this.applyUpTo(this.log.position);
    this.link = new ReplicationLink(config, this.log, this.faults, {
      onReceived: (truncated) => this.handleReceived(truncated),
      onAck: () => this.resolveWaiters(),
    });
  }

  /** Starts replication. */
  async start(): Promise<void> {
    await this.link.start();
  }

  /** Stops replication. */
  stop(): void {
    clearTimeout(this.applyTimer);
    this.link.stop();
  }

  /** @returns the member's role, terms, log positions and open transactions */
  get status(): MemberStatus {
    const openTransactions = (this.isLocked ? 1 : 0) + this.lockQueue.length;
    return this.log.createStatus(this.applied as LogPosition, openTransactions, readMonotonicMs());
  }

  /** @returns an empty overlay, which reads committed data */
  createReader(): TableOverlay {
    return new TableOverlay(this.store);
  }

  /**
   * Starts a write transaction once the transactions queued before it have ended.
   *
   * @returns the transaction
   * @throws SqlError if this member is not primary or is quiesced
   */
  async beginWrite(): Promise<WriteTransaction> {
    this.checkWritable();
    if (this.isLocked) {
      await new Promise<void>((resolve) => {
        this.lockQueue.push(resolve);
      });
      if (!this.log.isPrimary) throw createReadOnlyError();
    }
    this.isLocked = true;
    const transaction = new WriteTransaction(this.store);
    this.lockHolder = transaction;
    return transaction;
  }

  /**
   * Commits a write transaction on this member; replicas receive it later.
   *
   * @param transaction - the transaction
   * @throws SqlError if this member is no longer primary
   */
  commit(transaction: WriteTransaction): void {
    const { pending } = transaction.overlay;
    const position = this.log.append(pending);
    this.endTransaction(transaction);
    if (position === undefined) throw createReadOnlyError();
    this.store.apply(pending);
    this.applied = position;
    this.link.flush();
    this.resolveWaiters();
  }

  /** Discards a write transaction. */
  rollback(transaction: WriteTransaction): void {
    this.endTransaction(transaction);
  }

  /**
   * Waits until a majority holds everything committed here and has acknowledged this term in a
   * round started by this call.
   *
   * @param timeoutMs - maximum wait
   * @returns the confirmed position
   * @throws SqlError if this member is not primary or the wait times out
   */
  async confirm(timeoutMs: number): Promise<ReachedPosition> {
    if (!this.log.isPrimary) throw createReadOnlyError();
    const { position } = this.log;
    const term = this.log.currentTerm;
    const round = this.log.startRound();
    this.link.flush();
    return this.waitForResult(timeoutMs, () => {
      if (this.log.currentTerm !== term || !this.log.isConfirmed(position, round)) return undefined;
      return { term, position };
    });
  }

  /**
   * Waits until reads at this member include a position.
   *
   * @param term - term in which the position was confirmed
   * @param position - the position
   * @param timeoutMs - maximum wait
   * @returns the position that reads include now
   * @throws SqlError if the wait times out
   */
  async waitForPosition(
    term: number,
    position: number,
    timeoutMs: number,
  ): Promise<ReachedPosition> {
    return this.waitForResult(timeoutMs, () => {
      if (this.log.currentTerm < term || this.applied < position) return undefined;
      return { term: this.log.currentTerm, position: this.applied as LogPosition };
    });
  }

  /**
   * Promises to refuse terms below this one; a primary is demoted.
   *
   * @param term - the new term
   * @param by - instance that changes the primary
   * @returns whether the promise is held by this ballot
   */
  fence(term: Term, by: InstanceId): boolean {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.log.fence({ term, by } satisfies Ballot);
    if (wasPrimary && !this.log.isPrimary) this.demote();
    return accepted;
  }

  /**
   * Becomes primary of a promised term and applies the rest of the log.
   *
   * @param term - the promised term
   * @param by - instance that holds the promise
   * @returns whether this member is now primary of the term
   */
  promote(term: Term, by: InstanceId): boolean {
    const accepted = this.log.promote({ term, by });
    if (accepted) {
      this.applyUpTo(this.log.position);
      this.quiesceEndMs = 0;
    }
    return accepted;
  }

  /**
   * Becomes a replica of a primary.
   *
   * @param term - the primary's term
   * @param primary - the primary
   * @returns whether the term was accepted
   */
  follow(term: Term, primary: MemberId): boolean {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.log.follow(term, primary);
    if (accepted && wasPrimary) this.demote();
    return accepted;
  }

  /**
   * Refuses new write transactions for a while; open and queued ones go on.
   *
   * @param term - this primary's term
   * @param forMs - duration in milliseconds
   * @returns whether this member is primary of the term
   */
  quiesce(term: Term, forMs: number): boolean {
    if (!this.log.isPrimary || this.log.currentTerm !== term) return false;
    this.quiesceEndMs = readMonotonicMs() + forMs;
    return true;
  }

  /**
   * @param table - a table
   * @returns copies of its committed rows, for tests
   */
  dumpTable(table: string): Record<string, SqlValue>[] {
    return [...this.store.getRows(table).values()].map((row) => ({ ...row }));
  }

  private checkWritable(): void {
    if (!this.log.isPrimary || readMonotonicMs() < this.quiesceEndMs) throw createReadOnlyError();
  }

  private demote(): void {
    this.lockHolder = undefined;
    this.isLocked = false;
    const queue = this.lockQueue;
    this.lockQueue = [];
    for (const resume of queue) resume();
    this.onDemoted();
    this.resolveWaiters();
  }

  private endTransaction(transaction: WriteTransaction): void {
    if (this.lockHolder === transaction) this.releaseLock();
  }

  private releaseLock(): void {
    this.lockHolder = undefined;
    const next = this.lockQueue.shift();
    this.isLocked = next !== undefined;
    next?.();
  }

  private handleReceived(truncated: boolean): void {
    if (truncated) this.resetTables();
    const target = this.log.position;
    const { applyLagMs } = this.faults;
    if (applyLagMs === 0) this.applyUpTo(target);
    else this.applyTimer = setTimeout(() => this.applyUpTo(target), applyLagMs);
  }

  private resetTables(): void {
    this.store.clear();
    this.applied = 0;
  }

  private applyUpTo(target: number): void {
    const end = Math.min(target, this.log.position);
    if (end <= this.applied) return;
    for (const entry of this.log.getEntriesFrom(this.applied).slice(0, end - this.applied)) {
      this.store.apply(entry.changes);
    }
    this.applied = end;
    this.resolveWaiters();
  }

  private async waitForResult(
    timeoutMs: number,
    getResult: () => ReachedPosition | undefined,
  ): Promise<ReachedPosition> {
    const result = getResult();
    if (result !== undefined) return result;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.positionWaiters.delete(waiter);
        reject(new SqlError('LH002', 'position was not reached in time'));
      }, timeoutMs);
      const waiter: PositionWaiter = { getResult, resolve, reject, timer };
      this.positionWaiters.add(waiter);
    });
  }

  private resolveWaiters(): void {
    for (const waiter of this.positionWaiters) {
      const result = waiter.getResult();
      if (result === undefined) continue;
      this.positionWaiters.delete(waiter);
      clearTimeout(waiter.timer);
      waiter.resolve(result);
    }
  }
}

function createReadOnlyError(): SqlError {
  return new SqlError('25006', 'cannot execute in a read-only transaction');
}
