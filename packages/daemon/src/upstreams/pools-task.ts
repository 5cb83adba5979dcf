import {
  chooseHolders,
  type Clock,
  countPermits,
  type GroupId,
  type GroupRecord,
  type InstanceId,
  type MemberId,
  type MemberRecord,
  PermitTracker,
  type PermitLoanId,
  type SettingsIndex,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { PeerBodyOf } from '../peers/peer-messages.js';
import type { SlotAllocation } from '../limits/limits-task.js';
import {
  DEFAULT_POOL_TIMINGS,
  DEFAULT_QUEUE_BOUNDS,
  type PoolState,
  UpstreamPool,
} from './upstream-pool.js';

/** How long a borrowed permit may be used. */
const PERMIT_LOAN_TTL_MS = toMilliseconds(4000);
/** Interval at which permits are recomputed and further ones are borrowed. */
const UPDATE_INTERVAL_MS = 150;
const LOAN_REQUEST_TIMEOUT_MS = 200;
/** User name with which instances log in to members. */
const SERVICE_USER = 'heatherledge';

interface MemberEntry {
  readonly group: GroupId;
  readonly member: MemberRecord;
  readonly pool: UpstreamPool;
  readonly tracker: PermitTracker;
  /** Connections that the whole fleet may hold to the member. */
  connectionLimit: number;
  isBorrowing: boolean;
}

/**
 * Keeps a connection pool for each member of the groups in use. Permits bound the connections that
 * the whole fleet opens to a member; an instance that is short of permits borrows them from other
 * instances.
 */
export class PoolsTask {
  private readonly entries = new Map<string, MemberEntry>();

  private readonly usedGroups = new Set<GroupId>();

  private settings: SettingsIndex | undefined;

  private readonly timer: NodeJS.Timeout;

  private slots: SlotAllocation = { owned: [], slotCount: 0, holders: new Set() };

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
  ) {
    hub.handle('permit.ask', (body) => this.handlePermitRequest(body));
    this.timer = setInterval(() => this.updateAllPermits(), UPDATE_INTERVAL_MS);
  }

  /** Closes idle connections and stops. */
  stop(): void {
    clearInterval(this.timer);
    for (const { pool } of this.entries.values()) pool.closeIdle();
  }

  /**
   * Applies new settings or slots.
   *
   * @param settings - the latest settings
   * @param slots - this instance's share of the slots
   */
  update(settings: SettingsIndex, slots: SlotAllocation): void {
    this.slots = slots;
    this.settings = settings;
    for (const group of this.usedGroups) this.configureGroup(group);
    for (const [key, entry] of this.entries) {
      const group = settings.groups.get(entry.group);
      if (group?.members.some(({ id }) => id === entry.member.id)) continue;
      entry.pool.setPermits(0);
      this.entries.delete(key);
    }
  }

  /**
   * Creates the pools of a group that this instance serves; other groups have none here.
   *
   * @param group - the group
   */
  addGroup(group: GroupId): void {
    if (this.usedGroups.has(group)) return;
    this.usedGroups.add(group);
    this.configureGroup(group);
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns its pool; undefined if the settings have no such member
   */
  findPool(group: GroupId, member: MemberId): UpstreamPool | undefined {
    return this.entries.get(createKey(group, member))?.pool;
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns number of connections that this instance may have open to it now
   */
  computePermits(group: GroupId, member: MemberId): number {
    return (
      this.entries.get(createKey(group, member))?.tracker.computePermits(this.clock.now()) ?? 0
    );
  }

  /** @returns counts of all pools, for the state dump */
  get states(): (PoolState & { group: GroupId })[] {
    return [...this.entries.values()].map(({ group, pool }) => ({ group, ...pool.state }));
  }

  private configureGroup(id: GroupId): void {
    const group = this.settings?.groups.get(id);
    for (const member of group?.members ?? []) {
      this.configureMember(createKey(id, member.id), group as GroupRecord, member);
    }
  }

  private configureMember(key: string, group: GroupRecord, member: MemberRecord): void {
    const existing = this.entries.get(key);
    const hasMoved =
      existing && (existing.member.host !== member.host || existing.member.port !== member.port);
    if (hasMoved) existing.pool.setPermits(0);
    const entry =
      existing === undefined || hasMoved ? this.createEntry(group.id, member) : existing;
    this.entries.set(key, entry);
    entry.connectionLimit = group.connectionsPerMember;
    this.updatePermits(entry);
  }

  private createEntry(group: GroupId, member: MemberRecord): MemberEntry {
    const { host, port } = member;
    const address = { host, port, user: SERVICE_USER, database: group };
    const pool = new UpstreamPool(
      member.id,
      address,
      this.clock,
      DEFAULT_POOL_TIMINGS,
      DEFAULT_QUEUE_BOUNDS,
    );
    const tracker = new PermitTracker(PERMIT_LOAN_TTL_MS);
    return { group, member, pool, tracker, connectionLimit: 0, isBorrowing: false };
  }

  private updatePermits(entry: MemberEntry): void {
    const { slotCount, owned } = this.slots;
    const offset = computeSlotOffset(entry.member.id);
    const permits =
      slotCount === 0 ? 0 : countPermits(entry.connectionLimit, slotCount, offset, owned);
    entry.tracker.setOwned(permits);
    entry.pool.setPermits(entry.tracker.computePermits(this.clock.now()));
  }

  private updateAllPermits(): void {
    for (const entry of this.entries.values()) {
      const permits = entry.tracker.computePermits(this.clock.now());
      entry.pool.setPermits(permits);
      const { waiting } = entry.pool.state;
      const lastingPermits =
        entry.tracker.ownedPermits + entry.tracker.countLastingLoans(this.clock.now());
      const isShort = waiting > permits || (waiting > 0 && permits === 0);
      const isExpiring = entry.pool.load > 0 && lastingPermits === 0;
      if ((isShort || isExpiring) && !entry.isBorrowing) void this.borrow(entry, lastingPermits);
    }
  }

  private async borrow(entry: MemberEntry, lastingPermits: number): Promise<void> {
    entry.isBorrowing = true;
    const others = [...this.slots.holders].filter((id) => id !== this.self);
    const lenders = chooseHolders(`permit/${entry.member.id}/${this.self}`, others, others.length);
    for (const lender of lenders) {
      if (await this.requestPermit(entry, lender, lastingPermits)) break;
    }
    entry.isBorrowing = false;
  }

  private async requestPermit(
    entry: MemberEntry,
    lender: InstanceId,
    lastingPermits: number,
  ): Promise<boolean> {
    const requestedAt = this.clock.now();
    const { group } = entry;
    const body = {
      kind: 'permit.ask' as const,
      group,
      member: entry.member.id,
      has: lastingPermits,
    };
    const response = await this.hub.request(lender, body, LOAN_REQUEST_TIMEOUT_MS);
    if (response?.kind !== 'permit.offer' || response.loan === undefined) return false;
    const id = toBrand<PermitLoanId>(response.loan.id);
    entry.tracker.borrow({ id, lifeMs: toMilliseconds(response.loan.lifeMs) }, requestedAt);
    entry.pool.setPermits(entry.tracker.computePermits(this.clock.now()));
    return true;
  }

  private handlePermitRequest(body: PeerBodyOf<'permit.ask'>): PeerBodyOf<'permit.offer'> {
    this.addGroup(toBrand<GroupId>(body.group));
    const entry = this.entries.get(createKey(body.group, body.member));
    if (entry === undefined) return { kind: 'permit.offer' };
    const loan = entry.tracker.lend(entry.pool.load, body.has, this.clock.now());
    if (loan !== undefined) entry.pool.setPermits(entry.tracker.computePermits(this.clock.now()));
    return { kind: 'permit.offer', loan };
  }
}

function createKey(group: string, member: string): string {
  return `${group}/${member}`;
}

/** Hashes a member's id, so that different members favour different slots. */
function computeSlotOffset(member: string): number {
  let sum = 0;
  for (const char of member) sum = (sum * 31 + char.charCodeAt(0)) % 9973;
  return sum;
}
