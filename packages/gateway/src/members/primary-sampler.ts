import {
  type Clock,
  type GroupId,
  type InstanceId,
  type LogPosition,
  type MemberEntry,
  type MemberId,
  type Milliseconds,
  type Term,
  type TermPosition,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { MemberControl } from '../failover/member-control.js';
import type { MemberRegistry } from './member-registry.js';

/** Interval at which a group is sampled while restricted reads need it; routes allow an age of 1,500 ms. */
const SAMPLE_INTERVAL_MS = 400;
/** Delay before a request without a response is repeated; a round trip between regions takes 24 ms. */
const REQUEST_TIMEOUT_MS = 300;
/** Age up to which a host responds with an earlier sample, so that 195 instances cause few commands. */
const MAX_SHARED_AGE_MS = 100;

/** Services needed to sample primaries. */
export interface PrimarySamplerServices {
  readonly self: InstanceId;
  readonly hub: PeerHub;
  readonly clock: Clock;
  readonly control: MemberControl;
  readonly memberRegistry: MemberRegistry;
}

interface TakenSample {
  readonly logPosition: TermPosition;
  readonly takenAt: Milliseconds;
}

/**
 * Samples the logs of primaries for reads that must not reach them.
 *
 * Load pattern: every request of a group comes from an organisation whose allowed regions leave out the
 * primary. No reply of the primary then shows how far its log is, and no replica could serve a read that
 * allows a stated age. The host of the primary asks it for its status, which carries no statement.
 */
export class PrimarySampler {
  private readonly nextRequestAt = new Map<GroupId, Milliseconds>();

  /** The newest or coming sample of each primary that this instance hosts. */
  private readonly taken = new Map<MemberId, Promise<TakenSample | undefined>>();

  constructor(private readonly services: PrimarySamplerServices) {
    services.hub.handle('primary.sample', async ({ member }) => {
      const sample = await this.takeSample(toBrand<MemberId>(member));
      if (sample === undefined) return { kind: 'failed' };
      const { term, position } = sample.logPosition;
      const ageMs = services.clock.now() - sample.takenAt;
      return { kind: 'primary.sampled', mark: { term, position }, ageMs };
    });
  }

  /**
   * Requests a sample of a group's primary from its host, unless there is a recent one. The tracker of
   * primaries receives it.
   *
   * @param group - the group
   */
  request(group: GroupId): void {
    const now = this.services.clock.now();
    if (now < (this.nextRequestAt.get(group) ?? 0)) return;
    const { memberRegistry } = this.services;
    const { primaryTracker, hosts } = memberRegistry;
    const member = primaryTracker.find(group);
    const entry = member === undefined ? undefined : memberRegistry.findEntry(member);
    if (entry === undefined) return;
    this.nextRequestAt.set(group, toMilliseconds(now + SAMPLE_INTERVAL_MS));
    const newest = primaryTracker.listSamples().find((sample) => sample.group === group);
    if (newest !== undefined && now - newest.takenAt < SAMPLE_INTERVAL_MS) return;
    void this.requestFrom(hosts.findHost(entry), entry, now);
  }

  private async requestFrom(
    host: InstanceId,
    { id: member, group }: MemberEntry,
    sentAt: Milliseconds,
  ): Promise<void> {
    const { self, hub, memberRegistry } = this.services;
    const { primaryTracker } = memberRegistry;
    if (host === self) {
      const sample = await this.takeSample(member);
      if (sample !== undefined) primaryTracker.addSample({ group, member, ...sample });
      return;
    }
    const body = { kind: 'primary.sample' as const, member };
    const response = await hub.request(host, body, REQUEST_TIMEOUT_MS);
    if (response?.kind !== 'primary.sampled') return;
    const { mark, ageMs } = response;
    const logPosition = {
      term: toBrand<Term>(mark.term),
      position: toBrand<LogPosition>(mark.position),
    };
    // The time on the way makes the sample look older than it is, never newer.
    const takenAt = toMilliseconds(sentAt - ageMs);
    primaryTracker.addSample({ group, member, logPosition, takenAt });
  }

  /** Asks a primary for its log position, or returns a sample that is recent enough. */
  private async takeSample(member: MemberId): Promise<TakenSample | undefined> {
    const { clock, memberRegistry } = this.services;
    const entry = memberRegistry.findEntry(member);
    if (entry === undefined || !memberRegistry.isPrimary(member)) return undefined;
    const pending = this.taken.get(member);
    const known = await pending;
    if (known !== undefined && clock.now() - known.takenAt < MAX_SHARED_AGE_MS) return known;
    // Another request has begun to take one while this one waited.
    if (this.taken.get(member) !== pending) return this.taken.get(member);
    for (const other of this.taken.keys()) {
      if (memberRegistry.findEntry(other) === undefined) this.taken.delete(other);
    }
    const sample = this.readPosition(entry);
    this.taken.set(member, sample);
    return sample;
  }

  private async readPosition(entry: MemberEntry): Promise<TakenSample | undefined> {
    const takenAt = this.services.clock.now();
    const status = await this.services.control.sendCommand(entry, { kind: 'status' });
    if (status?.role !== 'primary') return undefined;
    return { logPosition: status.received, takenAt };
  }
}
