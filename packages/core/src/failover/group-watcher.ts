import type { FailureDomainId, MemberId, Milliseconds, Term } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';
import type { GroupView, MemberStatus, MemberView } from './group-view.js';
import type { Ballot, MemberOrder, OrderResponse } from './member-port.js';
import { PeerSuspicionTracker } from './peer-suspicion-tracker.js';
import type {
  WatchedMember,
  WatcherAction,
  WatcherEvent,
  WatcherIdentity,
  SuspicionReport,
  WatcherTimings,
} from './watcher-types.js';

/** An attempt to change the primary. */
interface Attempt {
  readonly ballot: Ballot;
  readonly startedAt: Milliseconds;
  readonly promises: Map<MemberId, MemberStatus>;
  /** The member that was ordered to become primary, once a majority has promised. */
  candidate?: MemberId;
}

/**
 * A planned change of the primary. It waits for open transactions to end and for a replica to catch
 * up, and stays set while its attempt runs.
 */
interface Handover {
  readonly primary: MemberId;
  readonly startedAt: Milliseconds;
}

/**
 * Number of refused orders to the primary after which it is suspected without waiting for the
 * timeout, because its process is considered to have ended. A response of a member in the role of
 * primary resets the count.
 */
const MIN_REFUSED_ORDERS_FOR_SUSPICION = 2;

interface PendingOrder {
  readonly member: MemberId;
  readonly order: MemberOrder;
  readonly sentAt: Milliseconds;
}

/**
 * Watches one group from one instance and runs changes of its primary. Time, randomness and
 * messages are passed in.
 *
 * The members guarantee safety: a promotion needs the promise of a majority for its ballot, and a
 * commit is acknowledged only after a majority holds it. Any two majorities share a member, so at
 * least one member that promised holds the commit. Several watchers may act at the same time; the
 * wait until a majority of the failure domains suspects the primary only avoids needless attempts.
 */
export class GroupWatcher {
  private members: readonly WatchedMember[] = [];

  private readonly views = new Map<MemberId, MemberView>();

  private readonly suspicionReports: PeerSuspicionTracker;

  private readonly pendingOrders = new Map<number, PendingOrder>();

  private readonly followSentAt = new Map<MemberId, Milliseconds>();

  private watcherDomains: ReadonlySet<FailureDomainId> = new Set();

  private nextToken = 1;

  private nextProbeAt = toMilliseconds(0);

  private nextFullProbeAt = toMilliseconds(0);

  /**
   * Start of the suspicion timeout: the latest of the first step, the send time of an order with a
   * healthy response, and the time at which a new primary was recorded.
   */
  private suspicionTimeoutStart: Milliseconds | undefined;

  private isSuspected = false;

  /**
   * Time since which an attempt has been possible: a majority of the failure domains suspects the
   * primary, and a majority of the members is reachable.
   */
  private attemptPossibleSince: Milliseconds | undefined;

  /** Time at which a member's status last showed a new promise to another watcher. */
  private lastForeignPromiseAt: Milliseconds | undefined;

  private highestPrimaryTerm = 0;

  /** Refused orders to the primary since a primary last responded. */
  private refusedOrders = 0;

  private attempt: Attempt | undefined;

  private handover: Handover | undefined;

  private backoffUntil = toMilliseconds(0);

  private actions: WatcherAction[] = [];

  /**
   * @param identity - the group, and this instance
   * @param timings - intervals and timeouts
   * @param random - returns uniform numbers in [0, 1)
   */
  constructor(
    private readonly identity: WatcherIdentity,
    private readonly timings: WatcherTimings,
    private readonly random: () => number,
  ) {
    this.suspicionReports = new PeerSuspicionTracker(identity, timings.suspicionTtlMs);
  }

