/** Passes reads to the instance that keeps the fitting connection, and runs those of others. */
import {
  type LogMark,
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
  PATIENCE_PART,
} from '../sessions/session-context.js';
import type { GroupsTask } from './groups-task.js';
import type { HomeDirectory } from './home-directory.js';
import type { Exchange, MemberConnection } from './member-connection.js';

/** Added to a read's own time for the way to the other instance and back. */
const PEER_SLACK_MS = 60;

/** Owns the exchange of reads with other instances. */
export class PeerReads {
  constructor(
    private readonly hub: PeerHub,
    private readonly groups: GroupsTask,
    private readonly homes: HomeDirectory,
  ) {
    hub.handle('read.run', async (body) => this.serve(body));
  }

  /**
   * Passes a read on, if another instance keeps the connection for it.
   *
   * @param placement - member and place in its log
   * @param organisation - for whom
   * @param state - the caller's session
   * @param statement - the read
   * @param timeoutMs - longest wait, in milliseconds
   * @param route - the caller's route
   * @returns how it ended, that the queue there is too long, or undefined if this instance is to run it
   */
  async run(
    placement: ReadPlacement,
    organisation: OrganisationId | undefined,
    state: CallerState,
    statement: DataStatement,
    timeoutMs: number,
    route: Route,
  ): Promise<Exchange | 'overloaded' | undefined> {
    const entry = this.groups.findEntry(placement.member);
    if (entry === undefined || organisation === undefined) return undefined;
    const home = this.homes.findOther(entry, organisation);
    if (home === undefined) return undefined;
    const sentAt = this.groups.now();
    const { requestId, text, prepared } = statement;
    const answer = await this.hub.ask(
      home,
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
        patienceMs: route.targetLatencyMs * PATIENCE_PART,
        priority: route.priority,
      },
      timeoutMs + PEER_SLACK_MS,
    );
    if (answer?.kind !== 'read.ran') {
      this.homes.noteFailure(home);
      return { kind: 'lost', reason: 'another instance did not answer', wasSent: true };
    }
    if (answer.isOverloaded) return 'overloaded';
    const exchange = decodeExchange(answer, sentAt);
    if (exchange.kind === 'answered') this.groups.onAnswer(entry, exchange);
    return exchange;
  }

  private async serve(body: PeerBodyOf<'read.run'>): Promise<PeerBodyOf<'read.ran'>> {
    const member = toBrand<MemberId>(body.member);
    const waitFor = body.waitFor && decodeMark(body.waitFor);
    const pool = this.groups.findPool(member);
    if (pool === undefined) return refuse('the member is not listed');
    const session = { values: new Map(body.values) };
    const organisation = toBrand<OrganisationId>(body.organisation);
    const startedAt = this.groups.now();
    const { timeoutMs: waitMs, patienceMs, priority } = body;
    const acquired = await pool.acquire({ organisation, session, waitMs, patienceMs, priority });
    if (acquired.kind === 'refused') {
      const isOverloaded = acquired.reason === 'overloaded';
      return { ...refuse(`no connection: ${acquired.reason}`), isOverloaded };
    }
    const { connection } = acquired;
    if (waitFor === undefined && !this.groups.mayReadLatestAt(member)) {
      pool.release(connection);
      return refuse('the primary is changing');
    }
    const remainingMs = body.timeoutMs - (this.groups.now() - startedAt);
    const exchange = await this.exchange(connection, body, session, waitFor, remainingMs);
    pool.release(connection);
    return encodeExchange(exchange);
  }

  private async exchange(
    connection: MemberConnection,
    body: PeerBodyOf<'read.run'>,
    session: { readonly values: ReadonlyMap<string, string> },
    waitFor: LogMark | undefined,
    timeoutMs: number,
  ): Promise<Exchange> {
    const { prepared, request: requestId, text } = body;
    return connection.exchangeInSession(
      session,
      prepared && { memberName: prepared.name, access: 'read', shape: prepared.shape },
      { kind: 'forward', requestId, text, waitFor },
      timeoutMs,
    );
  }
}

function refuse(reason: string): PeerBodyOf<'read.ran'> {
  return { kind: 'read.ran', rows: [], state: 'idle', error: { code: 'busy', text: reason } };
}

function decodeMark(mark: { term: number; position: number }): LogMark {
  return {
    term: toBrand<Term>(mark.term),
    position: toBrand<LogPosition>(mark.position),
  };
}

function encodeExchange(exchange: Exchange): PeerBodyOf<'read.ran'> {
  if (exchange.kind === 'lost') {
    const error = { code: 'timeout' as const, text: exchange.reason };
    return { kind: 'read.ran', rows: [], state: 'idle', error };
  }
  const { rows, signature, error, state, mark } = exchange.reply;
  return { kind: 'read.ran', rows: [...rows], signature, error, state, mark };
}

function decodeExchange(
  { rows, signature, error, state, mark }: PeerBodyOf<'read.ran'>,
  sentAt: ReturnType<GroupsTask['now']>,
): Exchange {
  const reply = { rows, signature, error, state, mark: mark && decodeMark(mark) };
  return { kind: 'answered', reply, sentAt };
}
