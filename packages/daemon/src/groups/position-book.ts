/** Confirmed positions of the primaries of all groups in use. */
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
import { PrimaryPosition } from './primary-position.js';

/** Longest wait of the primary for a majority, in milliseconds. */
const CONFIRM_MS = 1000;
/** Longest wait for an answer in all, in milliseconds. */
const ANSWER_MS = 1500;
/** Organisation in whose name the instance itself asks members. */
const OWN_ORGANISATION = toBrand<OrganisationId>('heatherledge');

/** One source of positions for each group. */
export class PositionBook {
  private readonly positions = new Map<GroupId, PrimaryPosition>();

  constructor(
    private readonly clock: Clock,
    private readonly directory: GroupDirectory,
    private readonly pools: PoolsTask,
  ) {}

  /**
   * @param group - a group
   * @returns positions of its primary
   */
  find(group: GroupId): PrimaryPosition {
    let position = this.positions.get(group);
    if (position === undefined) {
      position = new PrimaryPosition(group, this.clock, async () => this.ask(group));
      this.positions.set(group, position);
    }
    return position;
  }

  private async ask(group: GroupId): Promise<SessionPosition | undefined> {
    const primary = await this.directory.waitForPrimary(group, ANSWER_MS);
    if (primary === undefined) return undefined;
    try {
      return await this.askPrimary(group, primary);
    } catch {
      this.directory.doubtPrimary(group, primary);
      return undefined;
    }
  }

  private async askPrimary(
    group: GroupId,
    primary: PrimaryRecord,
  ): Promise<SessionPosition | undefined> {
    const pool = this.pools.find(group, primary.member);
    if (pool === undefined) return undefined;
    const deadline = toMilliseconds(this.clock.now() + ANSWER_MS);
    const connection = await pool.acquire({ organisation: OWN_ORGANISATION, weight: 1, deadline });
    try {
      const call = `heatherledge.confirm(${CONFIRM_MS})`;
      const position = await connection.ask<SessionPosition>(call, ANSWER_MS);
      pool.release(connection);
      return position;
    } catch (error) {
      pool.discard(connection);
      throw error;
    }
  }
}