  /**
   * Applies the group's settings.
   *
   * @param members - the group's members according to the latest settings
   * @param watcherDomains - failure domains in which the group has a watcher
   */
  configure(members: readonly WatchedMember[], watcherDomains: ReadonlySet<FailureDomainId>): void {
    this.members = members;
    this.watcherDomains = watcherDomains;
    const ids = new Set(members.map(({ id }) => id));
    for (const id of this.views.keys()) if (!ids.has(id)) this.views.delete(id);
  }

  /**
   * Sends due probes, expires the current attempt and starts or advances a change of primary.
   *
   * @param now - current time
   * @returns actions to carry out, in order
   */
  step(now: Milliseconds): WatcherAction[] {
    this.suspicionTimeoutStart ??= now;
    if (now >= this.nextProbeAt) this.sendProbesAndReports(now);
    this.expireAttempt(now);
    this.updateSuspicionAndAct(now);
    this.advanceHandover(now);
    return this.takeActions();
  }

  /** @returns the time at which {@link step} is next due */
  get nextStepAt(): Milliseconds {
    return this.nextProbeAt;
  }

  /**
   * Handles the response to an order.
   *
   * @param token - token of the order
   * @param response - the response, or how the order failed
   * @param now - current time
   * @returns actions to carry out, in order
   */
  handleResponse(
    token: number,
    response: OrderResponse | 'refused' | 'silent',
    now: Milliseconds,
  ): WatcherAction[] {
    const pending = this.pendingOrders.get(token);
    if (pending === undefined) return [];
    this.pendingOrders.delete(token);
    if (typeof response === 'string') this.recordUnreachable(pending.member, response);
    else this.recordResponse(pending, response, now);
    this.updateSuspicionAndAct(now);
    return this.takeActions();
  }

  /**
   * Handles another watcher's suspicion report.
   *
   * @param report - the report
   * @param now - current time
   * @returns actions to carry out, in order
   */
  handleSuspicionReport(report: SuspicionReport, now: Milliseconds): WatcherAction[] {
    this.suspicionReports.record(report, now);
    this.updateSuspicionAndAct(now);
    return this.takeActions();
  }

  /** @returns the state of the group as observed by this watcher */
  get view(): GroupView {
    const primary = this.findPrimary();
    return {
      group: this.identity.group,
      watcher: this.identity.instance,
      term: primary?.term ?? this.computeHighestTerm(),
      primary: primary?.member,
      holding: this.handover !== undefined || this.attempt !== undefined || this.isSuspected,
      members: [...this.views.values()].map(({ status }) => status),
      reachable: [...this.views.values()].filter((v) => v.reachable).map((v) => v.status.member),
    };
  }

  private takeActions(): WatcherAction[] {
    const { actions } = this;
    this.actions = [];
    return actions;
  }

  /**
   * Probes the primary, or all members when that is due. A probe of all members also sends the
   * suspicion report and publishes the view.
   */
  private sendProbesAndReports(now: Milliseconds): void {
    this.nextProbeAt = toMilliseconds(now + this.timings.probeEveryMs);
    const primary = this.findPrimary();
    const isStable = primary !== undefined && !this.isSuspected && this.handover === undefined;
    const isFullProbeDue = !isStable || now >= this.nextFullProbeAt;
    for (const { id } of this.members) {
      if ((isFullProbeDue || id === primary?.member) && !this.hasPendingProbe(id)) {
        this.sendOrder(id, { kind: 'status' }, now);
      }
    }
    if (!isFullProbeDue) return;
    this.nextFullProbeAt = toMilliseconds(now + this.timings.healthyIntervalMs);
    this.sendSuspicionReport();
    this.actions.push({ kind: 'publish', view: this.view });
  }

  private hasPendingProbe(member: MemberId): boolean {
    return [...this.pendingOrders.values()].some(
      (pending) => pending.member === member && pending.order.kind === 'status',
    );
  }

