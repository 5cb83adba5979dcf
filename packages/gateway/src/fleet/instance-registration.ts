import type { InstanceId } from '@heatherledge/core';
import type { Result } from 'neverthrow';
import type { ControlStore, StoreCommit, StoreError, StoreItem } from '../ports/control-store.js';
import type { FleetView } from './fleet-view.js';
import { encodeRecord, formatInstanceKey, type InstanceRecord } from './records.js';
import { STORE_TIMEOUT_MS } from './store-source.js';

/** Keeps the record of this instance in the store. */
export class InstanceRegistration {
  constructor(
    private readonly self: InstanceId,
    private readonly record: InstanceRecord,
    private readonly store: ControlStore,
    private readonly view: FleetView,
  ) {}

  /** Whether the store lists this instance at its present address. */
  get isRegistered(): boolean {
    const known = this.view.instances.get(this.self)?.value;
    const { host, peerPort, domain } = this.record;
    const isSame = known?.host === host && known.peerPort === peerPort && known.domain === domain;
    return isSame && this.view.isRegistered(this.self);
  }

  /**
   * Writes this instance's record and replaces that of an earlier incarnation at another address.
   *
   * @returns the record as stored
   */
  async register(): Promise<Result<StoreCommit & { readonly item: StoreItem }, StoreError>> {
    const key = formatInstanceKey(this.self);
    const value = encodeRecord(this.record);
    const puts = [{ key, value, lease: undefined }];
    const written = await this.store.commit({ expect: [], puts, removes: [] }, STORE_TIMEOUT_MS);
    return written.map(({ revision, era }) => {
      return { revision, era, item: { key, value, revision, createdRevision: revision } };
    });
  }
}
