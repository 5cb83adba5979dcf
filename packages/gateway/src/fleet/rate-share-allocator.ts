import {
  chooseHolders,
  type DomainInstances,
  type InstanceId,
  type Milliseconds,
  type OrganisationId,
} from '@heatherledge/core';
import type { OrganisationShare, SlotAllocation } from '@heatherledge/daemon';
import { groupByDomain, type PlacedInstance } from './domains.js';
import type { StoredRecord } from './known-primaries.js';
import type { InstanceRecord } from './records.js';

/** Holders of low rates in a large failure domain; two, so that one may be down. */
const LENDERS_PER_DOMAIN = 2;
/** Minimum share of a burst, in requests, that is useful to a holder without loans. */
const MIN_BURST_PER_HOLDER = 5;

/**
 * Computes this instance's share of every organisation's rate from the instances that the store
 * lists.
 *
 * A new instance uses its share only after `settleMs`: by then, every other instance has either seen
 * it listed or stopped serving. Shares grow only after an instance has been unlisted for as long. So
 * the shares never add up to more than the whole rate, even if an instance is disconnected from the
 * store.
 */
export class RateShareAllocator {
  /** Instances that count in the division: those listed now, or last listed within `settleMs`. */
  private readonly counted = new Map<InstanceId, PlacedInstance & { lastListedAt: Milliseconds }>();

  private joinedAt: Milliseconds | undefined;

  /** Whether the share of an earlier incarnation is used without a wait. */
  private isResumed = false;

  private cached: { readonly key: string; readonly share: SlotAllocation } | undefined;

  /**
   * @param self - this instance
   * @param settleMs - maximum time for which an instance serves without an update from the store
   */
  constructor(
    private readonly self: InstanceId,
    private readonly settleMs: Milliseconds,
  ) {}

  /**
   * Computes the share that this instance may use now.
   *
   * @param instances - instances listed now
   * @param now - current time
   * @returns this instance's share; the same object until the share changes
   */
  computeShare(
    instances: ReadonlyMap<InstanceId, StoredRecord<InstanceRecord>>,
    now: Milliseconds,
  ): SlotAllocation {
    for (const [id, { value }] of instances) {
      this.counted.set(id, { id, domain: value.domain, cores: value.cores, lastListedAt: now });
    }
    for (const [id, { lastListedAt }] of this.counted) {
      if (now - lastListedAt > this.settleMs) this.counted.delete(id);
    }
    const mayUse = this.mayUseShare(instances.get(this.self), now);
    const places = [...this.counted.values()].map(({ id, domain, cores }) =>
      JSON.stringify([id, domain, cores]),
    );
    const key = JSON.stringify([mayUse, places.sort()]);
    if (this.cached?.key === key) return this.cached.share;
    const holders = new Set([...this.counted.keys()]);
    const divide = this.createDivision(mayUse);
    // Rates are divided by `divide`, not by slots; `owned` only shows whether the share may be used.
    const share = { owned: mayUse ? [0] : [], slotCount: holders.size, holders, divide };
    this.cached = { key, share };
    return share;
  }

  /**
   * Creates a function that divides a rate among as many holders as its burst suffices for, spread
   * over failure domains.
   *
   * Equal shares of a rate that is low for the fleet would hold less than one request each, and
   * whole tokens would accumulate only by chance. So a few instances hold all of it, and the others
   * borrow from them for each request, from a holder in their own domain first.
   */
  private createDivision(
    mayUse: boolean,
  ): (organisation: OrganisationId, burst: number) => OrganisationShare {
    const chosenHolders = new Map<string, Pick<OrganisationShare, 'holders' | 'near'>>();
    const domains = groupByDomain([...this.counted.values()]);
    const ownDomain = this.counted.get(this.self)?.domain;
    return (organisation, burst) => {
      const count = Math.max(
        1,
        Math.min(this.counted.size, Math.floor(burst / MIN_BURST_PER_HOLDER)),
      );
      const key = `${organisation} ${count}`;
      const chosen =
        chosenHolders.get(key) ??
        chooseRateHolders(`rate/${organisation}`, domains, count, ownDomain);
      chosenHolders.set(key, chosen);
      return { ...chosen, fraction: mayUse && chosen.holders.has(this.self) ? 1 / count : 0 };
    };
  }

  /** Resumes the share of the earlier incarnation, which the other instances still count. */
  resumeShare(): void {
    this.isResumed = true;
  }

  private mayUseShare(own: StoredRecord<InstanceRecord> | undefined, now: Milliseconds): boolean {
    if (own === undefined) {
      this.joinedAt = undefined;
      this.isResumed = false;
      return false;
    }
    if (this.isResumed) return true;
    this.joinedAt ??= now;
    return now - this.joinedAt > this.settleMs;
  }
}

/**
 * Lists the instances of a domain that may hold low rates. They are few, so that borrowers need
 * only a few connections, which are open already when a token is needed.
 */
function listLenders({ all, strongest }: DomainInstances): readonly InstanceId[] {
  if (all.length <= LENDERS_PER_DOMAIN * 2) return all;
  const candidates = strongest.length >= LENDERS_PER_DOMAIN ? strongest : all;
  return chooseHolders('rate-lender', candidates, LENDERS_PER_DOMAIN);
}

/**
 * Chooses the holders of a rate, one of each failure domain in turn.
 *
 * @param role - name of the rate, which selects the holders
 * @param domains - instances by failure domain
 * @param count - number of holders
 * @param ownDomain - failure domain of this instance
 * @returns the holders, and which of them are in this instance's domain
 */
function chooseRateHolders(
  role: string,
  domains: ReadonlyMap<string, DomainInstances>,
  count: number,
  ownDomain: string | undefined,
): { holders: ReadonlySet<InstanceId>; near: ReadonlySet<InstanceId> } {
  const lenders = new Map(
    [...domains].map(([domain, instances]) => [domain, listLenders(instances)]),
  );
  const lenderCount = [...lenders.values()].reduce((sum, { length }) => sum + length, 0);
  const order = chooseHolders(role, domains.keys(), domains.size);
  const ranked = order.map((domain) => {
    const ids = count <= lenderCount ? lenders.get(domain) : domains.get(domain)?.all;
    return chooseHolders(role, ids ?? [], ids?.length ?? 0);
  });
  const holders = new Set<InstanceId>();
  for (let rank = 0; holders.size < count && ranked.some((ids) => rank < ids.length); rank += 1) {
    for (const ids of ranked) {
      const id = ids[rank];
      if (id !== undefined && holders.size < count) holders.add(id);
    }
  }
  const ownDomainIds = new Set(domains.get(ownDomain ?? '')?.all);
  const near = new Set([...holders].filter((id) => ownDomainIds.has(id)));
  return { holders, near };
}
