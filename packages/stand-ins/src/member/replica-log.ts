/**
 * A member's log and its part in the group: terms, promises, promotion and replication, without
 * any I/O. The same code runs in the stand-in's process and in the fault matrix.
 */
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

/** Where a term's log begins. */
export interface TermStart {
  readonly term: Term;
  readonly start: LogPosition;
}

/** A replica's request to receive the log. */
export interface ResumeRequest {
  readonly member: MemberId;
  /** Term of the primary that it was told to follow. */
  readonly follows: Term;
  /** Term of the log that it holds. */
  readonly term: Term;
  readonly position: LogPosition;
}

/** A part of the log on its way to a replica. */
export interface LogBatch<Change> {
  readonly term: Term;
  /** The replica's log is cut off here before the entries are added. */
  readonly from: LogPosition;
  readonly entries: readonly LogEntry<Change>[];
  readonly termStarts: readonly TermStart[];
  /** Number of the primary's question; echoed so that it can tell new answers from old ones. */
  readonly round: number;
}

/** A replica's answer to a batch. */
export interface LogAck {
  readonly member: MemberId;
  readonly term: Term;
  readonly position: LogPosition;
  readonly round: number;
}

/** What a member must not forget over a restart. */
export type JournalRecord<Change> =
  | { readonly kind: 'promise'; readonly ballot: Ballot }
  | { readonly kind: 'term'; readonly term: Term; readonly termStarts: readonly TermStart[] }
  | {
      readonly kind: 'entries';
      readonly from: number;
      readonly entries: readonly LogEntry<Change>[];
    };

/** Keeps what a member must not forget. */
export type Journal<Change> = (record: JournalRecord<Change>) => void;

/** What the primary knows of a replica. */
interface ReplicaProgress {
  ack: LogAck;
  at: Milliseconds;
}

/** A primary counts as having a majority if the replicas answered within this time. */
const MAJORITY_LIFE_MS = 500;
/** Holder of promises that were made by following a primary. */
const FOLLOWING = 'following' as InstanceId;

/** Log and promises of one member; the promise and the log survive restarts of a real one. */
export class ReplicaLog<Change> {
  private role: MemberRole = 'replica';

  private term = 0 as Term;

  private promise: Ballot = { term: 0 as Term, by: FOLLOWING };

  private source: MemberId | undefined;

  private entries: LogEntry<Change>[] = [];

  private termStarts: TermStart[] = [];

  private readonly progress = new Map<MemberId, ReplicaProgress>();

  private round = 0;

  /**
   * @param member - this member
   * @param groupSize - number of members in the group
   * @param journal - keeps each change before it is told to anybody
   */
  constructor(
    private readonly member: MemberId,
    private readonly groupSize: number,
    private readonly journal: Journal<Change> = () => {},
  ) {}

  /**
   * Takes up what was kept before a restart; the member follows nobody until it is told to.
   *
   * @param records - everything that was kept, oldest first
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

  /** @returns end of the log */
  get position(): LogPosition {
    return this.entries.length as LogPosition;
  }

  /** @returns whether this member is primary of the highest term that it knows */
  get isPrimary(): boolean {
    return this.role === 'primary';
  }

  /** @returns term of the log that it holds in full */
  get currentTerm(): Term {
    return this.term;
  }

  /** @returns member that it was told to receive the log from */
  get currentSource(): MemberId | undefined {
    return this.source;
  }

  /** @returns number of the newest question to the replicas */
  get currentRound(): number {
    return this.round;
  }

  /**
   * @param from - first entry wanted
   * @returns entries from there on
   */
  entriesFrom(from: number): readonly LogEntry<Change>[] {
    return this.entries.slice(from);
  }