  private sendSuspicionReport(): void {
    const { group, instance: watcher, failureDomain } = this.identity;
    const report = {
      group,
      watcher,
      failureDomain,
      term: this.computeHighestTerm(),
      suspects: this.isSuspected,
    };
    this.actions.push({ kind: 'tell', opinion: report });
  }

  private sendOrder(member: MemberId, order: MemberOrder, now: Milliseconds): void {
    const token = this.nextToken;
    this.nextToken += 1;
    this.pendingOrders.set(token, { member, order, sentAt: now });
    this.actions.push({ kind: 'order', member, order, token });
  }

  private recordUnreachable(member: MemberId, failure: 'refused' | 'silent'): void {
    if (member === this.findPrimary()?.member && failure === 'refused') this.refusedOrders += 1;
    const view = this.views.get(member);
    if (view !== undefined) this.views.set(member, { ...view, reachable: false });
  }

  private recordResponse(pending: PendingOrder, response: OrderResponse, now: Milliseconds): void {
    const knownView = this.views.get(pending.member);
    // Responses may arrive out of order; a member's promised term and term never decrease.
    const isOutdated = knownView !== undefined && isOlderStatus(response.status, knownView.status);
    if (!isOutdated) {
      this.recordProgress(response.status, now);
      this.views.set(pending.member, { status: response.status, observedAt: now, reachable: true });
    }
    if (this.isHealthy(response.status)) {
      // The response shows the status at some time after the order was sent.
      const start = this.suspicionTimeoutStart ?? pending.sentAt;
      this.suspicionTimeoutStart = pending.sentAt > start ? pending.sentAt : start;
    }
    if (pending.order.kind === 'fence') this.handleFenceResponse(pending, response, now);
    if (pending.order.kind === 'promote') this.handlePromoteResponse(pending, response, now);
  }

  /** Records promises made to other watchers, and newly promoted primaries. */
  private recordProgress(status: MemberStatus, now: Milliseconds): void {
    const ownTerm = this.attempt?.ballot.term;
    if (status.promisedTerm > this.computeHighestTerm() && status.promisedTerm !== ownTerm) {
      this.lastForeignPromiseAt = now;
    }
    if (status.role !== 'primary') return;
    this.refusedOrders = 0;
    if (status.term <= this.highestPrimaryTerm) return;
    this.highestPrimaryTerm = status.term;
    // A new primary gets the full suspicion timeout to connect its replicas.
    this.suspicionTimeoutStart = now;
  }

  private isHealthy(status: MemberStatus): boolean {
    if (status.role !== 'primary' || status.term < this.computeHighestTerm()) return false;
    return status.hasMajority;
  }

  private findPrimary(): MemberStatus | undefined {
    const primaries = [...this.views.values()]
      .map(({ status }) => status)
      .filter(({ role }) => role === 'primary')
      .sort((left, right) => right.term - left.term);
    return primaries[0];
  }

  private computeHighestTerm(): Term {
    let highest = 0;
    for (const { status } of this.views.values()) {
      highest = Math.max(highest, status.term, status.promisedTerm);
    }
    return highest as Term;
  }

  /**
   * Updates whether the primary is suspected. Then starts an attempt if it is, or orders the members
   * to follow the primary if it is not.
   */
  private updateSuspicionAndAct(now: Milliseconds): void {
    const wasSuspected = this.isSuspected;
    const isTimedOut = now - (this.suspicionTimeoutStart ?? now) >= this.timings.suspectAfterMs;
    this.isSuspected = isTimedOut || this.refusedOrders >= MIN_REFUSED_ORDERS_FOR_SUSPICION;
    if (this.isSuspected && !wasSuspected) {
      this.log('suspected', this.findPrimary()?.member);
      this.sendSuspicionReport();
      this.nextProbeAt = now;
    }
    if (this.isSuspected) this.startAttemptIfDue(now);
    else this.reconcile(now);
  }

