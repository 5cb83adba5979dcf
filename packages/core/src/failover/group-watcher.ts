/**
 * Watches one group from one instance and orders changes of its primary.
 *
 * Safety rests on the members: a promotion needs the promise of a majority for its ballot, and a
 * commit is acknowledged only after a majority has it, so any two majorities share a member that
 * knows. Several watchers may act at once; the evidence rules below only keep them from acting
 * without need.
 */
import type { FailureDomainId, MemberId, Milliseconds, Term } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { GroupView, MemberStatus, MemberView } from './group-view.js';
import type { Ballot, MemberOrder, OrderAnswer } from './member-port.js';
import { OpinionBook } from './opinion-book.js';
import type {
  WatchedMember,
  WatcherAction,
  WatcherEvent,
  WatcherIdentity,
  WatcherOpinion,
  WatcherTimings,
} from './watcher-types.js';

/** An attempt to change the primary. */
interface Attempt {
  readonly ballot: Ballot;
  readonly startedAt: Milliseconds;
  readonly promises: Map<MemberId, MemberStatus>;
  chosen?: MemberId;
}

/** A planned change that waits for the primary to come to rest. */
interface Handover {
  readonly primary: MemberId;
  readonly startedAt: Milliseconds;
}

/** Probes in a row that a primary's machine must refuse before its process is taken for gone. */
const REFUSALS_OF_A_CRASH = 2;

interface PendingOrder {
  readonly member: MemberId;
  readonly order: MemberOrder;
  readonly sentAt: Milliseconds;
}

/** Decisions of one watcher; time, randomness and messages come from outside. */
export class GroupWatcher {
  private members: readonly WatchedMember[] = [];

  private readonly views = new Map<MemberId, MemberView>();

  private readonly opinions: OpinionBook;

  private readonly pending = new Map<number, PendingOrder>();

  private readonly followOrderedAt = new Map<MemberId, Milliseconds>();

  private watcherDomains: ReadonlySet<FailureDomainId> = new Set();

  private nextToken = 1;

  private nextProbeAt = toMilliseconds(0);

  private nextCalmAt = toMilliseconds(0);

  private healthyAt: Milliseconds | undefined;

  private suspected = false;

  /** Since when enough failure domains have agreed that the primary is to be replaced. */
  private evidenceSince: Milliseconds | undefined;

  /** When a member was last seen to have promised a term to another watcher. */
  private foreignPromiseAt: Milliseconds | undefined;

  private newestPrimaryTerm = 0;

  private refusals = 0;

  private attempt: Attempt | undefined;

  private handover: Handover | undefined;

  private waitUntil = toMilliseconds(0);

  private actions: WatcherAction[] = [];

  /**
   * @param identity - group and instance
   * @param timings - periods and bounds
   * @param random - uniform numbers in [0, 1), seeded by the caller
   */
  constructor(
    private readonly identity: WatcherIdentity,
    private readonly timings: WatcherTimings,
    private readonly random: () => number,
  ) {
    this.opinions = new OpinionBook(identity, timings.opinionLifeMs);
  }

  /**
   * @param members - the group's members by the newest settings
   * @param watcherDomains - failure domains in which the group has a watcher
   */
  configure(members: readonly WatchedMember[], watcherDomains: ReadonlySet<FailureDomainId>): void {
    this.members = members;
    this.watcherDomains = watcherDomains;
    const ids = new Set(members.map(({ id }) => id));
    for (const id of this.views.keys()) if (!ids.has(id)) this.views.delete(id);
  }

  /**
   * Does what is due.
   *
   * @param now - present moment
   * @returns actions to carry out, in order
   */
  step(now: Milliseconds): WatcherAction[] {
    this.healthyAt ??= now;
    if (now >= this.nextProbeAt) this.probeAll(now);
    this.expireAttempt(now);
    this.judge(now);
    this.advanceHandover(now);
    return this.takeActions();
  }

  /** @returns when {@link step} is next due */
  get nextStepAt(): Milliseconds {
    return this.nextProbeAt;
  }

