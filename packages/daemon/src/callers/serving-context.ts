import type {
  Clock,
  FailureDomainId,
  GroupId,
  PositionCodec,
  ReadCostWeights,
  SettingsIndex,
} from '@heatherledge/core';
import type { GroupDirectory } from '../groups/group-directory.js';
import type { PrimaryPositionTracker } from '../groups/primary-position-tracker.js';
import type { LimitsTask } from '../limits/limits-task.js';
import type { StatementClassifier } from '../sql/statement-classifier.js';
import type { PoolsTask } from '../upstreams/pools-task.js';

/** Counted events of sessions; the value is the `event` label of the metric. */
export type ServingEvent =
  'read-replica' | 'read-primary' | 'write' | 'retry' | 'look-up' | 'stale-retry';

/** Services and settings of the instance that callers' sessions use. */
export interface ServingContext {
  readonly clock: Clock;
  readonly failureDomain: FailureDomainId;
  readonly classifier: StatementClassifier;
  readonly codec: PositionCodec;
  readonly directory: GroupDirectory;
  readonly pools: PoolsTask;
  readonly limits: LimitsTask;
  readonly weights: ReadCostWeights;
  /** Maximum duration of a request, in milliseconds. */
  readonly deadlineMs: number;
  /** @returns the settings currently in force */
  settings(): SettingsIndex;
  /** @returns whether the settings are recent enough to accept API keys */
  allowsKeys(): boolean;
  /** Starts tracking a group and keeping connections to its members. */
  useGroup(group: GroupId): void;
  /** @returns the tracker of confirmed log positions of the group's primary */
  getPositionTracker(group: GroupId): PrimaryPositionTracker;
  countEvent(event: ServingEvent): void;
  /** @param name - name of the error in the catalogue, or `Upstream` */
  countError(name: string): void;
  /** @param ms - time from the start of a request to the end of its response, in milliseconds */
  recordRequestDuration(ms: number): void;
}
