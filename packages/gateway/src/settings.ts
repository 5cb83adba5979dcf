import type { InstanceId, Milliseconds, RateTolerance } from '@heatherledge/core';

/** Settings of one instance, read when its process starts; times in milliseconds. */
export interface GatewaySettings {
  readonly instance: InstanceId;
  readonly host: string;
  readonly failureDomain: string;
  /** Region of each failure domain. */
  readonly regionByDomain: ReadonlyMap<string, string>;
  /** Processor capacity of the instance, in cores. */
  readonly cores: number;
  readonly peerPort: number;
  readonly metricsPort: number;
  /** Time from the stop signal until the process is killed. */
  readonly stopTimeoutMs: Milliseconds;
  /** Maximum time for which a withdrawn key is still accepted. */
  readonly maxKeyRevocationDelayMs: Milliseconds;
  /** How far an organisation may exceed its rate. */
  readonly rateTolerance: RateTolerance;
  /**
   * Time after the acknowledgement of an evacuation within which requests to the members of the failure
   * domain must stop; undefined if the deployment has no such bound.
   */
  readonly maxEvacuationDelayMs?: Milliseconds | undefined;
  /** Tolerated excess over the pace of members that have just started; undefined without a bound. */
  readonly warmupTolerance?: WarmupTolerance | undefined;
  /** How the concurrency limits of members are found; `fixed` without it. */
  readonly memberPace?: MemberPaceMode | undefined;
}

/**
 * How many statements may run at a member at once: its slots and one more, or what is found from how it
 * answers, up to that.
 */
export type MemberPaceMode = 'fixed' | 'adaptive';

/** How far a member that has just started may get more requests than its pace in one second. */
export interface WarmupTolerance {
  /** Factor on the pace. */
  readonly overshoot: number;
  /** Requests tolerated in addition. */
  readonly slack: number;
}
