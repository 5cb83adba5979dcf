import {
  chooseReadTargets,
  type Milliseconds,
  primaryUnavailable,
  ProxyError,
  type ReadTarget,
  type SessionPosition,
  toMilliseconds,
  transactionLost,
} from '@heatherledge/core';
import type { TransactionStatus } from '@heatherledge/wire';
import { ConnectionLost, UpstreamFailure } from '../upstreams/upstream-connection.js';
import { ResponseWriter, type CallerOutput } from './response-writer.js';
import type { CallerState } from './caller-state.js';
import type { ConnectionLease } from './connection-lease.js';
import type { LeaseSource } from './lease-source.js';
import type { CallerRequest } from './caller-request.js';
import { createUpstreamRequest, type UpstreamRequest } from './request-rewriter.js';
import type { ServingContext } from './serving-context.js';

/** Result of running a read at one member. */
type ReadAttemptResult = 'done' | 'try-next';

/** Maximum wait for a connection to one replica while there are other members to try. */
const REPLICA_CONNECTION_TIMEOUT_MS = 200;
/** Maximum wait for the primary to confirm the data that a read has returned. */
const CONFIRMATION_TIMEOUT_MS = 1000;
/** Time added to a member's own wait before its connection is considered unresponsive. */
const RESPONSE_TIMEOUT_MARGIN_MS = 300;

/** A request rewritten for a connection, and the sink of its response. */
interface PreparedRequest {
  readonly sink: ResponseWriter;
  readonly request: UpstreamRequest;
}

/**
 * Runs a session's reads outside of transactions, at a replica whose data are recent enough or at the
 * primary.
 */
export class ReadExecutor {
  constructor(
    private readonly context: ServingContext,
    private readonly state: CallerState,
    private readonly leases: LeaseSource,
    private readonly output: CallerOutput,
  ) {}

  /**
   * Runs a read and writes its response except ReadyForQuery.
   *
   * @param request - the request
   * @throws ProxyError if the read could not be run or its response could not be completed
   */
  async run(request: CallerRequest): Promise<void> {
    const deadline = this.leases.computeDeadline();
    const requiredPosition = await this.resolveRequiredPosition();
    const targets = chooseReadTargets(
      this.leases
        .listCandidates()
        .filter(({ isPrimary }) => isPrimary || requiredPosition !== undefined),
      requiredPosition,
      this.context.weights,
    );
    for (const target of targets) {
      if (target.isPrimary || requiredPosition === undefined) break;
      const result = await this.tryReplica(request, target, requiredPosition, deadline);
      if (result === 'done') return;
    }
    await this.runAtPrimary(request, deadline);
  }

  /**
   * Returns the log position that the read must include. A session without a position requires every
   * write that was acknowledged before now.
   */
  private async resolveRequiredPosition(): Promise<SessionPosition | undefined> {
    const tracker = this.context.getPositionTracker(this.state.group);
    const { maxAgeMs, position } = this.state;
    if (maxAgeMs !== undefined) {
      const agePosition = tracker.findPositionForAge(maxAgeMs);
      if (agePosition !== undefined) return mergeRequiredPositions(agePosition, position);
    }
    return position ?? tracker.readIndex();
  }

  private async tryReplica(
    request: CallerRequest,
    target: ReadTarget,
    requiredPosition: SessionPosition,
    deadline: Milliseconds,
  ): Promise<ReadAttemptResult> {
    const connectionDeadline = toMilliseconds(
      Math.min(deadline, this.context.clock.now() + REPLICA_CONNECTION_TIMEOUT_MS),
    );
    let lease: ConnectionLease;
    try {
      lease = await this.leases.acquire(target.member, connectionDeadline);
    } catch {
      return 'try-next';
    }
    return this.runAtReplica(request, lease, requiredPosition, target.waitMs, deadline);
  }

  private async runAtReplica(
    request: CallerRequest,
    lease: ConnectionLease,
    requiredPosition: SessionPosition,
    waitMs: number,
    deadline: Milliseconds,
  ): Promise<ReadAttemptResult> {
    const prepared = this.prepareRequest(request, lease);
    try {
      const timeoutMs = this.computeRemainingMs(deadline);
      const { position, status } = await readAtPosition(
        lease,
        prepared,
        requiredPosition,
        waitMs,
        timeoutMs,
      );
      if (status !== 'idle') lease.discard();
      else lease.release();
      prepared.sink.complete();
      this.state.advancePosition(position);
      this.context.countEvent('read-replica');
      return 'done';
    } catch (error) {
      return this.handleFailure(error, lease, prepared.sink);
    }
  }

