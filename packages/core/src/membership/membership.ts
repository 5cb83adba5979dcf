/**
 * Knows which instances live, by the SWIM protocol: every instance pings one other per period, asks
 * a few others to ping one that is silent, suspects it, and declares it dead if it does not refute
 * the suspicion. Load per instance does not grow with the fleet.
 */
import type { FailureDomainId, InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** What is thought of an instance. */
export type InstanceState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** An instance and how to reach it. */
export interface InstanceRecord {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** Port for datagrams and for the peer protocol. */
  readonly peerPort: number;
  /** Raised by the instance itself to refute a suspicion, and at each start. */
  readonly incarnation: number;
  readonly state: InstanceState;
}

/** A datagram between instances. */
export interface MembershipMessage {
  readonly kind: 'ping' | 'ack' | 'ping-request';
  readonly from: InstanceId;
  readonly sequence: number;
  /** For a ping request: who is to be pinged. */
  readonly target?: InstanceId;
  readonly gossip: readonly InstanceRecord[];
}

/** A datagram and where it goes. */
export interface MembershipSend {
  readonly to: InstanceRecord;
  readonly message: MembershipMessage;
}

/** Periods of the protocol. */
export interface MembershipTimings {
  readonly periodMs: number;
  /** A ping without an answer after this long is tried through others. */
  readonly directTimeoutMs: number;
  /** A suspect that has not refuted by then is dead. */
  readonly suspicionMs: number;
  /** How often a dead instance is tried again, in case a cut has healed. */
  readonly retryDeadMs: number;
  readonly helpers: number;
  readonly gossipPerMessage: number;
  /** How often each news is passed on. */
  readonly gossipRepeats: number;
}

/** A dead instance is known within about four seconds. */
export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  periodMs: 1000,
  directTimeoutMs: 300,
  suspicionMs: 2000,
  retryDeadMs: 5000,
  helpers: 2,
  gossipPerMessage: 4,
  gossipRepeats: 8,
};

interface Probe {
  readonly target: InstanceId;
  readonly sequence: number;
  readonly sentAt: Milliseconds;
  askedHelpers: boolean;
}

interface Relay {
  readonly requester: InstanceId;
  readonly requesterSequence: number;
}

interface News {
  readonly id: InstanceId;
  sent: number;
}

/** One instance's knowledge of the others. */
export class Membership {
  private readonly records = new Map<InstanceId, InstanceRecord>();

  private readonly suspectedAt = new Map<InstanceId, Milliseconds>();

  private readonly relays = new Map<number, Relay>();

  private order: InstanceId[] = [];

  private news: News[] = [];

  private probe: Probe | undefined;

  private nextProbeAt: Milliseconds | undefined;

  private lastDeadTryAt = toMilliseconds(0);

  private sequence = 0;

  private changed = false;

  /**
   * @param self - this instance; its incarnation must be higher than at any earlier start
   * @param timings - periods of the protocol
   * @param random - uniform numbers in [0, 1)
   */
  constructor(
    private self: InstanceRecord,
    private readonly timings: MembershipTimings,
    private readonly random: () => number,
  ) {
    this.records.set(self.id, self);
    this.addNews(self.id);
  }

  /**
   * Learns of instances from the platform's list or from settings. The list lags, so it only adds
   * instances that are unknown, and marks as leaving those that it says are.
   *
   * @param listed - instances by the list
   */
  learn(listed: readonly InstanceRecord[]): void {
    for (const record of listed) {
      const known = this.records.get(record.id);
      if (known === undefined) this.accept(record);
      else if (
        record.state === 'leaving' &&
        known.state === 'alive' &&
        record.id !== this.self.id
      ) {
        this.accept({ ...known, state: 'leaving' });
      }
    }
  }

  /**
   * @param now - present moment
   * @returns datagrams to send
   */
  step(now: Milliseconds): MembershipSend[] {
    const sends: MembershipSend[] = [];
    this.judgeProbe(now, sends);
    this.buryExpired(now);
    if (now >= (this.nextProbeAt ?? now)) this.startProbe(now, sends);
    return sends;
  }

