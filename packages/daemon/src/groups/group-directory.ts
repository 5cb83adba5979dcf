import {
  type Clock,
  type GroupId,
  type GroupView,
  mayReplaceView,
  type MemberId,
  type MemberStatus,
  type Milliseconds,
  type Term,
} from '@heatherledge/core';

/** The primary of a group and its term. */
export interface PrimaryRecord {
  readonly member: MemberId;
  readonly term: Term;
}

/** Status of a member and the time at which it was received. */
export interface MemberObservation {
  readonly status: MemberStatus;
  readonly seenAt: Milliseconds;
}

interface GroupState {
  view: GroupView | undefined;
  readonly observations: Map<MemberId, MemberObservation>;
  readonly waiters: Set<() => void>;
  /** A primary that refused writes or was unreachable; cleared by the next newer view. */
  suspectedPrimary: PrimaryRecord | undefined;
}

/** Latest views and member statuses of the groups that this instance serves. */
export class GroupDirectory {
  private readonly groups = new Map<GroupId, GroupState>();

  /**
   * @param clock - the process's clock
   * @param onPrimaryReplaced - called with the former primary when a group gets a new one
   */
  constructor(
    private readonly clock: Clock,
    private readonly onPrimaryReplaced: (group: GroupId, member: MemberId) => void,
  ) {}

  /** @returns groups for which views are kept */
  get usedGroups(): GroupId[] {
    return [...this.groups.keys()];
  }

  /**
   * Starts to keep views of a group; views of other groups are ignored.
   *
   * @param group - the group
   */
  addGroup(group: GroupId): void {
    this.getOrCreateGroup(group);
  }

  /**
   * Applies a view of a group, unless the current one is newer.
   *
   * @param view - a view published by a watcher of the group
   */
  applyView(view: GroupView): void {
    const state = this.groups.get(view.group);
    if (state === undefined) return;
    const seenAt = this.clock.now();
    for (const status of view.members) this.recordObservation(state, { status, seenAt });
    if (!mayReplaceView(state.view, view)) return;
    // A watcher that cannot reach the primary must not remove it as long as its term lasts.
    if (view.primary === undefined && state.view?.primary !== undefined) {
      if (view.term === state.view.term) return;
    }
    const previous = state.view;
    const hasChanged = previous?.primary !== view.primary || previous?.term !== view.term;
    state.view = view;
    if (
      previous?.primary !== undefined &&
      view.primary !== undefined &&
      previous.primary !== view.primary
    ) {
      this.onPrimaryReplaced(view.group, previous.primary);
    }
    state.suspectedPrimary = undefined;
    if (hasChanged || view.primary !== undefined) this.notifyWaiters(state);
  }

  /**
   * @param group - a group
   * @returns its primary; undefined if it is unknown or suspected
   */
  findPrimary(group: GroupId): PrimaryRecord | undefined {
    const state = this.groups.get(group);
    const member = state?.view?.primary;
    if (state?.view === undefined || member === undefined) return undefined;
    const { term } = state.view;
    const { suspectedPrimary } = state;
    if (
      suspectedPrimary !== undefined &&
      suspectedPrimary.member === member &&
      suspectedPrimary.term === term
    ) {
      return undefined;
    }
    return { member, term };
  }

  /**
   * Excludes a primary that refused writes or was unreachable, until a newer view is applied.
   *
   * @param group - the group
   * @param primary - the suspected primary
   */
  suspectPrimary(group: GroupId, primary: PrimaryRecord): void {
    const state = this.groups.get(group);
    if (state !== undefined) state.suspectedPrimary = primary;
  }

  /**
   * Waits for a primary that is not suspected.
   *
   * @param group - a group
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns the primary, or undefined after the timeout
   */
  async waitForPrimary(group: GroupId, timeoutMs: number): Promise<PrimaryRecord | undefined> {
    const deadline = this.clock.now() + timeoutMs;
    for (;;) {
      const primary = this.findPrimary(group);
      const remainingMs = deadline - this.clock.now();
      if (primary !== undefined || remainingMs <= 0) return primary;
      await this.waitForChange(this.getOrCreateGroup(group), remainingMs);
    }
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns its latest status, if one was received
   */
  findObservation(group: GroupId, member: MemberId): MemberObservation | undefined {
    return this.groups.get(group)?.observations.get(member);
  }

  /**
   * @param group - a group
   * @returns its latest view, if one was received
   */
  findView(group: GroupId): GroupView | undefined {
    return this.groups.get(group)?.view;
  }

  private getOrCreateGroup(group: GroupId): GroupState {
    let state = this.groups.get(group);
    if (state === undefined) {
      state = {
        view: undefined,
        observations: new Map(),
        waiters: new Set(),
        suspectedPrimary: undefined,
      };
      this.groups.set(group, state);
    }
    return state;
  }

  private recordObservation(state: GroupState, observation: MemberObservation): void {
    const { member, term, applied } = observation.status;
    const last = state.observations.get(member)?.status;
    const isOlder = last !== undefined && last.term === term && last.applied > applied;
    if (!isOlder) state.observations.set(member, observation);
  }

  private async waitForChange(state: GroupState, timeoutMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        state.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, timeoutMs);
      state.waiters.add(done);
    });
  }

  private notifyWaiters(state: GroupState): void {
    for (const waiter of [...state.waiters]) waiter();
  }
}