  /**
   * @param applied - end of the part of the log that reads see
   * @param openTransactions - write transactions that are open
   * @param now - present moment
   * @returns the member's account of itself
   */
  describe(applied: LogPosition, openTransactions: number, now: Milliseconds): MemberStatus {
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
   * Promises to obey no lower term.
   *
   * @param ballot - who asks, and for which term
   * @returns whether the promise was given to this ballot
   */
  fence(ballot: Ballot): boolean {
    const isSame = ballot.term === this.promise.term && ballot.by === this.promise.by;
    if (isSame) return true;
    if (ballot.term <= this.promise.term) return false;
    this.keepPromise(ballot);
    this.role = 'fenced';
    this.source = undefined;
    this.progress.clear();
    return true;
  }

  /**
   * Becomes primary, if the promise is held by this ballot.
   *
   * @param ballot - who orders it, and for which term
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
   * Receives the log from a primary.
   *
   * @param term - the primary's term
   * @param primary - the primary
   * @returns whether the order was obeyed
   */
  follow(term: Term, primary: MemberId): boolean {
    if (term < this.promise.term) return false;
    if (this.isPrimary && term === this.term) return false;
    if (term > this.promise.term) this.keepPromise({ term, by: FOLLOWING });
    this.role = 'replica';
    this.source = primary;
    this.progress.clear();
    return true;
  }

  /**
   * Adds a transaction to the primary's log.
   *
   * @param changes - what it changed
   * @returns the log's new end, or undefined if this member is not primary
   */
  append(changes: readonly Change[]): LogPosition | undefined {
    if (!this.isPrimary) return undefined;
    this.addFrom(this.entries.length, [{ term: this.term, changes }]);
    return this.position;
  }

  /** @returns a replica's request to its source, or undefined if it follows nobody */
  createResume(): ResumeRequest | undefined {
    if (this.role !== 'replica' || this.source === undefined) return undefined;
    const { member, term, position } = this;
    return { member, follows: this.promise.term, term, position };
  }

  /**
   * Works out where a replica must resume.
   *
   * @param request - the replica's request
   * @returns position from which to send, or undefined if this member is not its primary
   */
  resolveResume(request: ResumeRequest): LogPosition | undefined {
    if (!this.isPrimary || request.follows !== this.term) return undefined;
    // What the replica holds beyond the start of the next term was never confirmed.
    const next = this.termStarts.find(({ term }) => term > request.term);
    const common = next === undefined ? this.position : next.start;
    return Math.min(request.position, common) as LogPosition;
  }

  /**
   * @param from - first position to send
   * @returns the log from there on, with a new question to the replica
   */
  createBatch(from: LogPosition): LogBatch<Change> {
    const { term, termStarts, round } = this;
    return { term, from, entries: this.entriesFrom(from), termStarts, round };
  }

  /** @returns number of a new question to all replicas */
  startRound(): number {
    this.round += 1;
    return this.round;
  }

  /**
   * Adds a batch to a replica's log.
   *
   * @param batch - part of the primary's log
   * @returns the answer, and whether entries were dropped; undefined if the batch is not obeyed
   */
  receive(batch: LogBatch<Change>): { ack: LogAck; truncated: boolean } | undefined {
    const obeys = this.role === 'replica' && batch.term === this.promise.term;
    if (!obeys || batch.from > this.position) return undefined;
    const truncated = this.addEntries(batch);
    const start = batch.termStarts.at(-1)?.start ?? 0;
    if (this.position >= start) this.adoptTerm(batch);
    const { member, position } = this;
    return { ack: { member, term: this.term, position, round: batch.round }, truncated };
  }

  /**
   * @param ack - a replica's answer
   * @param now - present moment
   */
  noteAck(ack: LogAck, now: Milliseconds): void {
    if (!this.isPrimary || ack.term !== this.term) return;
    const known = this.progress.get(ack.member);
    // Answers may cross; what a replica has once confirmed stays confirmed in this term.
    if (known !== undefined && known.ack.round > ack.round) return;
    this.progress.set(ack.member, { ack, at: now });
  }

  /**
   * Tells whether a position is held by a majority that still obeyed this term at a question.
   *
   * @param position - end of the log in question
   * @param round - number of a question asked after the request arrived
   * @returns whether it may be acknowledged
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
    let holders = 1;
    for (const { at } of this.progress.values()) if (now - at <= MAJORITY_LIFE_MS) holders += 1;
    return holders * 2 > this.groupSize;
  }

  private addEntries(batch: LogBatch<Change>): boolean {
    const overlap = this.entries.slice(batch.from);
    const isPrefix = overlap.every((entry, index) => entry.term === batch.entries[index]?.term);
    if (isPrefix && overlap.length <= batch.entries.length) {
      this.addFrom(this.entries.length, batch.entries.slice(overlap.length));
      return false;
    }
    // Only a primary of a later term may cut this log; a late batch of the same term may not.
    if (batch.term === this.term) return false;
    this.addFrom(batch.from, batch.entries);
    return true;
  }

  private adoptTerm(batch: LogBatch<Change>): void {
    if (this.term === batch.term) return;
    this.term = batch.term;
    this.termStarts = [...batch.termStarts];
    this.journal({ kind: 'term', term: this.term, termStarts: this.termStarts });
  }

  private keepPromise(ballot: Ballot): void {
    this.promise = ballot;
    this.journal({ kind: 'promise', ballot });
  }

  private addFrom(from: number, entries: readonly LogEntry<Change>[]): void {
    if (entries.length === 0 && from === this.entries.length) return;
    this.entries.splice(from, this.entries.length, ...entries);
    this.journal({ kind: 'entries', from, entries });
  }
}
