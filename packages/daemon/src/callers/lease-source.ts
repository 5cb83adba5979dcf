import {
  type MemberId,
  type Milliseconds,
  primaryUnavailable,
  ProxyError,
  resolveLatency,
  type ReadCandidate,
  toMilliseconds,
} from '@heatherledge/core';
import type { PrimaryRecord } from '../groups/group-directory.js';
import { ConnectionLost } from '../upstreams/upstream-connection.js';
import type { CallerState } from './caller-state.js';
import { ConnectionLease } from './connection-lease.js';
import type { ServingContext } from './serving-context.js';

/** Delay before the primary is tried again, which leaves time to replace a failed one. */
const PRIMARY_RETRY_DELAY_MS = 20;

/** Acquires connections to members of a session's group. */
export class LeaseSource {
  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
  ) {}

  /**
   * Acquires a connection to the primary, waiting while the primary is being replaced.
   *
   * @param deadline - time until which to wait
   * @returns the connection
   * @throws ProxyError if there is none before the deadline; no statement has been run
   */
  async acquirePrimary(deadline: Milliseconds): Promise<ConnectionLease> {
    const { directory, clock } = this.context;
    for (;;) {
      const remainingMs = deadline - clock.now();
      const primary =
        remainingMs > 0 ? await directory.waitForPrimary(this.state.group, remainingMs) : undefined;
      if (primary === undefined) throw ProxyError.create(primaryUnavailable, undefined);
      try {
        return await this.acquire(primary.member, deadline, primary);
      } catch (error) {
        if (!(error instanceof ConnectionLost)) throw error;
        this.suspectPrimary(primary);
        await new Promise((resolve) => {
          setTimeout(resolve, PRIMARY_RETRY_DELAY_MS);
        });
      }
    }
  }

  /**
   * Acquires a connection to a member.
   *
   * @param member - the member
   * @param deadline - time until which to wait
   * @param primary - record of the primary if the member is used as primary
   * @returns the connection, with the session's parameters applied
   * @throws ProxyError if no connection becomes free in time
   * @throws ConnectionLost if the member cannot be reached
   */
  async acquire(
    member: MemberId,
    deadline: Milliseconds,
    primary?: PrimaryRecord,
  ): Promise<ConnectionLease> {
    const { organisation, group } = this.state;
    const pool = this.context.pools.findPool(group, member);
    if (pool === undefined) throw new ConnectionLost('no such member');
    const weight = this.context.settings().organisations.get(organisation)?.weight ?? 1;
    const connection = await pool.acquire({ organisation, weight, deadline });
    const lease = new ConnectionLease(connection, pool, primary);
    try {
      await lease.applyParameters(this.state.parameterSql);
      return lease;
    } catch (error) {
      lease.discard();
      throw error;
    }
  }

  /**
   * Reports a suspicion that a primary is down or has been replaced.
   *
   * @param primary - record of a primary that refused a request or could not be reached
   */
  suspectPrimary(primary: PrimaryRecord | undefined): void {
    if (primary !== undefined) this.context.directory.suspectPrimary(this.state.group, primary);
  }

  /**
   * @returns members that may serve a read, with their latency, load, position and estimated lag
   */
  listCandidates(): ReadCandidate[] {
    const { settings, directory, pools, failureDomain } = this.context;
    const { group } = this.state;
    const { places } = settings();
    const record = settings().groups.get(group);
    const primary = directory.findPrimary(group);
    const view = directory.findView(group);
    const primaryLogPosition = view?.members.find(
      ({ member }) => member === primary?.member,
    )?.position;
    return (record?.members ?? [])
      .filter((member) => !member.leaving || member.id === primary?.member)
      .filter((member) => view === undefined || view.reachable.includes(member.id))
      .map((member) => {
        const status = directory.findObservation(group, member.id)?.status;
        return {
          member: member.id,
          isPrimary: member.id === primary?.member,
          latencyMs: resolveLatency(places, failureDomain, member.failureDomain),
          load: pools.findPool(group, member.id)?.load ?? 0,
          connections: pools.computePermits(group, member.id),
          applied: status && { term: status.term, position: status.applied },
          lagMs: estimateLag(status?.applied, primaryLogPosition),
        };
      });
  }

  /** @returns deadline of a request that starts now */
  computeDeadline(): Milliseconds {
    return toMilliseconds(this.context.clock.now() + this.context.deadlineMs);
  }
}

/** Estimated time that a replica needs to apply one missing log entry, in milliseconds. */
const ESTIMATED_LAG_PER_ENTRY_MS = 2;

function estimateLag(
  appliedPosition: number | undefined,
  primaryLogPosition: number | undefined,
): number {
  if (appliedPosition === undefined || primaryLogPosition === undefined) return 0;
  return Math.max(0, primaryLogPosition - appliedPosition) * ESTIMATED_LAG_PER_ENTRY_MS;
}