  /**
   * @param message - a datagram that came in
   * @param now - present moment
   * @returns datagrams to send
   */
  handle(message: MembershipMessage, now: Milliseconds): MembershipSend[] {
    for (const record of message.gossip) this.merge(record, now);
    const sender = this.records.get(message.from);
    if (sender === undefined) return [];
    if (message.kind === 'ping') return [this.createSend(sender, 'ack', message.sequence)];
    if (message.kind === 'ping-request') return this.relayPing(sender, message);
    return this.handleAck(message);
  }

  /** Announces that this instance is leaving. */
  announceLeaving(): MembershipSend[] {
    this.self = { ...this.self, state: 'leaving', incarnation: this.self.incarnation + 1 };
    this.accept(this.self);
    return this.others(['alive', 'suspect']).map((to) => this.createSend(to, 'ping', 0));
  }

  /** @returns every instance known */
  get all(): readonly InstanceRecord[] {
    return [...this.records.values()];
  }

  /** @returns instances that may hold roles: alive or merely suspected, this one included */
  get live(): readonly InstanceRecord[] {
    return this.all.filter(({ state }) => state === 'alive' || state === 'suspect');
  }

  /**
   * @param id - an instance
   * @returns what is known of it
   */
  find(id: InstanceId): InstanceRecord | undefined {
    return this.records.get(id);
  }

  /** @returns whether anything changed since the last call */
  takeChange(): boolean {
    const { changed } = this;
    this.changed = false;
    return changed;
  }

  private startProbe(now: Milliseconds, sends: MembershipSend[]): void {
    this.nextProbeAt = toMilliseconds(now + this.timings.periodMs);
    const target = this.chooseTarget(now);
    if (target === undefined) return;
    this.sequence += 1;
    this.probe = { target: target.id, sequence: this.sequence, sentAt: now, askedHelpers: false };
    sends.push(this.createSend(target, 'ping', this.sequence));
  }

  private chooseTarget(now: Milliseconds): InstanceRecord | undefined {
    if (now - this.lastDeadTryAt >= this.timings.retryDeadMs) {
      this.lastDeadTryAt = now;
      const dead = this.others(['dead']);
      const chosen = dead[Math.floor(this.random() * dead.length)];
      if (chosen !== undefined) return chosen;
    }
    if (this.order.length === 0) this.order = this.shuffleOthers();
    while (this.order.length > 0) {
      const record = this.records.get(this.order.pop() as InstanceId);
      if (record !== undefined && record.state !== 'dead') return record;
    }
    return undefined;
  }

