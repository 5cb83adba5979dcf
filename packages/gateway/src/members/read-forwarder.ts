import {
  type TermPosition,
  type LogPosition,
  type MemberId,
  type OrganisationId,
  type ReadPlacement,
  type Route,
  type Term,
  toBrand,
} from '@heatherledge/core';
import type { PeerBodyOf, PeerHub } from '@heatherledge/daemon';
import {
  type CallerState,
  type DataStatement,
  MAX_ESTIMATED_WAIT_RATIO,
} from '../sessions/session-context.js';
import type { MemberRegistry } from './member-registry.js';
import type { ConnectionOwnerDirectory } from './connection-owner-directory.js';
import type { ExchangeResult, MemberConnection } from './member-connection.js';

/** Added to a read's own timeout for the round trip to the other instance. */
const PEER_ROUND_TRIP_ALLOWANCE_MS = 60;

/** Forwards reads to the instances that own the connections for them, and runs forwarded reads. */
export class ReadForwarder {
  constructor(
    private readonly hub: PeerHub,
    private readonly memberRegistry: MemberRegistry,
    private readonly owners: ConnectionOwnerDirectory,
  ) {
    hub.handle('read.run', async (body) => this.handleRequest(body));
  }

  /**
   * Forwards a read, if another instance owns the connection for it.
   *
   * @param placement - the member, and the log position that a replica must hold
   * @param organisation - organisation whose connection is used
   * @param state - the caller's session
   * @param statement - the read
   * @param timeoutMs - maximum wait, in milliseconds
   * @param route - the caller's route
   * @returns how the read ended, `overloaded` if the owner's queue is too long, or undefined if this
   * instance is to run the read
   */
  async forward(
    placement: ReadPlacement,
    organisation: OrganisationId | undefined,
    state: CallerState,
    statement: DataStatement,
    timeoutMs: number,
    route: Route,
  ): Promise<ExchangeResult | 'overloaded' | undefined> {
    const entry = this.memberRegistry.findEntry(placement.member);
    if (entry === undefined || organisation === undefined) return undefined;
    const owner = this.owners.findRemoteOwner(entry, organisation);
    if (owner === undefined) return undefined;
    const sentAt = this.memberRegistry.now();
    const { requestId, text, prepared } = statement;
    const response = await this.hub.request(
      owner,
      {
        kind: 'read.run',
        member: placement.member,
        organisation,
        request: requestId,
        text,
        prepared: prepared && { name: prepared.memberName, shape: prepared.shape },
        waitFor: placement.waitFor,
        values: [...state.values],
        timeoutMs,
        patienceMs: route.targetLatencyMs * MAX_ESTIMATED_WAIT_RATIO,
        priority: route.priority,
      },
      timeoutMs + PEER_ROUND_TRIP_ALLOWANCE_MS,
    );
    if (response?.kind !== 'read.ran') {
      this.owners.recordFailure(owner);
      return { kind: 'lost', reason: 'another instance did not answer', wasSent: true };
    }
    if (response.isOverloaded) return 'overloaded';
    const result = decodeResult(response, sentAt);
    if (result.kind === 'answered') this.memberRegistry.onReply(entry, result);
    return result;
  }

  private async handleRequest(body: PeerBodyOf<'read.run'>): Promise<PeerBodyOf<'read.ran'>> {
    const member = toBrand<MemberId>(body.member);
    const waitFor = body.waitFor && decodePosition(body.waitFor);
    const pool = this.memberRegistry.findPool(member);
    if (pool === undefined) return createRefusal('the member is not listed');
    const session = { values: new Map(body.values) };
    const organisation = toBrand<OrganisationId>(body.organisation);
    const startedAt = this.memberRegistry.now();
    const { timeoutMs: waitMs, patienceMs: maxEstimatedWaitMs, priority } = body;
    const acquired = await pool.acquire({
      organisation,
      session,
      waitMs,
      maxEstimatedWaitMs,
      priority,
    });
    if (acquired.kind === 'refused') {
      const isOverloaded = acquired.reason === 'overloaded';
      return { ...createRefusal(`no connection: ${acquired.reason}`), isOverloaded };
    }
    const { connection } = acquired;
    if (waitFor === undefined && !this.memberRegistry.mayReadLatestAt(member)) {
      pool.release(connection);
      return createRefusal('the primary is changing');
    }
    const remainingMs = body.timeoutMs - (this.memberRegistry.now() - startedAt);
    const result = await this.runAtMember(connection, body, session, waitFor, remainingMs);
    pool.release(connection);
    return encodeResult(result);
  }

  private async runAtMember(
    connection: MemberConnection,
    body: PeerBodyOf<'read.run'>,
    session: { readonly values: ReadonlyMap<string, string> },
    waitFor: TermPosition | undefined,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const { prepared, request: requestId, text } = body;
    return connection.exchangeInSession(
      session,
      prepared && { memberName: prepared.name, access: 'read', shape: prepared.shape },
      { kind: 'forward', requestId, text, waitFor },
      timeoutMs,
    );
  }
}

function createRefusal(reason: string): PeerBodyOf<'read.ran'> {
  return { kind: 'read.ran', rows: [], state: 'idle', error: { code: 'busy', text: reason } };
}

function decodePosition(body: { term: number; position: number }): TermPosition {
  return {
    term: toBrand<Term>(body.term),
    position: toBrand<LogPosition>(body.position),
  };
}

function encodeResult(result: ExchangeResult): PeerBodyOf<'read.ran'> {
  if (result.kind === 'lost') {
    const error = { code: 'timeout' as const, text: result.reason };
    return { kind: 'read.ran', rows: [], state: 'idle', error };
  }
  const { rows, signature, error, state, mark } = result.reply;
  return { kind: 'read.ran', rows: [...rows], signature, error, state, mark };
}

function decodeResult(
  { rows, signature, error, state, mark }: PeerBodyOf<'read.ran'>,
  sentAt: ReturnType<MemberRegistry['now']>,
): ExchangeResult {
  const reply = { rows, signature, error, state, mark: mark && decodePosition(mark) };
  return { kind: 'answered', reply, sentAt };
}
