import type { Clock, InstanceId } from '@heatherledge/core';
import { MEMBER_HOSTING_FEATURE, type PeerBody, type PeerHub } from '@heatherledge/daemon';
import type { ExchangeResult } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import {
  decodeResult,
  encodeConnectionRequest,
  encodeStatement,
  toExchangeResult,
} from './host-messages.js';
import type { HostDirectory } from './host-directory.js';
import {
  type BeginRequest,
  type BeginResult,
  createRefusal,
  type MemberAccess,
  type MemberTransaction,
  type StatementRequest,
  type StatementResult,
} from './member-access.js';

/** Added to a statement's own timeout for the round trip to the host. */
const HOST_ROUND_TRIP_ALLOWANCE_MS = 60;

/** Three round trips between regions take 72 ms; a host that takes longer is probably gone. */
const LINK_OPEN_TIMEOUT_MS = 200;

/**
 * Runs statements at members that another instance hosts. A statement that may have reached the host
 * and has no result is lost, and never sent again from here.
 */
export class RemoteMemberAccess implements MemberAccess {
  private nextTransaction = 1;

  constructor(
    private readonly host: InstanceId,
    private readonly hub: PeerHub,
    private readonly directory: HostDirectory,
    private readonly memberRegistry: MemberRegistry,
    private readonly metrics: GatewayMetrics,
    private readonly clock: Clock,
  ) {}

  async run(request: StatementRequest): Promise<StatementResult> {
    const body = {
      kind: 'statement.run' as const,
      ...encodeConnectionRequest(request),
      access: request.access,
      ...encodeStatement(request.statement),
    };
    const result = await this.exchange(body, request, request.timeoutMs);
    if (result.kind === 'answered') this.memberRegistry.recordReply(request.member, result);
    return result;
  }

  async begin(request: BeginRequest): Promise<BeginResult> {
    const transaction = this.nextTransaction;
    this.nextTransaction += 1;
    const body = {
      kind: 'transaction.begin' as const,
      transaction,
      ...encodeConnectionRequest(request),
      readOnly: request.readOnly,
    };
    const result = await this.exchange(body, request, request.timeoutMs);
    if (result.kind === 'answered') this.memberRegistry.recordReply(request.member, result);
    if (result.kind === 'answered' && result.reply.error === undefined) {
      return { kind: 'open', transaction: this.createTransaction(transaction, request) };
    }
    // The host may have begun without its response having arrived.
    if (result.kind === 'lost') this.hub.send(this.host, { kind: 'transaction.end', transaction });
    return result;
  }

  private createTransaction(transaction: number, request: BeginRequest): MemberTransaction {
    const { member } = request;
    let isEnded = false;
    const run = async (
      statement: MemberStatement,
      values: ReadonlyMap<string, string>,
      timeoutMs: number,
    ): Promise<ExchangeResult> => {
      if (isEnded) return { kind: 'lost', reason: 'the transaction has ended', wasSent: false };
      const body = {
        kind: 'transaction.run' as const,
        transaction,
        ...encodeStatement(statement),
        values: [...values],
        timeoutMs,
      };
      const result = toExchangeResult(await this.exchange(body, request, timeoutMs));
      if (result.kind === 'answered') this.memberRegistry.recordReply(member, result);
      return result;
    };
    const end = (): void => {
      if (isEnded) return;
      isEnded = true;
      this.hub.send(this.host, { kind: 'transaction.end', transaction });
    };
    return { host: this.host, run, end };
  }

  private async exchange(
    body: PeerBody,
    { member, priority }: Pick<StatementRequest, 'member' | 'priority'>,
    timeoutMs: number,
  ): Promise<StatementResult> {
    const { hub, host, directory, memberRegistry, clock } = this;
    const sentAt = clock.now();
    const load = memberRegistry.findLoad(member);
    directory.availability.recordSent(host, sentAt);
    load?.recordStart();
    const exchange = await hub.exchange(
      host,
      body,
      Math.max(1, timeoutMs) + HOST_ROUND_TRIP_ALLOWANCE_MS,
      { feature: MEMBER_HOSTING_FEATURE, connectTimeoutMs: LINK_OPEN_TIMEOUT_MS },
    );
    const now = clock.now();
    load?.recordEnd();
    if (exchange.kind === 'lost' && exchange.isTooLarge === true) {
      directory.availability.recordUnsent(host, now);
      this.metrics.forwardedRequests.inc({ outcome: 'not-sent' });
      return createRefusal('too-large', 'busy', 'the request is too large for its host');
    }
    directory.availability.recordEnded(host, exchange.kind === 'answered', now);
    if (exchange.kind === 'lost') {
      this.metrics.forwardedRequests.inc({ outcome: exchange.wasSent ? 'lost' : 'not-sent' });
      return exchange.wasSent
        ? { kind: 'lost', reason: 'the host did not answer', wasSent: true }
        : createRefusal('unreachable', 'busy', 'the host cannot be reached');
    }
    this.metrics.forwardedRequests.inc({ outcome: 'answered' });
    if (exchange.body.kind === 'member.result' && exchange.body.pending !== undefined) {
      const { pending, statementMs } = exchange.body;
      load?.recordReport({ pending, statementMs }, priority, now);
    }
    return decodeResult(exchange.body, sentAt);
  }
}
