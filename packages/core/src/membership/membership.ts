import type { FailureDomainId, InstanceId, Milliseconds } from '../types/ids.js';
import { toMilliseconds } from '../types/ids.js';

/** Membership state of an instance. */
export type InstanceState = 'alive' | 'suspect' | 'leaving' | 'dead';

/** An instance, its address and its membership state; sent between instances. */
export interface InstanceRecord {
  readonly id: InstanceId;
  readonly failureDomain: FailureDomainId;
  readonly host: string;
  /** Port of the membership datagrams and of the peer protocol. */
  readonly peerPort: number;
  /** Raised by the instance itself to refute a suspicion, and at each start. */
  readonly incarnation: number;
  readonly state: InstanceState;
}

/** A membership message; sent between instances as a datagram. */
export interface MembershipMessage {
  readonly kind: 'ping' | 'ack' | 'ping-request';
  readonly from: InstanceId;
  readonly sequence: number;
  /** For a ping request: the instance to ping. */
  readonly target?: InstanceId;
  /** Recent membership updates. */
  readonly gossip: readonly InstanceRecord[];
}

/** An outgoing message and its recipient. */
export interface MembershipDatagram {
  readonly to: InstanceRecord;
  readonly message: MembershipMessage;
}

/** Intervals, timeouts and limits of the membership protocol. */
export interface MembershipTimings {
  /** Interval of pings; each goes to one other instance. */
  readonly periodMs: number;
  /** A ping without a response after this time is repeated through other instances. */
  readonly pingTimeoutMs: number;
  /** A suspect that does not refute the suspicion within this time is declared dead. */
  readonly suspicionTimeoutMs: number;
  /** Interval at which a dead instance is pinged, in case a network partition has ended. */
  readonly deadRetryIntervalMs: number;
  /** Number of instances that are requested to ping an unresponsive instance. */
  readonly indirectPings: number;
  /** Maximum queued updates per message. */
  readonly maxUpdatesPerMessage: number;
  /** Number of messages that carry each update. */
  readonly messagesPerUpdate: number;
}

/** Timings under which a dead instance is detected within about four seconds. */
export const DEFAULT_MEMBERSHIP_TIMINGS: MembershipTimings = {
  periodMs: 1000,
  pingTimeoutMs: 300,
  suspicionTimeoutMs: 2000,
  deadRetryIntervalMs: 5000,
  indirectPings: 2,
  maxUpdatesPerMessage: 4,
  messagesPerUpdate: 8,
};

interface Probe {
  readonly target: InstanceId;
  readonly sequence: number;
  readonly sentAt: Milliseconds;
  hasRequestedIndirect: boolean;
}

/** A ping sent on behalf of another instance. */
interface ForwardedPing {
  readonly requester: InstanceId;
  readonly requesterSequence: number;
}

/** An instance whose record has changed and is still being passed on. */
interface QueuedUpdate {
  readonly id: InstanceId;
  /** Number of messages that have carried the record. */
  sent: number;
}

/**
 * Tracks the state of all instances with the SWIM protocol: every instance pings one other per
 * period, requests indirect pings of an unresponsive one from a few others, suspects it, and
 * declares it dead if it does not refute the suspicion. The load per instance does not grow with
 * the fleet.
 */
export class Membership {
  private readonly records = new Map<InstanceId, InstanceRecord>();

  private readonly suspectedAt = new Map<InstanceId, Milliseconds>();

  private readonly forwards = new Map<number, ForwardedPing>();

  private probeOrder: InstanceId[] = [];

  private updates: QueuedUpdate[] = [];

  private probe: Probe | undefined;

  private nextProbeAt: Milliseconds | undefined;

  private lastDeadRetryAt = toMilliseconds(0);

  private sequence = 0;

  private hasChanged = false;

  /**
   * @param self - this instance; its incarnation must be higher than at any earlier start
   * @param timings - intervals, timeouts and limits of the protocol
   * @param random - returns uniform numbers in [0, 1)
   */
  constructor(
    private self: InstanceRecord,
    private readonly timings: MembershipTimings,
    private readonly random: () => number,
  ) {
    this.records.set(self.id, self);
    this.queueUpdate(self.id);
  }

  /**
   * Merges a list of instances from the platform or the settings. The list may be stale, so it only
   * adds unknown instances and marks live ones that it lists as leaving.
   *
   * @param listed - the listed instances
   */
  mergeListed(listed: readonly InstanceRecord[]): void {
    for (const record of listed) {
      const known = this.records.get(record.id);
      if (known === undefined) this.setRecord(record);
      else if (
        record.state === 'leaving' &&
        known.state === 'alive' &&
        record.id !== this.self.id
      ) {
        this.setRecord({ ...known, state: 'leaving' });
      }
    }
  }

