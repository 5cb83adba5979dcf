/** A member of the group as the matrix steps it: the stand-in's own log behind fake messages. */
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
import type { KeptEntry } from './group-history.js';
import type { GroupGuard } from './guards.js';

/** A transaction that a caller has open at the member. */
interface OpenTransaction {
  readonly entry: KeptEntry;
  readonly isRecorded: boolean;
  readonly openedAt: number;
}

interface Confirmation {
  readonly position: LogPosition;
  readonly round: number;
  readonly answer: (position: SessionPosition) => void;
}

interface Waiting {
  readonly key: string;
  readonly run: () => void;
}

interface PendingRead {
  readonly needed: SessionPosition;
  readonly until: number;
  readonly answer: (keys: readonly string[] | undefined, at: SessionPosition) => void;
}

const TICK_MS = 50;
/** A connection from which nothing comes for this long is ended by the member. */
const SILENT_CONNECTION_MS = 4000;

/** One member. Its log and promise survive kills, as a real member's do. */
export class ModelMember {
  /** Delay until a replica takes a batch, in milliseconds. */
  lagMs = 0;

  readonly log: ReplicaLog<KeptEntry>;

  private readonly followers = new Map<MemberId, LogPosition>();

  private cache: readonly KeptEntry[] = [];

  private keyCache: readonly string[] = [];

  private open = new Map<string, OpenTransaction>();

  /** Attempts whose connection has ended; nothing that comes late on it counts. */
  private readonly ended = new Set<string>();

  private confirmations: Confirmation[] = [];

  private waiting: Waiting[] = [];

  private reads: PendingRead[] = [];

  private quietUntil = 0;

  constructor(
    readonly name: NodeName,
    private readonly peers: () => ReadonlyMap<NodeName, ModelMember>,
    private readonly network: FakeNetwork,
    groupSize: number,
    private readonly without: ReadonlySet<GroupGuard>,
  ) {
    this.log = new ReplicaLog<KeptEntry>(toBrand<MemberId>(name), groupSize);
    this.startTicks();
  }

  /** Begins to run, at the start and after a kill. */
  startTicks(): void {
    this.open = new Map();
    this.confirmations = [];
    this.waiting = [];
    this.reads = [];
    this.followers.clear();
    this.tick();
  }

  /** @returns transactions in the log */
  get kept(): readonly KeptEntry[] {
    const { position } = this.log;
    const [last] = this.log.entriesFrom(Math.max(0, this.cache.length - 1));
    const isPrefix =
      this.cache.length === 0 || last?.changes[0]?.attempt === this.cache.at(-1)?.attempt;
    if (isPrefix && position === this.cache.length) return this.cache;
    const known = isPrefix ? this.cache : [];
    const added = this.log.entriesFrom(known.length).flatMap(({ changes }) => changes);
    this.cache = [...known, ...added];
    this.keyCache = this.cache.map(({ key }) => key);
    return this.cache;
  }

  /** @returns keys of the transactions in the log */
  private get keys(): readonly string[] {
    return this.kept.length === 0 ? [] : this.keyCache;
  }

  /** @returns what reads here include */
  get seen(): SessionPosition {
    return { term: this.log.currentTerm, position: this.log.position };
  }

  /** Obeys an order of a watcher. */
  obey(order: MemberOrder): OrderResponse {
    const wasPrimary = this.log.isPrimary;
    const accepted = this.perform(order);
    if (wasPrimary && !this.log.isPrimary) this.endSessions();
    const now = this.network.queue.now();
    return { accepted, status: this.log.describe(this.log.position, this.open.size, now) };
  }

  /** Opens a transaction; answers whether it was opened, refused, or its key is recorded. */
  begin(
    entry: KeptEntry,
    isRecorded: boolean,
    answer: (result: 'open' | 'read-only' | 'recorded') => void,
  ): void {
    if (this.ended.has(entry.attempt)) return;
    const openedAt = this.network.queue.now();
    if (!this.log.isPrimary || openedAt < this.quietUntil) {
      answer('read-only');
      return;
    }
    if (this.isLocked(entry.key)) {
      this.waiting.push({ key: entry.key, run: () => this.begin(entry, isRecorded, answer) });
      return;
    }
    if (isRecorded && this.kept.some(({ key }) => key === entry.key)) {
      answer('recorded');
      return;
    }
    this.open.set(entry.attempt, { entry, isRecorded, openedAt });
    answer('open');
  }

  /** Commits an open transaction. */
  commit(attempt: string, answer: (isCommitted: boolean) => void): void {
    const transaction = this.open.get(attempt);
    this.open.delete(attempt);
    const position = transaction && this.log.append([transaction.entry]);
    if (position !== undefined) this.push();
    this.serveWaiting();
    answer(position !== undefined);
  }

  /** Rolls back a transaction whose connection has ended. */
  endSession(attempt: string): void {
    this.ended.add(attempt);
    this.open.delete(attempt);
    this.serveWaiting();
  }

  /** Answers once a majority holds everything here and has obeyed since now. */
  confirm(answer: (position: SessionPosition) => void): void {
    if (!this.log.isPrimary) return;
    const { position } = this.log;
    this.confirmations.push({ position, round: this.log.startRound(), answer });
    this.push();
  }

