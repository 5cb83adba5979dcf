/** What the proxy asks of the platform's key-value service. */
import type { InstanceRecord } from '@heatherledge/core';

/** A key with its value and the revision that last changed it. */
export interface PlatformKey {
  readonly key: string;
  readonly value: string;
  readonly modRevision: number;
}

/** A condition: the key was last changed at this revision; 0 means that it does not exist. */
export interface PlatformCompare {
  readonly key: string;
  readonly modRevision: number;
}

/** A change of a key; undefined deletes it. */
export interface PlatformWrite {
  readonly key: string;
  readonly value: string | undefined;
}

/** Keys as of a revision of the whole store. */
export interface PlatformRange {
  readonly revision: number;
  readonly keys: readonly PlatformKey[];
}

/** What a transaction came to. */
export interface PlatformOutcome {
  readonly succeeded: boolean;
  readonly revision: number;
}

/** Changes made at one revision. */
export interface PlatformEvents {
  readonly revision: number;
  readonly writes: readonly PlatformWrite[];
}

/** What a call is for; calls are counted by purpose. */
export type PlatformPurpose = 'settings' | 'freshness' | 'slots' | 'list' | 'audit';

/** The platform did not answer; a write may or may not have taken effect. */
export class PlatformSilent extends Error {
  constructor(reason: string) {
    super(reason);
    this.name = 'PlatformSilent';
  }
}

/** The platform's key-value service and its list of instances. */
export interface PlatformPort {
  /**
   * @param prefix - first part of the keys, or a whole key
   * @param exact - whether `prefix` is a whole key
   * @param purpose - what the call is for
   * @throws PlatformSilent if no answer came in time
   */
  range(prefix: string, exact: boolean, purpose: PlatformPurpose): Promise<PlatformRange>;
  /**
   * @param compares - conditions that must hold
   * @param writes - changes made together if they do
   * @param purpose - what the call is for
   * @throws PlatformSilent if no answer came in time
   */
  transact(
    compares: readonly PlatformCompare[],
    writes: readonly PlatformWrite[],
    purpose: PlatformPurpose,
  ): Promise<PlatformOutcome>;
  /**
   * Watches keys until the watch breaks.
   *
   * @param prefix - first part of the keys
   * @param fromRevision - first revision wanted
   * @param onEvents - called for each revision, in order
   * @param signal - ends the watch
   * @returns when the watch has ended, for whatever reason
   */
  watch(
    prefix: string,
    fromRevision: number,
    onEvents: (events: PlatformEvents) => void,
    signal: AbortSignal,
  ): Promise<void>;
  /**
   * @returns the platform's lagging list of instances
   * @throws PlatformSilent if no answer came in time
   */
  listInstances(): Promise<readonly InstanceRecord[]>;
}
