/** What this instance knows of each group's primary and members, from the groups' watchers. */
import {
  type Clock,
  type GroupId,
  type GroupView,
  isNewerView,
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

/** Position of a member and when it was told. */
export interface MemberSighting {
  readonly status: MemberStatus;
  readonly seenAt: Milliseconds;
}

interface KnownGroup {
  view: GroupView | undefined;
  readonly sightings: Map<MemberId, MemberSighting>;
  readonly waiters: Set<() => void>;
  /** A primary that refused or could not be reached, until a newer view comes. */
  doubted: PrimaryRecord | undefined;
}

/** Views of all groups that this instance uses. */
export class GroupDirectory {
  private readonly groups = new Map<GroupId, KnownGroup>();

  /**
   * @param clock - the process's clock
   * @param onReplaced - told of a member that is primary no more
   */
  constructor(
    private readonly clock: Clock,
    private readonly onReplaced: (group: GroupId, member: MemberId) => void,
  ) {}

  /** @returns groups in use */
  get used(): GroupId[] {
    return [...this.groups.keys()];
  }

  /**
   * @param group - a group that is going to be used
   */
  use(group: GroupId): void {
    this.resolve(group);
  }

  /**
   * Takes a watcher's view.
   *
   * @param view - the view
   */
  learn(view: GroupView): void {
    const known = this.groups.get(view.group);
    if (known === undefined) return;
    const seenAt = this.clock.now();
    for (const status of view.members) this.noteSighting(known, { status, seenAt });
    if (!isNewerView(known.view, view)) return;
    // A watcher that cannot see the primary of a known term does not unseat it.
    if (view.primary === undefined && known.view?.primary !== undefined) {
      if (view.term === known.view.term) return;
    }
    const old = known.view;
    const changed = old?.primary !== view.primary || old?.term !== view.term;
    known.view = view;
    if (old?.primary !== undefined && view.primary !== undefined && old.primary !== view.primary) {
      this.onReplaced(view.group, old.primary);
    }
    known.doubted = undefined;
    if (changed || view.primary !== undefined) this.wake(known);
  }

  /**
   * @param group - a group
   * @returns its primary, as far as known and not doubted
   */
  findPrimary(group: GroupId): PrimaryRecord | undefined {
    const known = this.groups.get(group);
    const member = known?.view?.primary;
    if (known?.view === undefined || member === undefined) return undefined;
    const { term } = known.view;
    const { doubted } = known;
    if (doubted !== undefined && doubted.member === member && doubted.term === term) {
      return undefined;
    }
    return { member, term };
  }

  /**
   * Notes that a primary refused writes or could not be reached.
   *
   * @param group - its group
   * @param primary - the primary that was tried
   */
  doubtPrimary(group: GroupId, primary: PrimaryRecord): void {
    const known = this.groups.get(group);
    if (known !== undefined) known.doubted = primary;
  }

  /**
   * Waits for a primary that is not doubted.
   *
   * @param group - a group
   * @param waitMs - longest wait, in milliseconds
   * @returns the primary, or undefined if none became known in time
   */
  async waitForPrimary(group: GroupId, waitMs: number): Promise<PrimaryRecord | undefined> {
    const deadline = this.clock.now() + waitMs;
    for (;;) {
      const primary = this.findPrimary(group);
      const leftMs = deadline - this.clock.now();
      if (primary !== undefined || leftMs <= 0) return primary;
      await this.waitForNews(this.resolve(group), leftMs);
    }
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns what was last told of it
   */
  findSighting(group: GroupId, member: MemberId): MemberSighting | undefined {
    return this.groups.get(group)?.sightings.get(member);
  }

  /**
   * @param group - a group
   * @returns the view in use
   */
  findView(group: GroupId): GroupView | undefined {
    return this.groups.get(group)?.view;
  }

  private resolve(group: GroupId): KnownGroup {
    let known = this.groups.get(group);
    if (known === undefined) {
      known = { view: undefined, sightings: new Map(), waiters: new Set(), doubted: undefined };
      this.groups.set(group, known);
    }
    return known;
  }

  private noteSighting(known: KnownGroup, sighting: MemberSighting): void {
    const { member, term, applied } = sighting.status;
    const last = known.sightings.get(member)?.status;
    const isOlder = last !== undefined && last.term === term && last.applied > applied;
    if (!isOlder) known.sightings.set(member, sighting);
  }

  private async waitForNews(known: KnownGroup, waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const done = (): void => {
        clearTimeout(timer);
        known.waiters.delete(done);
        resolve();
      };
      const timer = setTimeout(done, waitMs);
      known.waiters.add(done);
    });
  }

  private wake(known: KnownGroup): void {
    for (const waiter of [...known.waiters]) waiter();
  }
}