  /**
   * Checks the current probe, expires suspicions and starts the next probe if it is due.
   *
   * @param now - current time
   * @returns messages to send
   */
  step(now: Milliseconds): MembershipDatagram[] {
    const datagrams: MembershipDatagram[] = [];
    this.checkProbe(now, datagrams);
    this.expireSuspicions(now);
    if (now >= (this.nextProbeAt ?? now)) this.startProbe(now, datagrams);
    return datagrams;
  }

  /**
   * Handles a received message.
   *
   * @param message - the message
   * @param now - current time
   * @returns messages to send
   */
  handleMessage(message: MembershipMessage, now: Milliseconds): MembershipDatagram[] {
    for (const record of message.gossip) this.mergeRecord(record, now);
    const sender = this.records.get(message.from);
    if (sender === undefined) return [];
    if (message.kind === 'ping') return [this.createDatagram(sender, 'ack', message.sequence)];
    if (message.kind === 'ping-request') return this.forwardPing(sender, message);
    return this.handleAck(message);
  }

  /**
   * Marks this instance as leaving.
   *
   * @returns messages that announce it to the other instances
   */
  announceLeaving(): MembershipDatagram[] {
    this.self = { ...this.self, state: 'leaving', incarnation: this.self.incarnation + 1 };
    this.setRecord(this.self);
    return this.listOthers(['alive', 'suspect']).map((to) => this.createDatagram(to, 'ping', 0));
  }

  /** @returns all known instances */
  get all(): readonly InstanceRecord[] {
    return [...this.records.values()];
  }

  /** @returns instances that may hold roles: those alive or suspected, this one included */
  get live(): readonly InstanceRecord[] {
    return this.all.filter(({ state }) => state === 'alive' || state === 'suspect');
  }

  /**
   * @param id - id of an instance
   * @returns its record, if it is known
   */
  find(id: InstanceId): InstanceRecord | undefined {
    return this.records.get(id);
  }

  /** @returns whether any record has changed since the last call */
  takeChange(): boolean {
    const { hasChanged } = this;
    this.hasChanged = false;
    return hasChanged;
  }

  private startProbe(now: Milliseconds, datagrams: MembershipDatagram[]): void {
    this.nextProbeAt = toMilliseconds(now + this.timings.periodMs);
    const target = this.chooseTarget(now);
    if (target === undefined) return;
    this.sequence += 1;
    this.probe = {
      target: target.id,
      sequence: this.sequence,
      sentAt: now,
      hasRequestedIndirect: false,
    };
    datagrams.push(this.createDatagram(target, 'ping', this.sequence));
  }

  private chooseTarget(now: Milliseconds): InstanceRecord | undefined {
    if (now - this.lastDeadRetryAt >= this.timings.deadRetryIntervalMs) {
      this.lastDeadRetryAt = now;
      const dead = this.listOthers(['dead']);
      const chosen = dead[Math.floor(this.random() * dead.length)];
      if (chosen !== undefined) return chosen;
    }
    if (this.probeOrder.length === 0) this.probeOrder = this.shuffleOthers();
    while (this.probeOrder.length > 0) {
      const record = this.records.get(this.probeOrder.pop() as InstanceId);
      if (record !== undefined && record.state !== 'dead') return record;
    }
    return undefined;
  }

  private shuffleOthers(): InstanceId[] {
    const ids = this.listOthers(['alive', 'suspect', 'leaving']).map(({ id }) => id);
    for (let index = ids.length - 1; index > 0; index -= 1) {
      const other = Math.floor(this.random() * (index + 1));
      [ids[index], ids[other]] = [ids[other] as InstanceId, ids[index] as InstanceId];
    }
    return ids;
  }

  private checkProbe(now: Milliseconds, datagrams: MembershipDatagram[]): void {
    const { probe } = this;
    if (probe === undefined) return;
    const elapsedMs = now - probe.sentAt;
    if (!probe.hasRequestedIndirect && elapsedMs >= this.timings.pingTimeoutMs) {
      probe.hasRequestedIndirect = true;
      for (const helper of this.chooseHelpers(probe.target)) {
        datagrams.push(this.createDatagram(helper, 'ping-request', probe.sequence, probe.target));
      }
    }
    if (elapsedMs >= this.timings.periodMs) {
      this.probe = undefined;
      this.markSuspect(probe.target, now);
    }
  }

