import type {
  Ballot,
  InstanceId,
  LogPosition,
  MemberId,
  MemberRole,
  MemberStatus,
  Milliseconds,
  Term,
} from '@heatherledge/core';

/** One committed transaction. */
export interface LogEntry<Change> {
  readonly term: Term;
  readonly changes: readonly Change[];
}

/** Log position at which a term begins. */
export interface TermStart {
  readonly term: Term;
  readonly start: LogPosition;
}

/** A replica's request to receive the log. */
export interface ResumeRequest {
  readonly member: MemberId;
  /** Term of the primary that the replica follows. */
  readonly follows: Term;
  /** Term up to which the replica's log is complete. */
  readonly term: Term;
  readonly position: LogPosition;
}

/** A part of the log that the primary sends to a replica. */
export interface LogBatch<Change> {
  readonly term: Term;
  /**
   * Position of the first entry. The replica's log is truncated here, unless its entries from here
   * on are the first of the batch.
   */
  readonly from: LogPosition;
  readonly entries: readonly LogEntry<Change>[];
  readonly termStarts: readonly TermStart[];
  /** Confirmation round; the ack echoes it, so that new acks can be told from old ones. */
  readonly round: number;
}

/** A replica's acknowledgement of a batch. */
export interface LogAck {
  readonly member: MemberId;
  readonly term: Term;
  readonly position: LogPosition;
  readonly round: number;
}

/** A change of a member's durable state: its promise, its terms or its log entries. */
export type JournalRecord<Change> =
  | { readonly kind: 'promise'; readonly ballot: Ballot }
  | { readonly kind: 'term'; readonly term: Term; readonly termStarts: readonly TermStart[] }
  | {
      readonly kind: 'entries';
      readonly from: number;
      readonly entries: readonly LogEntry<Change>[];
    };

/** Writes a record to durable storage. */
export type JournalWriter<Change> = (record: JournalRecord<Change>) => void;

/** The last ack that the primary received from a replica. */
interface ReplicaProgress {
  ack: LogAck;
  /** Time at which the ack arrived. */
  at: Milliseconds;
}

/** Oldest ack that counts towards a primary's majority in its status. */
const MAX_ACK_AGE_MS = 500;
/** Replaces the instance in a ballot if the promise was made by following a primary. */
const FOLLOW_PROMISE_HOLDER = 'following' as InstanceId;

/**
 * Replicated log of one member: terms, promises, promotion and replication, without any I/O. The
 * stand-in process and the fault matrix run the same code. The journal lets promise and log survive
 * restarts.
 */
export class ReplicaLog<Change> {
  private role: MemberRole = 'replica';

  private term = 0 as Term;

  private promise: Ballot = { term: 0 as Term, by: FOLLOW_PROMISE_HOLDER };

  private source: MemberId | undefined;

  private entries: LogEntry<Change>[] = [];

  private termStarts: TermStart[] = [];

  private readonly progress = new Map<MemberId, ReplicaProgress>();

  private round = 0;

  /**
   * @param member - this member
   * @param groupSize - number of members in the group
   * @param journal - writes each change of durable state before any message reveals it
   */
  constructor(
    private readonly member: MemberId,
    private readonly groupSize: number,
    private readonly journal: JournalWriter<Change> = () => {},
  ) {}

  /**
   * Restores the durable state after a restart; the member follows no primary until `follow`.
   *
   * @param records - all journal records, oldest first
   */
  restore(records: Iterable<JournalRecord<Change>>): void {
    for (const record of records) {
      if (record.kind === 'promise') this.promise = record.ballot;
      else if (record.kind === 'term') {
        this.term = record.term;
        this.termStarts = [...record.termStarts];
      } else {
        this.entries.splice(record.from, this.entries.length, ...record.entries);
      }
    }
  }

  /** @returns position of the log's end */
  get position(): LogPosition {
    return this.entries.length as LogPosition;
  }

