/** Finds connections for a session's requests. */
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
import { ConnectionLease } from './lease.js';
import type { ServingContext } from './serving-context.js';

/** Leaves a doubted primary time to be replaced before it is tried again. */
const RETRY_PAUSE_MS = 20;

/** Acquires connections to members of the session's group. */
export class LeaseSource {
  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
  ) {}

  /**
   * Acquires a connection to the primary, waiting for a change of primary if there is one.
   *
   * @param deadline - longest wait
   * @returns the connection
   * @throws ProxyError if it cannot be had in time; nothing has been run
   */
  async acquirePrimary(deadline: Milliseconds): Promise<ConnectionLease> {
    const { directory, clock } = this.context;
    for (;;) {
      const left = deadline - clock.now();
      const primary = left > 0 ? await directory.waitForPrimary(this.state.group, left) : undefined;
      if (primary === undefined) throw ProxyError.create(primaryUnavailable, undefined);
      try {
        return await this.acquire(primary.member, deadline, primary);
      } catch (error) {
        if (!(error instanceof ConnectionLost)) throw error;
        this.doubt(primary);
        await new Promise((resolve) => {
          setTimeout(resolve, RETRY_PAUSE_MS);
        });
      }
    }
  }

  /**
   * Acquires a connection to a member.
   *
   * @param member - the member
   * @param deadline - longest wait
   * @param primary - set if it is wanted as primary
   * @returns the connection, with the session's parameters
   * @throws ProxyError if none comes free in time
   * @throws ConnectionLost if the member cannot be reached
   */
  async acquire(
    member: MemberId,
    deadline: Milliseconds,
    primary?: PrimaryRecord,
  ): Promise<ConnectionLease> {
    const { organisation, group } = this.state;
    const pool = this.context.pools.find(group, member);
    if (pool === undefined) throw new ConnectionLost('no such member');
    const weight = this.context.settings().organisations.get(organisation)?.weight ?? 1;
    const connection = await pool.acquire({ organisation, weight, deadline });
    const lease = new ConnectionLease(connection, pool, primary);
    try {
      await lease.applyParameters(this.state.parameterText);
      return lease;
    } catch (error) {
      lease.discard();
      throw error;
    }
  }

  /** @param primary - a primary that refused or could not be reached */
  doubt(primary: PrimaryRecord | undefined): void {
    if (primary !== undefined) this.context.directory.doubtPrimary(this.state.group, primary);
  }

  /**
   * @returns members that may serve a read, with what is known of them
   */
  listCandidates(): ReadCandidate[] {
    const { settings, directory, pools, failureDomain } = this.context;
    const { group } = this.state;
    const { places } = settings();
    const record = settings().groups.get(group);
    const primary = directory.findPrimary(group);
    const view = directory.findView(group);
    const head = view?.members.find(({ member }) => member === primary?.member)?.position;
    return (record?.members ?? [])
      .filter((member) => !member.leaving || member.id === primary?.member)
      .filter((member) => view === undefined || view.reachable.includes(member.id))
      .map((member) => {
        const status = directory.findSighting(group, member.id)?.status;
        return {
          member: member.id,
          isPrimary: member.id === primary?.member,
          latencyMs: resolveLatency(places, failureDomain, member.failureDomain),
          load: pools.find(group, member.id)?.load ?? 0,
          connections: pools.resolvePermits(group, member.id),
          applied: status && { term: status.term, position: status.applied },
          lagMs: estimateLag(status?.applied, head),
        };
      });
  }

  /**
   * @returns moment by which the present request must be done
   */
  resolveDeadline(): Milliseconds {
    return toMilliseconds(this.context.clock.now() + this.context.deadlineMs);
  }
}

/** Time that a replica is taken to need for each entry that it lacks, in milliseconds. */
const LAG_PER_ENTRY_MS = 2;

function estimateLag(applied: number | undefined, head: number | undefined): number {
  if (applied === undefined || head === undefined) return 0;
  return Math.max(0, head - applied) * LAG_PER_ENTRY_MS;
}
