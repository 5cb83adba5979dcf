import {
  type Clock,
  type GroupId,
  type OrganisationId,
  type SessionPosition,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PoolsTask } from '../upstreams/pools-task.js';
import type { GroupDirectory, PrimaryRecord } from './group-directory.js';
import { PrimaryPositionTracker } from './primary-position-tracker.js';

/** Maximum wait of the primary for the confirmation by a majority. */
const CONFIRMATION_TIMEOUT_MS = 1000;
/** Maximum wait for the primary to become known, for a connection and for its response, each. */
const RESPONSE_TIMEOUT_MS = 1500;
/** Queue of the instance's own requests to members; settings cannot name such an organisation. */
export const INTERNAL_ORGANISATION = toBrand<OrganisationId>('internal:heatherledge');

/** Position trackers of all groups in use, created on first use. */
export class PositionRegistry {
  private readonly trackers = new Map<GroupId, PrimaryPositionTracker>();

  constructor(
    private readonly clock: Clock,
    private readonly directory: GroupDirectory,
    private readonly pools: PoolsTask,
  ) {}

  /**
   * @param group - a group
   * @returns tracker of its primary's positions
   */
  getOrCreate(group: GroupId): PrimaryPositionTracker {
    let tracker = this.trackers.get(group);
    if (tracker === undefined) {
      tracker = new PrimaryPositionTracker(group, this.clock, async () =>
        this.requestPosition(group),
      );
      this.trackers.set(group, tracker);
    }
    return tracker;
  }

  private async requestPosition(group: GroupId): Promise<SessionPosition | undefined> {
    const primary = await this.directory.waitForPrimary(group, RESPONSE_TIMEOUT_MS);
    if (primary === undefined) return undefined;
    try {
      return await this.requestFromPrimary(group, primary);
    } catch {
      this.directory.suspectPrimary(group, primary);
      return undefined;
    }
  }

  private async requestFromPrimary(
    group: GroupId,
    primary: PrimaryRecord,
  ): Promise<SessionPosition | undefined> {
    const pool = this.pools.findPool(group, primary.member);
    if (pool === undefined) return undefined;
    const deadline = toMilliseconds(this.clock.now() + RESPONSE_TIMEOUT_MS);
    const connection = await pool.acquire({
      organisation: INTERNAL_ORGANISATION,
      weight: 1,
      deadline,
    });
    try {
      const call = `heatherledge.confirm(${CONFIRMATION_TIMEOUT_MS})`;
      const position = await connection.callFunction<SessionPosition>(call, RESPONSE_TIMEOUT_MS);
      pool.release(connection);
      return position;
    } catch (error) {
      pool.discard(connection);
      throw error;
    }
  }
}