  /** @returns whether this member is primary of the highest term that it has promised */
  get isPrimary(): boolean {
    return this.role === 'primary';
  }

  /** @returns term up to which this member's log is complete */
  get currentTerm(): Term {
    return this.term;
  }

  /** @returns primary from which this member receives the log */
  get currentSource(): MemberId | undefined {
    return this.source;
  }

  /** @returns number of the newest confirmation round */
  get currentRound(): number {
    return this.round;
  }

  /**
   * @param from - position of the first entry
   * @returns all entries from that position
   */
  getEntriesFrom(from: number): readonly LogEntry<Change>[] {
    return this.entries.slice(from);
  }

  /**
   * @param applied - position up to which reads include the log
   * @param openTransactions - number of open write transactions
   * @param now - current monotonic time
   * @returns the member's status
   */
  createStatus(applied: LogPosition, openTransactions: number, now: Milliseconds): MemberStatus {
    return {
      member: this.member,
      role: this.role,
      term: this.term,
      position: this.position,
      applied,
      promisedTerm: this.promise.term,
      source: this.source,
      hasMajority: this.isPrimary && this.hasMajority(now),
      openTransactions,
    };
  }

  /**
   * Promises this ballot to refuse all lower terms, and stops acting as primary or replica.
   *
   * @param ballot - the term and the instance that changes the primary
   * @returns whether the promise is held by this ballot
   */
  fence(ballot: Ballot): boolean {
    const isSame = ballot.term === this.promise.term && ballot.by === this.promise.by;
    if (isSame) return true;
    if (ballot.term <= this.promise.term) return false;
    this.recordPromise(ballot);
    this.role = 'fenced';
    this.source = undefined;
    this.progress.clear();
    return true;
  }

  /**
   * Becomes primary, if the promise is held by this ballot.
   *
   * @param ballot - the term and the instance that changes the primary
   * @returns whether this member is now primary of that term
   */
  promote(ballot: Ballot): boolean {
    if (ballot.term !== this.promise.term || ballot.by !== this.promise.by) return false;
    if (this.isPrimary) return true;
    this.role = 'primary';
    this.term = ballot.term;
    this.termStarts.push({ term: ballot.term, start: this.position });
    this.journal({ kind: 'term', term: this.term, termStarts: this.termStarts });
    return true;
  }

  /**
   * Becomes a replica of a primary.
   *
   * @param term - the primary's term
   * @param primary - the primary
   * @returns whether the term was accepted
   */
  follow(term: Term, primary: MemberId): boolean {
    if (term < this.promise.term) return false;
    if (this.isPrimary && term === this.term) return false;
    if (term > this.promise.term) this.recordPromise({ term, by: FOLLOW_PROMISE_HOLDER });
    this.role = 'replica';
    this.source = primary;
    this.progress.clear();
    return true;
  }

  /**
   * Appends a transaction to the primary's log.
   *
   * @param changes - the transaction's changes
   * @returns the log's new end, or undefined if this member is not primary
   */
  append(changes: readonly Change[]): LogPosition | undefined {
    if (!this.isPrimary) return undefined;
    this.replaceEntriesFrom(this.entries.length, [{ term: this.term, changes }]);
    return this.position;
  }

  /** @returns a request to the source, or undefined if this member follows no primary */
  createResumeRequest(): ResumeRequest | undefined {
    if (this.role !== 'replica' || this.source === undefined) return undefined;
    const { member, term, position } = this;
    return { member, follows: this.promise.term, term, position };
  }

  /**
   * Computes the position from which a replica must receive the log.
   *
   * @param request - the replica's request
   * @returns the position, or undefined if this member is not the primary that the replica follows
   */
  resolveResumePosition(request: ResumeRequest): LogPosition | undefined {
    if (!this.isPrimary || request.follows !== this.term) return undefined;
    // Entries that the replica holds beyond the start of the next term were never confirmed.
    const nextTermStart = this.termStarts.find(({ term }) => term > request.term);
    const commonEnd = nextTermStart === undefined ? this.position : nextTermStart.start;
    return Math.min(request.position, commonEnd) as LogPosition;
  }