  /**
   * Takes the answer to an order.
   *
   * @param token - token of the order
   * @param answer - what came back
   * @param now - present moment
   * @returns actions to carry out, in order
   */
  handleAnswer(
    token: number,
    answer: OrderAnswer | 'refused' | 'silent',
    now: Milliseconds,
  ): WatcherAction[] {
    const pending = this.pending.get(token);
    if (pending === undefined) return [];
    this.pending.delete(token);
    if (typeof answer === 'string') this.noteUnreachable(pending.member, answer);
    else this.noteStatus(pending, answer, now);
    this.judge(now);
    return this.takeActions();
  }

  /**
   * Takes another watcher's opinion.
   *
   * @param opinion - what it thinks
   * @param now - present moment
   * @returns actions to carry out, in order
   */
  handleOpinion(opinion: WatcherOpinion, now: Milliseconds): WatcherAction[] {
    this.opinions.note(opinion, now);
    this.judge(now);
    return this.takeActions();
  }

  /** @returns the group as seen by this watcher */
  get view(): GroupView {
    const primary = this.findPrimary();
    return {
      group: this.identity.group,
      watcher: this.identity.instance,
      term: primary?.term ?? this.highestTerm(),
      primary: primary?.member,
      holding: this.handover !== undefined || this.attempt !== undefined || this.suspected,
      members: [...this.views.values()].map(({ status }) => status),
      reachable: [...this.views.values()].filter((v) => v.reachable).map((v) => v.status.member),
    };
  }

  private takeActions(): WatcherAction[] {
    const { actions } = this;
    this.actions = [];
    return actions;
  }

  private probeAll(now: Milliseconds): void {
    this.nextProbeAt = toMilliseconds(now + this.timings.probeEveryMs);
    const primary = this.findPrimary();
    const isCalm = primary !== undefined && !this.suspected && this.handover === undefined;
    const isDue = !isCalm || now >= this.nextCalmAt;
    for (const { id } of this.members) {
      if ((isDue || id === primary?.member) && !this.isProbed(id)) {
        this.sendOrder(id, { kind: 'status' }, now);
      }
    }
    if (!isDue) return;
    this.nextCalmAt = toMilliseconds(now + this.timings.calmEveryMs);
    this.tellOpinion();
    this.actions.push({ kind: 'publish', view: this.view });
  }

  private isProbed(member: MemberId): boolean {
    return [...this.pending.values()].some(
      (pending) => pending.member === member && pending.order.kind === 'status',
    );
  }

  private tellOpinion(): void {
    const { group, instance: watcher, failureDomain } = this.identity;
    const opinion = {
      group,
      watcher,
      failureDomain,
      term: this.highestTerm(),
      suspects: this.suspected,
    };
    this.actions.push({ kind: 'tell', opinion });
  }

  private sendOrder(member: MemberId, order: MemberOrder, now: Milliseconds): void {
    const token = this.nextToken;
    this.nextToken += 1;
    this.pending.set(token, { member, order, sentAt: now });
    this.actions.push({ kind: 'order', member, order, token });
  }

  private noteUnreachable(member: MemberId, how: 'refused' | 'silent'): void {
    if (member === this.findPrimary()?.member && how === 'refused') this.refusals += 1;
    const view = this.views.get(member);
    if (view !== undefined) this.views.set(member, { ...view, reachable: false });
  }

  private noteStatus(pending: PendingOrder, answer: OrderAnswer, now: Milliseconds): void {
    const known = this.views.get(pending.member);
    // Answers may cross; a member's promise and term never go back.
    const isOld = known !== undefined && isOlderStatus(answer.status, known.status);
    if (!isOld) {
      this.noteProgress(answer.status, now);
      this.views.set(pending.member, { status: answer.status, observedAt: now, reachable: true });
    }
    if (this.isHealthy(answer.status)) {
      const moment = this.healthyAt ?? pending.sentAt;
      this.healthyAt = pending.sentAt > moment ? pending.sentAt : moment;
    }
    if (pending.order.kind === 'fence') this.noteFence(pending, answer, now);
    if (pending.order.kind === 'promote') this.notePromotion(pending, answer, now);
  }

