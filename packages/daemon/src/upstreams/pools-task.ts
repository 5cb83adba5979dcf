/** All pools of this instance, and the permits that bound them over the whole fleet. */
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
import type { SlotKnowledge } from '../limits/limits-task.js';
import {
  DEFAULT_POOL_TIMINGS,
  DEFAULT_QUEUE_BOUNDS,
  type PoolState,
  UpstreamPool,
} from './upstream-pool.js';

const PERMIT_LIFE_MS = toMilliseconds(4000);
const TICK_MS = 150;
const ASK_TIMEOUT_MS = 200;
/** User name under which the fleet logs in at members. */
const SERVICE_USER = 'heatherledge';

interface MemberDesk {
  readonly group: GroupId;
  readonly member: MemberRecord;
  readonly pool: UpstreamPool;
  readonly book: PermitTracker;
  connections: number;
  asking: boolean;
}

/** Owns the pools. */
export class PoolsTask {
  private readonly desks = new Map<string, MemberDesk>();

  private readonly used = new Set<GroupId>();

  private settings: SettingsIndex | undefined;

  private readonly timer: NodeJS.Timeout;

  private slots: SlotKnowledge = { owned: [], slotCount: 0, holders: new Set() };

  constructor(
    private readonly self: InstanceId,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
  ) {
    hub.handle('permit.ask', (body) => this.answerAsk(body));
    this.timer = setInterval(() => this.tick(), TICK_MS);
  }

  /** Ends idle connections and stops. */
  stop(): void {
    clearInterval(this.timer);
    for (const { pool } of this.desks.values()) pool.closeIdle();
  }

  /**
   * Takes new settings or slots.
   *
   * @param settings - the newest settings
   * @param slots - slots held here
   */
  update(settings: SettingsIndex, slots: SlotKnowledge): void {
    this.slots = slots;
    this.settings = settings;
    for (const group of this.used) this.configureGroup(group);
    for (const [key, desk] of this.desks) {
      const group = settings.groups.get(desk.group);
      if (group?.members.some(({ id }) => id === desk.member.id)) continue;
      desk.pool.setPermits(0);
      this.desks.delete(key);
    }
  }

  /**
   * Makes the pools of a group; nothing is kept for groups that are not used here.
   *
   * @param group - a group that is going to be used
   */
  use(group: GroupId): void {
    if (this.used.has(group)) return;
    this.used.add(group);
    this.configureGroup(group);
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns the pool, if the settings have such a member
   */
  find(group: GroupId, member: MemberId): UpstreamPool | undefined {
    return this.desks.get(createKey(group, member))?.pool;
  }

  /**
   * @param group - a group
   * @param member - one of its members
   * @returns connections that may be open to it now
   */
  resolvePermits(group: GroupId, member: MemberId): number {
    return this.desks.get(createKey(group, member))?.book.computePermits(this.clock.now()) ?? 0;
  }

  /** @returns counts of all pools */
  get states(): (PoolState & { group: GroupId })[] {
    return [...this.desks.values()].map(({ group, pool }) => ({ group, ...pool.state }));
  }

  private configureGroup(id: GroupId): void {
    const group = this.settings?.groups.get(id);
    for (const member of group?.members ?? []) {
      this.configure(createKey(id, member.id), group as GroupRecord, member);
    }
  }

  private configure(key: string, group: GroupRecord, member: MemberRecord): void {
    const known = this.desks.get(key);
    const moved = known && (known.member.host !== member.host || known.member.port !== member.port);
    if (moved) known.pool.setPermits(0);
    const desk = known === undefined || moved ? this.createDesk(group.id, member) : known;
    this.desks.set(key, desk);
    desk.connections = group.connectionsPerMember;
    this.refresh(desk);
  }

  private createDesk(group: GroupId, member: MemberRecord): MemberDesk {
    const { host, port } = member;
    const address = { host, port, user: SERVICE_USER, database: group };
    const pool = new UpstreamPool(
      member.id,
      address,
      this.clock,
      DEFAULT_POOL_TIMINGS,
      DEFAULT_QUEUE_BOUNDS,
    );
    const book = new PermitTracker(PERMIT_LIFE_MS);
    return { group, member, pool, book, connections: 0, asking: false };
  }

  private refresh(desk: MemberDesk): void {
    const { slotCount, owned } = this.slots;
    const offset = computeOffset(desk.member.id);
    const permits = slotCount === 0 ? 0 : countPermits(desk.connections, slotCount, offset, owned);
    desk.book.setOwned(permits);
    desk.pool.setPermits(desk.book.computePermits(this.clock.now()));
  }

  private tick(): void {
    for (const desk of this.desks.values()) {
      const permits = desk.book.computePermits(this.clock.now());
      desk.pool.setPermits(permits);
      const { waiting } = desk.pool.state;
      const lasting = desk.book.ownedPermits + desk.book.countLastingLoans(this.clock.now());
      const isShort = waiting > permits || (waiting > 0 && permits === 0);
      const isLapsing = desk.pool.load > 0 && lasting === 0;
      if ((isShort || isLapsing) && !desk.asking) void this.borrow(desk, lasting);
    }
  }

  private async borrow(desk: MemberDesk, has: number): Promise<void> {
    desk.asking = true;
    const others = [...this.slots.holders].filter((id) => id !== this.self);
    const lenders = chooseHolders(`permit/${desk.member.id}/${this.self}`, others, others.length);
    for (const lender of lenders) {
      if (await this.askOne(desk, lender, has)) break;
    }
    desk.asking = false;
  }

  private async askOne(desk: MemberDesk, lender: InstanceId, has: number): Promise<boolean> {
    const askedAt = this.clock.now();
    const { group } = desk;
    const body = { kind: 'permit.ask' as const, group, member: desk.member.id, has };
    const answer = await this.hub.request(lender, body, ASK_TIMEOUT_MS);
    if (answer?.kind !== 'permit.offer' || answer.loan === undefined) return false;
    const id = toBrand<PermitLoanId>(answer.loan.id);
    desk.book.borrow({ id, lifeMs: toMilliseconds(answer.loan.lifeMs) }, askedAt);
    desk.pool.setPermits(desk.book.computePermits(this.clock.now()));
    return true;
  }

  private answerAsk(body: PeerBodyOf<'permit.ask'>): PeerBodyOf<'permit.offer'> {
    this.use(toBrand<GroupId>(body.group));
    const desk = this.desks.get(createKey(body.group, body.member));
    if (desk === undefined) return { kind: 'permit.offer' };
    const loan = desk.book.lend(desk.pool.load, body.has, this.clock.now());
    if (loan !== undefined) desk.pool.setPermits(desk.book.computePermits(this.clock.now()));
    return { kind: 'permit.offer', loan };
  }
}

function createKey(group: string, member: string): string {
  return `${group}/${member}`;
}

function computeOffset(member: string): number {
  let sum = 0;
  for (const char of member) sum = (sum * 31 + char.charCodeAt(0)) % 9973;
  return sum;
}
