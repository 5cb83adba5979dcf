/** What a group's other watchers think of its primary. */
import type { InstanceId, Milliseconds } from '../types/ids.js';
import type { WatcherIdentity, WatcherOpinion } from './watcher-types.js';

interface HeardOpinion {
  readonly opinion: WatcherOpinion;
  readonly at: Milliseconds;
}

/** Keeps the newest opinion of each watcher; old ones do not count. */
export class OpinionBook {
  private readonly heard = new Map<InstanceId, HeardOpinion>();

  /**
   * @param identity - whose book it is
   * @param lifeMs - how long an opinion counts
   */
  constructor(
    private readonly identity: WatcherIdentity,
    private readonly lifeMs: number,
  ) {}

  /**
   * @param opinion - what another watcher thinks
   * @param now - present moment
   */
  note(opinion: WatcherOpinion, now: Milliseconds): void {
    this.heard.set(opinion.watcher, { opinion, at: now });
  }

  /**
   * Tells whether watchers in a majority of the failure domains suspect the primary, this one
   * included, so that a watcher that is cut off cannot act alone.
   *
   * @param domains - failure domains in which the group has a watcher
   * @param now - present moment
   * @returns whether they do
   */
  hasEvidence(domains: ReadonlySet<string>, now: Milliseconds): boolean {
    const own = this.identity.failureDomain;
    const agreeing = new Set<string>([own]);
    for (const { failureDomain, suspects } of this.listFresh(now)) {
      if (suspects) agreeing.add(failureDomain);
    }
    return agreeing.size * 2 > new Set([...domains, own]).size;
  }

  /**
   * @param now - present moment
   * @returns how many other watchers that suspect come before this one
   */
  resolveRank(now: Milliseconds): number {
    return this.listFresh(now).filter(
      ({ suspects, watcher }) => suspects && watcher < this.identity.instance,
    ).length;
  }

  /**
   * @param now - present moment
   * @returns whether no other watcher that is heard comes before this one
   */
  isFirst(now: Milliseconds): boolean {
    return this.listFresh(now).every(({ watcher }) => watcher >= this.identity.instance);
  }

  private listFresh(now: Milliseconds): WatcherOpinion[] {
    return [...this.heard.values()]
      .filter(({ at }) => now - at <= this.lifeMs)
      .map(({ opinion }) => opinion);
  }
}