  /** Tells whether a key is recorded, after transactions that are open have ended. */
  lookUp(key: string, answer: (found: boolean) => void): void {
    if (!this.log.isPrimary) return;
    if (!this.without.has('look-up-waits') && this.isLocked(key)) {
      this.waiting.push({ key, run: () => this.lookUp(key, answer) });
      return;
    }
    answer(this.kept.some((entry) => entry.key === key));
  }

  /** Reads once the log includes a position, or answers that it does not. */
  read(
    needed: SessionPosition,
    waitMs: number,
    answer: (keys: readonly string[] | undefined, at: SessionPosition) => void,
  ): void {
    const until = this.network.queue.now() + waitMs;
    this.reads.push({ needed, until, answer });
    this.serveReads();
  }

  /** @returns what a read at the primary shows now */
  readNow(): readonly string[] | undefined {
    return this.log.isPrimary ? this.keys : undefined;
  }

  private perform(order: MemberOrder): boolean {
    switch (order.kind) {
      case 'fence':
        return this.without.has('promise') || this.log.fence(order.ballot);
      case 'promote':
        if (this.without.has('promise')) this.log.fence(order.ballot);
        return this.log.promote(order.ballot);
      case 'follow':
        return this.log.follow(order.term, order.primary);
      case 'quiesce':
        this.quietUntil = this.network.queue.now() + order.forMs;
        return true;
      default:
        return true;
    }
  }

  private tick(): void {
    if (this.log.isPrimary) {
      this.log.startRound();
      this.push();
    } else {
      this.followers.clear();
      this.askForLog();
    }
    this.serveReads();
    this.endSilentSessions();
    this.network.later(this.name, TICK_MS, () => this.tick());
  }

  private askForLog(): void {
    const request = this.log.createResume();
    const source = this.log.currentSource;
    const primary = source === undefined ? undefined : this.peers().get(source);
    if (request === undefined || primary === undefined) return;
    this.network.send('resume', this.name, primary.name, () => primary.acceptFollower(request));
  }

  private acceptFollower(request: ResumeRequest): void {
    const from = this.log.resolveResume(request);
    if (from === undefined) return;
    this.followers.set(request.member, from);
    this.sendBatch(request.member, from);
  }

  private push(): void {
    for (const [member, from] of this.followers) this.sendBatch(member, from);
  }

  private sendBatch(member: MemberId, from: LogPosition): void {
    const replica = this.peers().get(member);
    if (replica === undefined) return;
    const batch = this.log.createBatch(from);
    this.network.send('batch', this.name, replica.name, () => replica.takeBatch(batch, this));
  }

  private takeBatch(batch: LogBatch<KeptEntry>, primary: ModelMember): void {
    if (this.lagMs === 0) {
      this.addBatch(batch, primary);
      return;
    }
    this.network.later(this.name, this.lagMs, () => this.addBatch(batch, primary));
  }

  private addBatch(batch: LogBatch<KeptEntry>, primary: ModelMember): void {
    const result = this.log.receive(batch);
    if (result === undefined) return;
    this.serveReads();
    this.network.send('ack', this.name, primary.name, () => primary.takeAck(result.ack));
  }

  private takeAck(ack: LogAck): void {
    this.log.noteAck(ack, this.network.queue.now());
    const known = this.followers.get(ack.member);
    if (ack.term === this.log.currentTerm && known !== undefined && ack.position > known) {
      this.followers.set(ack.member, ack.position);
    }
    this.serveConfirmations();
  }

  private serveConfirmations(): void {
    const term: Term = this.log.currentTerm;
    const ready = this.confirmations.filter((item) =>
      this.log.isConfirmed(item.position, item.round),
    );
    this.confirmations = this.confirmations.filter((item) => !ready.includes(item));
    for (const { position, answer } of ready) answer({ term, position });
  }

  private serveReads(): void {
    const now = this.network.queue.now();
    for (const read of [...this.reads]) {
      if (this.includes(read.needed)) {
        this.reads = this.reads.filter((other) => other !== read);
        read.answer(this.keys, this.seen);
      } else if (now >= read.until) {
        this.reads = this.reads.filter((other) => other !== read);
        read.answer(undefined, this.seen);
      }
    }
  }

  private includes(needed: SessionPosition): boolean {
    if (this.without.has('position-check')) return true;
    if (this.without.has('position-term')) return this.log.position >= needed.position;
    return includesPosition(this.seen, needed);
  }

  private isLocked(key: string): boolean {
    return [...this.open.values()].some(({ entry, isRecorded }) => isRecorded && entry.key === key);
  }

  private serveWaiting(): void {
    const { waiting } = this;
    this.waiting = [];
    for (const { run } of waiting) run();
  }

  private endSilentSessions(): void {
    const oldest = this.network.queue.now() - SILENT_CONNECTION_MS;
    for (const [attempt, { openedAt }] of this.open) {
      if (openedAt < oldest) this.endSession(attempt);
    }
  }

  private endSessions(): void {
    this.open.clear();
    this.confirmations = [];
    this.waiting = [];
  }
}