  /**
   * @param from - position of the first entry to send
   * @returns the log from that position, marked with the current round
   */
  createBatch(from: LogPosition): LogBatch<Change> {
    const { term, termStarts, round } = this;
    return { term, from, entries: this.getEntriesFrom(from), termStarts, round };
  }

  /**
   * Starts a confirmation round. An ack of this round or a later one was sent after the call, so it
   * shows that the replica still followed this term.
   *
   * @returns the round's number
   */
  startRound(): number {
    this.round += 1;
    return this.round;
  }

  /**
   * Adds a batch to a replica's log.
   *
   * @param batch - part of the primary's log
   * @returns the ack, and whether own entries were dropped; undefined if the batch is refused
   */
  receive(batch: LogBatch<Change>): { ack: LogAck; truncated: boolean } | undefined {
    const isFollowedTerm = this.role === 'replica' && batch.term === this.promise.term;
    if (!isFollowedTerm || batch.from > this.position) return undefined;
    const truncated = this.mergeBatch(batch);
    const start = batch.termStarts.at(-1)?.start ?? 0;
    if (this.position >= start) this.adoptTerm(batch);
    const { member, position } = this;
    return { ack: { member, term: this.term, position, round: batch.round }, truncated };
  }

  /**
   * Records a replica's ack of the current term, unless one of a later round is known.
   *
   * @param ack - the ack
   * @param now - current monotonic time
   */
  recordAck(ack: LogAck, now: Milliseconds): void {
    if (!this.isPrimary || ack.term !== this.term) return;
    const latest = this.progress.get(ack.member);
    // Acks may arrive out of order; a position acknowledged once stays acknowledged in this term.
    if (latest !== undefined && latest.ack.round > ack.round) return;
    this.progress.set(ack.member, { ack, at: now });
  }

  /**
   * Checks whether a majority holds a position and still followed this term in a round.
   *
   * @param position - end of the log to be confirmed
   * @param round - a round that was started after the request arrived
   * @returns whether the position is confirmed
   */
  isConfirmed(position: LogPosition, round: number): boolean {
    if (!this.isPrimary) return false;
    let holders = 1;
    for (const { ack } of this.progress.values()) {
      if (ack.position >= position && ack.round >= round) holders += 1;
    }
    return holders * 2 > this.groupSize;
  }

  private hasMajority(now: Milliseconds): boolean {
    let recent = 1;
    for (const { at } of this.progress.values()) if (now - at <= MAX_ACK_AGE_MS) recent += 1;
    return recent * 2 > this.groupSize;
  }

  private mergeBatch(batch: LogBatch<Change>): boolean {
    const overlap = this.entries.slice(batch.from);
    const isPrefix = overlap.every((entry, index) => entry.term === batch.entries[index]?.term);
    if (isPrefix && overlap.length <= batch.entries.length) {
      this.replaceEntriesFrom(this.entries.length, batch.entries.slice(overlap.length));
      return false;
    }
    // Only a primary of a later term may truncate this log, not a delayed batch of the same term.
    if (batch.term === this.term) return false;
    this.replaceEntriesFrom(batch.from, batch.entries);
    return true;
  }

  private adoptTerm(batch: LogBatch<Change>): void {
    if (this.term === batch.term) return;
    this.term = batch.term;
    this.termStarts = [...batch.termStarts];
    this.journal({ kind: 'term', term: this.term, termStarts: this.termStarts });
  }

  private recordPromise(ballot: Ballot): void {
    this.promise = ballot;
    this.journal({ kind: 'promise', ballot });
  }

  private replaceEntriesFrom(from: number, entries: readonly LogEntry<Change>[]): void {
    if (entries.length === 0 && from === this.entries.length) return;
    this.entries.splice(from, this.entries.length, ...entries);
    this.journal({ kind: 'entries', from, entries });
  }
}