  /**
   * Starts an attempt once one has been possible for `staggerMs` for each suspecting watcher with a
   * lower instance id, unless a member has promised another watcher within the last `staggerMs`.
   */
  private startAttemptIfDue(now: Milliseconds): void {
    if (this.attempt !== undefined || now < this.backoffUntil) return;
    if (
      !this.suspicionReports.hasMajoritySuspicion(this.watcherDomains, now) ||
      !this.hasReachableMajority()
    ) {
      this.attemptPossibleSince = undefined;
      return;
    }
    this.attemptPossibleSince ??= now;
    const { staggerMs } = this.timings;
    const isOwnTurn =
      now - this.attemptPossibleSince >=
      this.suspicionReports.countSuspectingWatchersBefore(now) * staggerMs;
    const isOtherWatcherActing = now - (this.lastForeignPromiseAt ?? -Infinity) < staggerMs;
    if (isOwnTurn && !isOtherWatcherActing) this.startAttempt(now);
  }

  private hasReachableMajority(): boolean {
    const reachable = this.members.filter(({ id }) => this.views.get(id)?.reachable);
    return reachable.length >= this.majoritySize;
  }

  private get majoritySize(): number {
    return Math.floor(this.members.length / 2) + 1;
  }

  private startAttempt(now: Milliseconds): void {
    const term = (this.computeHighestTerm() + 1) as Term;
    const ballot = { term, by: this.identity.instance };
    this.attempt = { ballot, startedAt: now, promises: new Map() };
    this.log('attempt', undefined, term);
    for (const { id } of this.members) this.sendOrder(id, { kind: 'fence', ballot }, now);
  }

  private handleFenceResponse(
    pending: PendingOrder,
    response: OrderResponse,
    now: Milliseconds,
  ): void {
    const { attempt } = this;
    if (pending.order.kind !== 'fence' || attempt?.ballot.term !== pending.order.ballot.term) {
      return;
    }
    if (!response.accepted) {
      this.failAttempt('a member has promised another ballot', now);
      return;
    }
    attempt.promises.set(pending.member, response.status);
    if (attempt.promises.size >= this.majoritySize && attempt.candidate === undefined) {
      this.promoteBestCandidate(attempt, now);
    }
  }

  private promoteBestCandidate(attempt: Attempt, now: Milliseconds): void {
    const candidates = [...attempt.promises.values()].sort((l, r) => this.compareCandidates(l, r));
    const best = candidates[0];
    if (best === undefined) return;
    attempt.candidate = best.member;
    this.sendOrder(best.member, { kind: 'promote', ballot: attempt.ballot }, now);
  }

  /** Sorts by highest term, then longest log, then members that are not leaving, then id. */
  private compareCandidates(left: MemberStatus, right: MemberStatus): number {
    if (left.term !== right.term) return right.term - left.term;
    if (left.position !== right.position) return right.position - left.position;
    const leavingOrder = Number(this.isLeaving(left.member)) - Number(this.isLeaving(right.member));
    return leavingOrder === 0 ? left.member.localeCompare(right.member) : leavingOrder;
  }

  /** A member that is not in the settings counts as leaving. */
  private isLeaving(member: MemberId): boolean {
    return this.members.find(({ id }) => id === member)?.leaving ?? true;
  }

  private handlePromoteResponse(
    pending: PendingOrder,
    response: OrderResponse,
    now: Milliseconds,
  ): void {
    const { attempt } = this;
    if (attempt === undefined || attempt.candidate !== pending.member) return;
    if (!response.accepted) {
      this.failAttempt('the candidate refused the promotion', now);
      return;
    }
    this.log('promoted', pending.member, attempt.ballot.term);
    this.attempt = undefined;
    this.handover = undefined;
    this.suspicionTimeoutStart = now;
    this.refusedOrders = 0;
    this.isSuspected = false;
    this.attemptPossibleSince = undefined;
    this.reconcile(now);
    this.actions.push({ kind: 'publish', view: this.view });
  }

