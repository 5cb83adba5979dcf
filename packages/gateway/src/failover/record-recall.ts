import {
  toBrand,
  type InstanceId,
  type Milliseconds,
  toMilliseconds,
  type Clock,
} from '@heatherledge/core';
import type { PeerBodyOf, PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import { encodePrimaryRecord, formatPrimaryKey, SETTINGS_COPY_KEY } from '../fleet/records.js';
import type { PrimaryTracker } from '../members/primary-tracker.js';
import type { StoreEra } from '../ports/control-store.js';
import { type CoordinatorLease, LEASE_TTL_MS } from './coordinator-lease.js';
import { requestUntil } from './request-until.js';

/** Far longer than a round trip between regions, which takes 24 ms. */
const RECALL_TIMEOUT_MS = 300;

/** A key of the store with a value that it held. */
interface StoredValue {
  readonly key: string;
  readonly value: Buffer;
}

/** What the other instances know. */
export interface RecalledRecords {
  /** Records that are newer than those of this instance. */
  readonly records: readonly StoredValue[];
  /** Instances that responded. */
  readonly responded: readonly InstanceId[];
  /**
   * When no instance acts on a lease of an earlier era any more; known once all instances have
   * responded, or cannot hold a lease any more.
   */
  readonly leasesVoidAt: Promise<Milliseconds>;
}

/** Services needed to ask the other instances. */
export interface RecallServices {
  readonly self: InstanceId;
  readonly hub: PeerHub;
  readonly view: FleetView;
  readonly lease: CoordinatorLease;
  readonly primaryTracker: PrimaryTracker;
  readonly clock: Clock;
}

/** Exchanges what instances know of settings and primaries, after the store has lost records. */
export class RecordRecall {
  constructor(private readonly services: RecallServices) {
    services.hub.handle('records.recall', (request) => this.respond(request));
  }

  /**
   * Asks all other instances for records that are newer than those of this instance, and voids their
   * leases of earlier eras.
   *
   * @param era - the store's era
   * @returns what the instances responded in time
   */
  async recall(era: StoreEra): Promise<RecalledRecords> {
    const { self, hub, view, lease, clock } = this.services;
    const request = {
      kind: 'records.recall' as const,
      era,
      settingsVersion: view.settings?.version,
      epochs: [...view.primaries].map(([group, { value }]): [string, number] => [
        group,
        value.epoch,
      ]),
    };
    const others = [...view.instances.keys()].filter((id) => id !== self);
    const responses = await Promise.all(
      others.map(async (id) => ({
        id,
        response: await hub.request(id, request, RECALL_TIMEOUT_MS),
      })),
    );
    const records = this.listAnnouncedChanges().map(({ key, value }) => ({ key, value }));
    const responded: InstanceId[] = [];
    const silent: InstanceId[] = [];
    let waitMs = lease.voidLeasesBefore(era);
    for (const { id, response } of responses) {
      if (response?.kind === 'records.recalled') {
        responded.push(id);
        waitMs = Math.max(waitMs, response.leaseMs);
        for (const { key, value } of response.records) {
          records.push({ key, value: Buffer.from(value) });
        }
      } else silent.push(id);
    }
    const voidAt = toMilliseconds(clock.now() + waitMs);
    return { records, responded, leasesVoidAt: this.findVoidTime(request, silent, voidAt) };
  }

  /** Waits until the instances that did not respond have, or cannot hold a lease any more. */
  private async findVoidTime(
    request: PeerBodyOf<'records.recall'>,
    silent: readonly InstanceId[],
    voidAt: Milliseconds,
  ): Promise<Milliseconds> {
    const { hub, clock } = this.services;
    const until = toMilliseconds(clock.now() + LEASE_TTL_MS);
    const times = await Promise.all(
      silent.map(async (id) => {
        const response = await requestUntil(hub, clock, id, request, 'records.recalled', until);
        return response === undefined ? until : toMilliseconds(clock.now() + response.leaseMs);
      }),
    );
    return toMilliseconds(Math.max(voidAt, ...times));
  }

  private respond(request: PeerBodyOf<'records.recall'>): PeerBodyOf<'records.recalled'> {
    const { view, lease } = this.services;
    const leaseMs = lease.voidLeasesBefore(toBrand<StoreEra>(request.era));
    const epochs = new Map(request.epochs);
    const records: StoredValue[] = [...view.primaries]
      .filter(([group, { value }]) => value.epoch > (epochs.get(group) ?? 0))
      .map(([group, { value }]) => ({
        key: formatPrimaryKey(group),
        value: encodePrimaryRecord(group, value),
      }));
    records.push(...this.listAnnouncedChanges());
    const { settings, settingsValue } = view;
    if (settings !== undefined && settings.version > (request.settingsVersion ?? -1)) {
      if (settingsValue !== undefined) {
        records.push({ key: SETTINGS_COPY_KEY, value: settingsValue });
      }
    }
    return { kind: 'records.recalled', records, leaseMs };
  }

  /**
   * Lists changes of primaries that this instance was told of and whose records it has not seen, as the
   * records that the coordinator must have written before.
   */
  private listAnnouncedChanges(): StoredValue[] {
    const { view, primaryTracker } = this.services;
    return [...view.primaries].flatMap(([group, { value }]) => {
      const epoch = primaryTracker.findSuspendedEpoch(group);
      if (epoch <= value.epoch) return [];
      const { member, previous, holders, endpoints } = value;
      const record = { epoch, previous: member ?? previous, holders, endpoints };
      return [{ key: formatPrimaryKey(group), value: encodePrimaryRecord(group, record) }];
    });
  }
}
