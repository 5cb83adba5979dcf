/** Everything that callers' sessions need of the rest of the instance. */
import type {
  Clock,
  FailureDomainId,
  GroupId,
  PositionCodec,
  RoutingWeights,
  SettingsIndex,
} from '@heatherledge/core';
import type { GroupDirectory } from '../groups/group-directory.js';
import type { PrimaryPosition } from '../groups/primary-position.js';
import type { LimitsTask } from '../limits/limits-task.js';
import type { StatementClassifier } from '../sql/classify.js';
import type { PoolsTask } from '../upstreams/pools-task.js';

/** Names of the counters that sessions raise. */
export type ServingEvent =
  'read-replica' | 'read-primary' | 'write' | 'retry' | 'look-up' | 'stale-retry';

/** Everything that callers' sessions need of the rest of the instance. */
export interface ServingContext {
  readonly clock: Clock;
  readonly failureDomain: FailureDomainId;
  readonly classifier: StatementClassifier;
  readonly codec: PositionCodec;
  readonly directory: GroupDirectory;
  readonly pools: PoolsTask;
  readonly limits: LimitsTask;
  readonly weights: RoutingWeights;
  /** Time in which a request must be done, in milliseconds. */
  readonly deadlineMs: number;
  settings(): SettingsIndex;
  allowsKeys(): boolean;
  useGroup(group: GroupId): void;
  positionOf(group: GroupId): PrimaryPosition;
  count(event: ServingEvent): void;
  countError(name: string): void;
  /** @param ms - time from a request to the end of its answer, in milliseconds */
  observeRequest(ms: number): void;
}