  private expireAttempt(now: Milliseconds): void {
    const startedAt = this.attempt?.startedAt;
    if (startedAt === undefined || now - startedAt < this.timings.attemptTimeoutMs) return;
    this.failAttempt('the attempt timed out', now);
  }

  private failAttempt(reason: string, now: Milliseconds): void {
    this.log('attempt-failed', undefined, this.attempt?.ballot.term, reason);
    this.attempt = undefined;
    this.handover = undefined;
    this.backoffUntil = toMilliseconds(now + this.random() * this.timings.maxBackoffMs);
  }

  /** Orders every reachable member to follow the primary of the highest term. */
  private reconcile(now: Milliseconds): void {
    const primary = this.findPrimary();
    if (primary === undefined || primary.term < this.computeHighestTerm()) return;
    for (const { status, reachable } of this.views.values()) {
      if (!reachable || status.member === primary.member) continue;
      const follows = status.role === 'replica' && status.source === primary.member;
      if (!follows || status.promisedTerm < primary.term) {
        this.sendFollow(status.member, primary, now);
      }
    }
  }

  private sendFollow(member: MemberId, primary: MemberStatus, now: Milliseconds): void {
    const lastSentAt = this.followSentAt.get(member);
    if (lastSentAt !== undefined && now - lastSentAt < this.timings.probeEveryMs) return;
    this.followSentAt.set(member, now);
    this.sendOrder(member, { kind: 'follow', term: primary.term, primary: primary.member }, now);
  }

  private advanceHandover(now: Milliseconds): void {
    const primary = this.findPrimary();
    if (primary === undefined || this.isSuspected || this.attempt !== undefined) return;
    if (!this.isLeaving(primary.member) || !this.hasSuccessor() || now < this.backoffUntil) return;
    // Only one watcher runs a planned change; attempts of several would conflict.
    if (!this.suspicionReports.hasLowestId(now)) return;
    if (this.handover?.primary !== primary.member) this.startHandover(primary, now);
    else if (this.isHandoverWaitOver(primary, now)) this.startAttempt(now);
  }

  private hasSuccessor(): boolean {
    return this.members.some(({ id, leaving }) => !leaving && this.views.get(id)?.reachable);
  }

  private startHandover(primary: MemberStatus, now: Milliseconds): void {
    this.handover = { primary: primary.member, startedAt: now };
    this.log('handover', primary.member);
    // Covers the maximum wait and the attempt after it.
    const forMs = this.timings.handoverGraceMs + this.timings.attemptTimeoutMs;
    this.sendOrder(primary.member, { kind: 'quiesce', term: primary.term, forMs }, now);
    this.actions.push({ kind: 'publish', view: this.view });
  }

  /** Whether the maximum wait is over, or no transaction is open and a successor has caught up. */
  private isHandoverWaitOver(primary: MemberStatus, now: Milliseconds): boolean {
    const elapsedMs = now - (this.handover?.startedAt ?? now);
    if (elapsedMs >= this.timings.handoverGraceMs) return true;
    const hasCaughtUpSuccessor = this.members.some(
      ({ id, leaving }) =>
        !leaving && (this.views.get(id)?.status.position ?? -1) >= primary.position,
    );
    return (
      elapsedMs >= this.timings.probeEveryMs &&
      primary.openTransactions === 0 &&
      hasCaughtUpSuccessor
    );
  }

  private log(event: WatcherEvent['event'], member?: MemberId, term?: Term, reason?: string): void {
    const { group } = this.identity;
    this.actions.push({
      kind: 'log',
      event: { event, group, term: term ?? this.computeHighestTerm(), member, reason },
    });
  }
}

function isOlderStatus(next: MemberStatus, known: MemberStatus): boolean {
  if (next.promisedTerm !== known.promisedTerm) return next.promisedTerm < known.promisedTerm;
  return next.term < known.term;
}