  private shuffleOthers(): InstanceId[] {
    const ids = this.others(['alive', 'suspect', 'leaving']).map(({ id }) => id);
    for (let index = ids.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random() * (index + 1));
      [ids[index], ids[other]] = [ids[other] as InstanceId, ids[index] as InstanceId];
    }
    return ids;
  }

  private judgeProbe(now: Milliseconds, sends: MembershipSend[]): void {
    const { probe } = this;
    if (probe === undefined) return;
    const waited = now - probe.sentAt;
    if (!probe.askedHelpers && waited >= this.timings.directTimeoutMs) {
      probe.askedHelpers = true;
      for (const helper of this.chooseHelpers(probe.target)) {
        sends.push(this.createSend(helper, 'ping-request', probe.sequence, probe.target));
      }
    }
    if (waited >= this.timings.periodMs) {
      this.probe = undefined;
      this.suspect(probe.target, now);
    }
  }

  private chooseHelpers(target: InstanceId): InstanceRecord[] {
    const others = this.others(['alive']).filter(({ id }) => id !== target);
    const helpers: InstanceRecord[] = [];
    while (helpers.length < this.timings.helpers && others.length > 0) {
      helpers.push(...others.splice(Math.floor(this.random() * others.length), 1));
    }
    return helpers;
  }

  private suspect(id: InstanceId, now: Milliseconds): void {
    const record = this.records.get(id);
    if (record === undefined || (record.state !== 'alive' && record.state !== 'leaving')) return;
    this.suspectedAt.set(id, now);
    this.accept({ ...record, state: 'suspect' });
  }

  private buryExpired(now: Milliseconds): void {
    for (const [id, since] of this.suspectedAt) {
      const record = this.records.get(id);
      if (record?.state !== 'suspect') this.suspectedAt.delete(id);
      else if (now - since >= this.timings.suspicionMs) {
        this.suspectedAt.delete(id);
        this.accept({ ...record, state: 'dead' });
      }
    }
  }

  private relayPing(requester: InstanceRecord, message: MembershipMessage): MembershipSend[] {
    const target = message.target === undefined ? undefined : this.records.get(message.target);
    if (target === undefined) return [];
    this.sequence += 1;
    this.relays.set(this.sequence, {
      requester: requester.id,
      requesterSequence: message.sequence,
    });
    if (this.relays.size > MAX_RELAYS) this.relays.delete(Math.min(...this.relays.keys()));
    return [this.createSend(target, 'ping', this.sequence)];
  }

  private handleAck(message: MembershipMessage): MembershipSend[] {
    if (this.probe?.sequence === message.sequence) this.probe = undefined;
    const relay = this.relays.get(message.sequence);
    if (relay === undefined) return [];
    this.relays.delete(message.sequence);
    const requester = this.records.get(relay.requester);
    return requester ? [this.createSend(requester, 'ack', relay.requesterSequence)] : [];
  }

  /** Takes news of an instance if it is newer than what is known. */
  private merge(record: InstanceRecord, now: Milliseconds): void {
    if (record.id === this.self.id) {
      this.refute(record);
      return;
    }
    const known = this.records.get(record.id);
    if (known !== undefined && !isNewer(record, known)) return;
    if (record.state === 'suspect') this.suspectedAt.set(record.id, now);
    this.accept(record);
  }

  private refute(record: InstanceRecord): void {
    if (record.incarnation < this.self.incarnation) return;
    const accused = record.state === 'suspect' || record.state === 'dead';
    if (!accused && record.incarnation === this.self.incarnation) return;
    this.self = { ...this.self, incarnation: record.incarnation + 1 };
    this.accept(this.self);
  }

  private accept(record: InstanceRecord): void {
    this.records.set(record.id, record);
    this.addNews(record.id);
    this.changed = true;
  }

  private addNews(id: InstanceId): void {
    this.news = this.news.filter((item) => item.id !== id);
    this.news.push({ id, sent: 0 });
  }

  private createSend(
    to: InstanceRecord,
    kind: MembershipMessage['kind'],
    sequence: number,
    target?: InstanceId,
  ): MembershipSend {
    const message = { kind, from: this.self.id, sequence, target, gossip: this.takeGossip(to.id) };
    return { to, message };
  }

  private takeGossip(to: InstanceId): InstanceRecord[] {
    this.news.sort((left, right) => left.sent - right.sent);
    const chosen = this.news.slice(0, this.timings.gossipPerMessage);
    for (const item of chosen) item.sent += 1;
    this.news = this.news.filter(({ sent }) => sent < this.timings.gossipRepeats);
    const ids = new Set(chosen.map(({ id }) => id));
    // The sender always tells of itself, and tells a suspect that it is suspected.
    ids.add(this.self.id);
    ids.add(to);
    return [...ids].flatMap((id) => this.records.get(id) ?? []);
  }

  private others(states: readonly InstanceState[]): InstanceRecord[] {
    return this.all.filter(({ id, state }) => id !== this.self.id && states.includes(state));
  }
}

/** Most pings on behalf of others that are remembered. */
const MAX_RELAYS = 256;

const STATE_RANK: Record<InstanceState, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

function isNewer(next: InstanceRecord, known: InstanceRecord): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  return STATE_RANK[next.state] > STATE_RANK[known.state];
}
