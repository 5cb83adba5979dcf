import {
  type KeyDigest,
  type LogPosition,
  type MemberId,
  type Milliseconds,
  type OrganisationId,
  type Term,
  type TermPosition,
  toBrand,
} from '@heatherledge/core';
import type { PeerBody, PeerBodyOf } from '@heatherledge/daemon';
import type { ExchangeResult } from '../members/member-connection.js';
import type { MemberStatement } from '../ports/member-protocol.js';
import { createPreparedStatement } from '../members/prepared-statement.js';
import {
  type AccessRefusal,
  type ConnectionRequest,
  createRefusal,
  type StatementResult,
} from './member-access.js';

/** The fields of a message that describe the connection which a request needs. */
export type EncodedConnectionRequest = Pick<
  PeerBodyOf<'statement.run'>,
  | 'member'
  | 'organisation'
  | 'key'
  | 'values'
  | 'timeoutMs'
  | 'patienceMs'
  | 'priority'
  | 'waitFor'
  | 'wasUnreachable'
>;

type EncodedPosition = NonNullable<PeerBodyOf<'statement.run'>['waitFor']>;

type EncodedStatement = Pick<PeerBodyOf<'statement.run'>, 'request' | 'text' | 'prepared'>;

/** Encodes what a request needs of its connection. */
export function encodeConnectionRequest(request: ConnectionRequest): EncodedConnectionRequest {
  const { member, credentials, values, timeoutMs, maxEstimatedWaitMs, priority, waitFor } = request;
  return {
    member,
    organisation: credentials.organisation,
    key: credentials.key,
    values: [...values],
    timeoutMs,
    patienceMs: maxEstimatedWaitMs,
    priority,
    waitFor,
    wasUnreachable: request.wasUnreachable,
  };
}

/** Decodes what a request needs of its connection. */
export function decodeConnectionRequest(body: EncodedConnectionRequest): ConnectionRequest {
  const { member, organisation, key, values, timeoutMs, patienceMs, priority, waitFor } = body;
  return {
    member: toBrand<MemberId>(member),
    credentials: {
      organisation: organisation === undefined ? undefined : toBrand<OrganisationId>(organisation),
      key: key === undefined ? undefined : toBrand<KeyDigest>(key),
    },
    values: new Map(values),
    timeoutMs,
    maxEstimatedWaitMs: patienceMs,
    priority,
    waitFor: waitFor && decodePosition(waitFor),
    wasUnreachable: body.wasUnreachable,
  };
}

/**
 * Encodes a statement. A prepared one is named by its digest, since hosts of earlier versions prepare it
 * under the name in the message and forward the text as it is.
 */
export function encodeStatement({ requestId, text, prepared }: MemberStatement): EncodedStatement {
  if (prepared === undefined) return { request: requestId, text };
  const { access, shape, maxNameLength, digest: name } = prepared;
  return {
    request: requestId,
    text: `${formatExecute(name)}${text}`,
    prepared: { name, access, shape, maxNameLength },
  };
}

/**
 * Decodes a statement.
 *
 * @returns the statement, or undefined if its text does not execute the statement that it names
 */
export function decodeStatement({
  request,
  text,
  prepared,
}: EncodedStatement): MemberStatement | undefined {
  if (prepared === undefined) return { requestId: request, text, prepared };
  const prefix = formatExecute(prepared.name);
  if (text !== prefix && !text.startsWith(`${prefix} `)) return undefined;
  const { access, shape, maxNameLength = 1 } = prepared;
  return {
    requestId: request,
    text: text.slice(prefix.length),
    prepared: createPreparedStatement(access, shape, maxNameLength),
  };
}

function formatExecute(name: string): string {
  return `EXECUTE ${name}`;
}

/**
 * Encodes how a request to a member ended.
 *
 * @param result - the result
 * @param pending - statements that wait for or run at the member
 */
export function encodeResult(
  result: StatementResult,
  pending: number,
): PeerBodyOf<'member.result'> {
  switch (result.kind) {
    case 'answered': {
      const { rows, signature, error, state, mark } = result.reply;
      const reply = { rows: [...rows], signature, error, state, mark };
      return { kind: 'member.result', outcome: 'answered', reply, pending };
    }
    case 'lost': {
      const { reason, wasSent } = result;
      return { kind: 'member.result', outcome: 'lost', reason, wasSent, pending };
    }
    case 'refused': {
      const { reason, code, text } = result;
      const reply = { rows: [], state: 'idle' as const, error: { code, text } };
      return { kind: 'member.result', outcome: 'refused', refusal: reason, reply, pending };
    }
  }
}

/**
 * Decodes how a request to a member ended.
 *
 * @param body - response of the member's host
 * @param sentAt - when the request was sent to the host; the log position in the reply is no older
 * @returns the result; a response that says nothing about the outcome counts as lost
 */
export function decodeResult(body: PeerBody, sentAt: Milliseconds): StatementResult {
  if (body.kind === 'unsupported') {
    return createRefusal('closed', 'busy', 'the host does not support the request');
  }
  if (body.kind !== 'member.result') {
    return { kind: 'lost', reason: 'the host sent an unexpected response', wasSent: true };
  }
  if (body.outcome === 'refused') return decodeRefusal(body);
  const { reply } = body;
  if (body.outcome === 'lost' || reply === undefined) {
    const { reason = 'the host sent no reply', wasSent = true } = body;
    return { kind: 'lost', reason, wasSent };
  }
  const { rows, signature, error, state, mark } = reply;
  const position = mark && decodePosition(mark);
  return { kind: 'answered', reply: { rows, signature, error, state, mark: position }, sentAt };
}

/** Narrows the result of a request that a host cannot refuse, such as one inside a transaction. */
export function toExchangeResult(result: StatementResult): ExchangeResult {
  if (result.kind !== 'refused') return result;
  return { kind: 'lost', reason: result.text, wasSent: false };
}

function decodeRefusal({ refusal, reply }: PeerBodyOf<'member.result'>): AccessRefusal {
  const refused = createRefusal(refusal ?? 'closed', reply?.error?.code, reply?.error?.text);
  return refusal === 'unreachable' ? { ...refused, isReportedUnreachable: true } : refused;
}

function decodePosition({ term, position }: EncodedPosition): TermPosition {
  return { term: toBrand<Term>(term), position: toBrand<LogPosition>(position) };
}
