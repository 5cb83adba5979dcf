/** Runs reads outside of transactions: at a replica that is fresh enough, or at the primary. */
import {
  chooseReadRoutes,
  type Milliseconds,
  primaryUnavailable,
  ProxyError,
  type ReadRoute,
  type SessionPosition,
  toMilliseconds,
  transactionLost,
} from '@heatherledge/core';
import type { TransactionStatus } from '@heatherledge/wire';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { AnswerWriter, type CallerOutput } from './answer-writer.js';
import type { CallerState } from './caller-state.js';
import type { ConnectionLease } from './lease.js';
import type { LeaseSource } from './lease-source.js';
import { createUpstreamRequest, type RequestUnit, type UpstreamRequest } from './request-unit.js';
import type { ServingContext } from './serving-context.js';

/** What an attempt at one member came to. */
type Attempt = 'done' | 'try-next';

/** Longest wait for a connection at one member while there are others to try. */
const MEMBER_WAIT_MS = 200;
/** Longest wait for the primary to confirm what a read has seen. */
const CONFIRM_MS = 1000;
/** Time beyond a member's own wait after which its connection is taken for silent. */
const ANSWER_MARGIN_MS = 300;

/** A request for a connection, and what takes its answer. */
interface PreparedWriter {
  readonly sink: AnswerWriter;
  readonly request: UpstreamRequest;
}

/** Runs one session's reads. */
export class ReadExecutor {
  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
    private readonly leases: LeaseSource,
    private readonly output: CallerOutput,
  ) {}

  /**
   * Runs a read and writes its whole answer except ReadyForQuery.
   *
   * @param unit - the request
   * @throws ProxyError if it could not be run, or its answer could not be finished
   */
  async run(unit: RequestUnit): Promise<void> {
    const deadline = this.leases.resolveDeadline();
    const needed = await this.resolveNeeded();
    const routes = chooseReadRoutes(
      this.leases.listCandidates().filter(({ isPrimary }) => isPrimary || needed !== undefined),
      needed,
      this.context.weights,
    );
    for (const route of routes) {
      if (route.isPrimary || needed === undefined) break;
      const attempt = await this.tryReplica(unit, route, needed, deadline);
      if (attempt === 'done') return;
    }
    await this.runAtPrimary(unit, deadline);
  }

  /** A session that shows no position needs everything that was acknowledged before now. */
  private async resolveNeeded(): Promise<SessionPosition | undefined> {
    const source = this.context.positionOf(this.state.group);
    const { maxAgeMs, position } = this.state;
    if (maxAgeMs !== undefined) {
      const aged = source.resolveAge(maxAgeMs);
      if (aged !== undefined) return mergeNeeded(aged, position);
    }
    return position ?? source.readIndex();
  }

  private async tryReplica(
    unit: RequestUnit,
    route: ReadRoute,
    needed: SessionPosition,
    deadline: Milliseconds,
  ): Promise<Attempt> {
    const patience = toMilliseconds(Math.min(deadline, this.context.clock.now() + MEMBER_WAIT_MS));
    let lease: ConnectionLease;
    try {
      lease = await this.leases.acquire(route.member, patience);
    } catch {
      return 'try-next';
    }
    return this.runAtReplica(unit, lease, needed, route.waitMs, deadline);
  }

  private async runAtReplica(
    unit: RequestUnit,
    lease: ConnectionLease,
    needed: SessionPosition,
    waitMs: number,
    deadline: Milliseconds,
  ): Promise<Attempt> {
    const writer = this.createWriter(unit, lease);
    try {
      const timeoutMs = this.leftUntil(deadline);
      const { seen, status } = await readAtPosition(lease, writer, needed, waitMs, timeoutMs);
      if (status !== 'idle') lease.discard();
      else lease.release();
      writer.sink.complete();
      this.state.advance(seen);
      this.context.count('read-replica');
      return 'done';
    } catch (error) {
      return this.handleFailure(error, lease, writer.sink);
    }
  }

  private async runAtPrimary(unit: RequestUnit, deadline: Milliseconds): Promise<void> {
    while (this.context.clock.now() < deadline) {
      const lease = await this.leases.acquirePrimary(deadline);
      const writer = this.createWriter(unit, lease);
      try {
        const { bytes } = writer.request;
        const left = this.leftUntil(deadline);
        const status = await lease.connection.exchange(bytes, writer.sink, left);
        // What the primary showed may still be lost, or it may have been replaced: ask.
        const seen = await lease.connection.ask<SessionPosition>(
          `heatherledge.confirm(${CONFIRM_MS})`,
          CONFIRM_MS + ANSWER_MARGIN_MS,
        );
        if (status !== 'idle') lease.discard();
        else lease.release();
        writer.sink.complete();
        this.state.advance(seen);
        this.context.count('read-primary');
        return;
      } catch (error) {
        this.leases.doubt(lease.primary);
        this.handleFailure(error, lease, writer.sink);
        this.context.count('retry');
      }
    }
    throw ProxyError.create(primaryUnavailable, undefined);
  }

  private leftUntil(deadline: Milliseconds): number {
    return Math.max(1, deadline - this.context.clock.now());
  }

  private createWriter(unit: RequestUnit, lease: ConnectionLease): PreparedWriter {
    const prepared = lease.connection.preparedNames;
    const request = createUpstreamRequest(unit, this.state.statements, prepared);
    return { request, sink: new AnswerWriter(this.output, request, false) };
  }

  /** A read may be run again elsewhere as long as the caller has seen nothing of its answer. */
  private handleFailure(error: unknown, lease: ConnectionLease, sink: AnswerWriter): Attempt {
    const isExpected = error instanceof ConnectionLost || error instanceof UpstreamFailure;
    if (error instanceof UpstreamFailure && lease.connection.isUsable) lease.release();
    else lease.discard();
    if (!isExpected) throw error;
    if (sink.hasForwarded) {
      sink.abandon();
      throw ProxyError.create(transactionLost, { reason: 'the connection was lost while reading' });
    }
    this.context.count('stale-retry');
    return 'try-next';
  }
}

/** What a replica's read came to. */
interface PositionedRead {
  readonly seen: SessionPosition;
  readonly status: TransactionStatus;
}

/**
 * Sends the question for the position and the read together, which saves a round trip. The answer
 * passes only once the replica has said that it includes the position.
 */
async function readAtPosition(
  lease: ConnectionLease,
  { sink, request }: PreparedWriter,
  needed: SessionPosition,
  waitMs: number,
  timeoutMs: number,
): Promise<PositionedRead> {
  const { connection } = lease;
  const call = `heatherledge.await(${needed.term}, ${needed.position}, ${waitMs})`;
  sink.closeGate();
  const positioned = connection.ask<SessionPosition>(call, waitMs + ANSWER_MARGIN_MS).then(
    (seen) => {
      sink.openGate();
      return seen;
    },
    (error: unknown) => {
      sink.abandon();
      throw error;
    },
  );
  const answered = connection.exchange(request.bytes, sink, timeoutMs);
  const [position, answer] = await Promise.allSettled([positioned, answered]);
  if (position.status === 'rejected') throw position.reason;
  if (answer.status === 'rejected') throw answer.reason;
  return { seen: position.value, status: answer.value };
}

function mergeNeeded(aged: SessionPosition, own: SessionPosition | undefined): SessionPosition {
  if (own === undefined) return aged;
  return own.term > aged.term || own.position > aged.position ? own : aged;
}