  /** Watches for promises given to others, and for primaries that have just been made. */
  private noteProgress(status: MemberStatus, now: Milliseconds): void {
    const ownTerm = this.attempt?.ballot.term;
    if (status.promisedTerm > this.highestTerm() && status.promisedTerm !== ownTerm) {
      this.foreignPromiseAt = now;
    }
    if (status.role !== 'primary') return;
    this.refusals = 0;
    if (status.term <= this.newestPrimaryTerm) return;
    this.newestPrimaryTerm = status.term;
    // A new primary gets the full time to gather its replicas.
    this.healthyAt = now;
  }

  private isHealthy(status: MemberStatus): boolean {
    if (status.role !== 'primary' || status.term < this.highestTerm()) return false;
    return status.hasMajority;
  }

  private findPrimary(): MemberStatus | undefined {
    const primaries = [...this.views.values()]
      .map(({ status }) => status)
      .filter(({ role }) => role === 'primary')
      .sort((left, right) => right.term - left.term);
    return primaries[0];
  }

  private highestTerm(): Term {
    let highest = 0;
    for (const { status } of this.views.values()) {
      highest = Math.max(highest, status.term, status.promisedTerm);
    }
    return highest as Term;
  }

  private judge(now: Milliseconds): void {
    const wasSuspected = this.suspected;
    const isOverdue = now - (this.healthyAt ?? now) >= this.timings.suspectAfterMs;
    this.suspected = isOverdue || this.refusals >= REFUSALS_OF_A_CRASH;
    if (this.suspected && !wasSuspected) {
      this.log('suspected', this.findPrimary()?.member);
      this.tellOpinion();
      this.nextProbeAt = now;
    }
    if (this.suspected) this.considerAttempt(now);
    else this.reconcile(now);
  }

  private considerAttempt(now: Milliseconds): void {
    if (this.attempt !== undefined || now < this.waitUntil) return;
    if (!this.opinions.hasEvidence(this.watcherDomains, now) || !this.reachesMajority()) {
      this.evidenceSince = undefined;
      return;
    }
    this.evidenceSince ??= now;
    const { staggerMs } = this.timings;
    const isTurn = now - this.evidenceSince >= this.opinions.resolveRank(now) * staggerMs;
    const isOtherActing = now - (this.foreignPromiseAt ?? -Infinity) < staggerMs;
    if (isTurn && !isOtherActing) this.startAttempt(now);
  }

  private reachesMajority(): boolean {
    const reachable = this.members.filter(({ id }) => this.views.get(id)?.reachable);
    return reachable.length >= this.majority;
  }

  private get majority(): number {
    return Math.floor(this.members.length / 2) + 1;
  }

  private startAttempt(now: Milliseconds): void {
    const term = (this.highestTerm() + 1) as Term;
    const ballot = { term, by: this.identity.instance };
    this.attempt = { ballot, startedAt: now, promises: new Map() };
    this.log('attempt', undefined, term);
    for (const { id } of this.members) this.sendOrder(id, { kind: 'fence', ballot }, now);
  }

  private noteFence(pending: PendingOrder, answer: OrderAnswer, now: Milliseconds): void {
    const { attempt } = this;
    if (pending.order.kind !== 'fence' || attempt?.ballot.term !== pending.order.ballot.term) {
      return;
    }
    if (!answer.accepted) {
      this.failAttempt('another ballot holds the promise', now);
      return;
    }
    attempt.promises.set(pending.member, answer.status);
    if (attempt.promises.size >= this.majority && attempt.chosen === undefined) {
      this.promoteBest(attempt, now);
    }
  }

  private promoteBest(attempt: Attempt, now: Milliseconds): void {
    const candidates = [...attempt.promises.values()].sort((l, r) => this.compareCandidates(l, r));
    const best = candidates[0];
    if (best === undefined) return;
    attempt.chosen = best.member;
    this.sendOrder(best.member, { kind: 'promote', ballot: attempt.ballot }, now);
  }

  /** The longest log of the highest term first; a member that stays before one that leaves. */
  private compareCandidates(left: MemberStatus, right: MemberStatus): number {
    if (left.term !== right.term) return right.term - left.term;
    if (left.position !== right.position) return right.position - left.position;
    const leaving = Number(this.isLeaving(left.member)) - Number(this.isLeaving(right.member));
    return leaving === 0 ? left.member.localeCompare(right.member) : leaving;
  }