  private async runAtPrimary(request: CallerRequest, deadline: Milliseconds): Promise<void> {
    while (this.context.clock.now() < deadline) {
      const lease = await this.leases.acquirePrimary(deadline);
      const prepared = this.prepareRequest(request, lease);
      try {
        const { bytes } = prepared.request;
        const remainingMs = this.computeRemainingMs(deadline);
        const status = await lease.connection.exchange(bytes, prepared.sink, remainingMs);
        // The data may not have reached a majority yet, or the primary may have been replaced. The
        // confirmation rules out both.
        const position = await lease.connection.callFunction<SessionPosition>(
          `heatherledge.confirm(${CONFIRMATION_TIMEOUT_MS})`,
          CONFIRMATION_TIMEOUT_MS + RESPONSE_TIMEOUT_MARGIN_MS,
        );
        if (status !== 'idle') lease.discard();
        else lease.release();
        prepared.sink.complete();
        this.state.advancePosition(position);
        this.context.countEvent('read-primary');
        return;
      } catch (error) {
        this.leases.suspectPrimary(lease.primary);
        this.handleFailure(error, lease, prepared.sink);
        this.context.countEvent('retry');
      }
    }
    throw ProxyError.create(primaryUnavailable, undefined);
  }

  private computeRemainingMs(deadline: Milliseconds): number {
    return Math.max(1, deadline - this.context.clock.now());
  }

  private prepareRequest(callerRequest: CallerRequest, lease: ConnectionLease): PreparedRequest {
    const request = createUpstreamRequest(callerRequest, lease.connection);
    return { request, sink: new ResponseWriter(this.output, request, false) };
  }

  /** A read can be run again at another member while nothing of its response has been forwarded. */
  private handleFailure(
    error: unknown,
    lease: ConnectionLease,
    sink: ResponseWriter,
  ): ReadAttemptResult {
    const isExpected = error instanceof ConnectionLost || error instanceof UpstreamFailure;
    if (error instanceof UpstreamFailure && lease.connection.isUsable) lease.release();
    else lease.discard();
    if (!isExpected) throw error;
    if (sink.hasForwarded) {
      sink.discardAll();
      throw ProxyError.create(transactionLost, { reason: 'the connection was lost while reading' });
    }
    this.context.countEvent('stale-retry');
    return 'try-next';
  }
}

/** Result of a read at a replica. */
interface PositionedRead {
  /** Position that the replica reported before it ran the read. */
  readonly position: SessionPosition;
  readonly status: TransactionStatus;
}

/**
 * Sends the wait for the position and the read together, which saves a round trip. The response is
 * forwarded only after the replica has confirmed that its data include the position.
 */
async function readAtPosition(
  lease: ConnectionLease,
  { sink, request }: PreparedRequest,
  requiredPosition: SessionPosition,
  waitMs: number,
  timeoutMs: number,
): Promise<PositionedRead> {
  const { connection } = lease;
  const awaitCall = `heatherledge.await(${requiredPosition.term}, ${requiredPosition.position}, ${waitMs})`;
  sink.blockForwarding();
  const positionCheck = connection
    .callFunction<SessionPosition>(awaitCall, waitMs + RESPONSE_TIMEOUT_MARGIN_MS)
    .then(
      (position) => {
        sink.unblockForwarding();
        return position;
      },
      (error: unknown) => {
        sink.discardAll();
        throw error;
      },
    );
  const response = connection.exchange(request.bytes, sink, timeoutMs);
  const [positionResult, responseResult] = await Promise.allSettled([positionCheck, response]);
  if (positionResult.status === 'rejected') throw positionResult.reason;
  if (responseResult.status === 'rejected') throw responseResult.reason;
  return { position: positionResult.value, status: responseResult.value };
}

function mergeRequiredPositions(
  agePosition: SessionPosition,
  sessionPosition: SessionPosition | undefined,
): SessionPosition {
  if (sessionPosition === undefined) return agePosition;
  return sessionPosition.term > agePosition.term || sessionPosition.position > agePosition.position
    ? sessionPosition
    : agePosition;
}