  private chooseHelpers(target: InstanceId): InstanceRecord[] {
    const others = this.listOthers(['alive']).filter(({ id }) => id !== target);
    const helpers: InstanceRecord[] = [];
    while (helpers.length < this.timings.indirectPings && others.length > 0) {
      helpers.push(...others.splice(Math.floor(this.random() * others.length), 1));
    }
    return helpers;
  }

  private markSuspect(id: InstanceId, now: Milliseconds): void {
    const record = this.records.get(id);
    if (record === undefined || (record.state !== 'alive' && record.state !== 'leaving')) return;
    this.suspectedAt.set(id, now);
    this.setRecord({ ...record, state: 'suspect' });
  }

  private expireSuspicions(now: Milliseconds): void {
    for (const [id, since] of this.suspectedAt) {
      const record = this.records.get(id);
      if (record?.state !== 'suspect') this.suspectedAt.delete(id);
      else if (now - since >= this.timings.suspicionTimeoutMs) {
        this.suspectedAt.delete(id);
        this.setRecord({ ...record, state: 'dead' });
      }
    }
  }

  private forwardPing(requester: InstanceRecord, message: MembershipMessage): MembershipDatagram[] {
    const target = message.target === undefined ? undefined : this.records.get(message.target);
    if (target === undefined) return [];
    this.sequence += 1;
    this.forwards.set(this.sequence, {
      requester: requester.id,
      requesterSequence: message.sequence,
    });
    if (this.forwards.size > MAX_FORWARDS) this.forwards.delete(Math.min(...this.forwards.keys()));
    return [this.createDatagram(target, 'ping', this.sequence)];
  }

  private handleAck(message: MembershipMessage): MembershipDatagram[] {
    if (this.probe?.sequence === message.sequence) this.probe = undefined;
    const forwarded = this.forwards.get(message.sequence);
    if (forwarded === undefined) return [];
    this.forwards.delete(message.sequence);
    const requester = this.records.get(forwarded.requester);
    return requester ? [this.createDatagram(requester, 'ack', forwarded.requesterSequence)] : [];
  }

  /** Applies a received record if it is newer than the known one. */
  private mergeRecord(record: InstanceRecord, now: Milliseconds): void {
    if (record.id === this.self.id) {
      this.refute(record);
      return;
    }
    const known = this.records.get(record.id);
    if (known !== undefined && !isNewer(record, known)) return;
    if (record.state === 'suspect') this.suspectedAt.set(record.id, now);
    this.setRecord(record);
  }

  private refute(record: InstanceRecord): void {
    if (record.incarnation < this.self.incarnation) return;
    const isReportedDown = record.state === 'suspect' || record.state === 'dead';
    if (!isReportedDown && record.incarnation === this.self.incarnation) return;
    this.self = { ...this.self, incarnation: record.incarnation + 1 };
    this.setRecord(this.self);
  }

  private setRecord(record: InstanceRecord): void {
    this.records.set(record.id, record);
    this.queueUpdate(record.id);
    this.hasChanged = true;
  }

  private queueUpdate(id: InstanceId): void {
    this.updates = this.updates.filter((update) => update.id !== id);
    this.updates.push({ id, sent: 0 });
  }

  private createDatagram(
    to: InstanceRecord,
    kind: MembershipMessage['kind'],
    sequence: number,
    target?: InstanceId,
  ): MembershipDatagram {
    const message = { kind, from: this.self.id, sequence, target, gossip: this.takeGossip(to.id) };
    return { to, message };
  }

  private takeGossip(to: InstanceId): InstanceRecord[] {
    this.updates.sort((left, right) => left.sent - right.sent);
    const chosen = this.updates.slice(0, this.timings.maxUpdatesPerMessage);
    for (const update of chosen) update.sent += 1;
    this.updates = this.updates.filter(({ sent }) => sent < this.timings.messagesPerUpdate);
    const ids = new Set(chosen.map(({ id }) => id));
    // Always include the sender, and the recipient so that a suspect can refute the suspicion.
    ids.add(this.self.id);
    ids.add(to);
    return [...ids].flatMap((id) => this.records.get(id) ?? []);
  }

  private listOthers(states: readonly InstanceState[]): InstanceRecord[] {
    return this.all.filter(({ id, state }) => id !== this.self.id && states.includes(state));
  }
}

/** Maximum number of tracked pings on behalf of other instances. */
const MAX_FORWARDS = 256;

const STATE_RANK: Record<InstanceState, number> = { alive: 0, suspect: 1, leaving: 2, dead: 3 };

function isNewer(next: InstanceRecord, known: InstanceRecord): boolean {
  if (next.incarnation !== known.incarnation) return next.incarnation > known.incarnation;
  return STATE_RANK[next.state] > STATE_RANK[known.state];
}