  private isLeaving(member: MemberId): boolean {
    return this.members.find(({ id }) => id === member)?.leaving ?? true;
  }

  private notePromotion(pending: PendingOrder, answer: OrderAnswer, now: Milliseconds): void {
    const { attempt } = this;
    if (attempt === undefined || attempt.chosen !== pending.member) return;
    if (!answer.accepted) {
      this.failAttempt('the chosen member refused', now);
      return;
    }
    this.log('promoted', pending.member, attempt.ballot.term);
    this.attempt = undefined;
    this.handover = undefined;
    this.healthyAt = now;
    this.refusals = 0;
    this.suspected = false;
    this.evidenceSince = undefined;
    this.reconcile(now);
    this.actions.push({ kind: 'publish', view: this.view });
  }

  private expireAttempt(now: Milliseconds): void {
    const started = this.attempt?.startedAt;
    if (started === undefined || now - started < this.timings.attemptTimeoutMs) return;
    this.failAttempt('no majority answered in time', now);
  }

  private failAttempt(reason: string, now: Milliseconds): void {
    this.log('attempt-failed', undefined, this.attempt?.ballot.term, reason);
    this.attempt = undefined;
    this.handover = undefined;
    this.waitUntil = toMilliseconds(now + this.random() * this.timings.backoffMs);
  }

  /** Brings every reachable member under the primary of the highest term. */
  private reconcile(now: Milliseconds): void {
    const primary = this.findPrimary();
    if (primary === undefined || primary.term < this.highestTerm()) return;
    for (const { status, reachable } of this.views.values()) {
      if (!reachable || status.member === primary.member) continue;
      const follows = status.role === 'replica' && status.source === primary.member;
      if (!follows || status.promisedTerm < primary.term) {
        this.orderFollow(status.member, primary, now);
      }
    }
  }

  private orderFollow(member: MemberId, primary: MemberStatus, now: Milliseconds): void {
    const last = this.followOrderedAt.get(member);
    if (last !== undefined && now - last < this.timings.probeEveryMs) return;
    this.followOrderedAt.set(member, now);
    this.sendOrder(member, { kind: 'follow', term: primary.term, primary: primary.member }, now);
  }

  private advanceHandover(now: Milliseconds): void {
    const primary = this.findPrimary();
    if (primary === undefined || this.suspected || this.attempt !== undefined) return;
    if (!this.isLeaving(primary.member) || !this.hasSuccessor() || now < this.waitUntil) return;
    // One watcher leads a planned change; the others would only compete with it.
    if (!this.opinions.isFirst(now)) return;
    if (this.handover?.primary !== primary.member) this.startHandover(primary, now);
    else if (this.isAtRest(primary, now)) this.startAttempt(now);
  }

  private hasSuccessor(): boolean {
    return this.members.some(({ id, leaving }) => !leaving && this.views.get(id)?.reachable);
  }

  private startHandover(primary: MemberStatus, now: Milliseconds): void {
    this.handover = { primary: primary.member, startedAt: now };
    this.log('handover', primary.member);
    const forMs = this.timings.handoverGraceMs + this.timings.attemptTimeoutMs;
    this.sendOrder(primary.member, { kind: 'quiesce', term: primary.term, forMs }, now);
    this.actions.push({ kind: 'publish', view: this.view });
  }

  private isAtRest(primary: MemberStatus, now: Milliseconds): boolean {
    const waited = now - (this.handover?.startedAt ?? now);
    if (waited >= this.timings.handoverGraceMs) return true;
    const caughtUp = this.members.some(
      ({ id, leaving }) =>
        !leaving && (this.views.get(id)?.status.position ?? -1) >= primary.position,
    );
    return waited >= this.timings.probeEveryMs && primary.openTransactions === 0 && caughtUp;
  }

  private log(event: WatcherEvent['event'], member?: MemberId, term?: Term, reason?: string): void {
    const { group } = this.identity;
    this.actions.push({
      kind: 'log',
      event: { event, group, term: term ?? this.highestTerm(), member, reason },
    });
  }
}

function isOlderStatus(next: MemberStatus, known: MemberStatus): boolean {
  if (next.promisedTerm !== known.promisedTerm) return next.promisedTerm < known.promisedTerm;
  return next.term < known.term;
}
