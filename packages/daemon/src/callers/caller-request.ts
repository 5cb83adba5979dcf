import { createHash } from 'node:crypto';
import {
  BackendCode,
  createCommandComplete,
  createEmptyMessage,
  createFrontendMessage,
  createRowDescription,
  createDataRow,
  type Frame,
  FrontendCode,
  parseBindMessage,
  parseMessageTarget,
  parseParseMessage,
  parseText,
} from '@heatherledge/wire';
import { serialize } from 'pg-protocol';

/** A prepared statement of a caller's session. */
export interface SessionStatement {
  /** SQL text. */
  readonly text: string;
  /** Parameter types, as encoded in the Parse message. */
  readonly types: Buffer;
  /** Name under which the statement is prepared on connections to members; empty if unnamed. */
  readonly upstreamName: string;
}

/** Prepared statements of a session by the caller's names. */
export type SessionStatements = Map<string, SessionStatement>;

/** A request of a caller: a simple query, or the messages of the extended protocol up to Sync. */
export interface CallerRequest {
  readonly kind: 'simple' | 'extended';
  readonly frames: readonly Frame[];
  /** SQL texts of the statements that the request runs. */
  readonly texts: readonly string[];
}

/**
 * A request as it is sent to a member, and which of the responses belong to messages that the proxy
 * added.
 */
export interface UpstreamRequest {
  readonly bytes: Buffer;
  /** For each ParseComplete in order: whether it is hidden from the caller. */
  readonly hideParse: readonly boolean[];
  /** For each CloseComplete in order: whether it is hidden from the caller. */
  readonly hideClose: readonly boolean[];
}

/** Target of a Close message that closes a prepared statement. */
const STATEMENT_TARGET = Buffer.from('S');

/**
 * Creates a request of the simple protocol.
 *
 * @param frame - a Query message
 * @returns the request
 */
export function createSimpleRequest(frame: Frame): CallerRequest {
  return { kind: 'simple', frames: [frame], texts: [parseText(frame.bytes)] };
}

/**
 * Creates a request of the extended protocol and records the statements that it prepares.
 *
 * @param frames - messages up to and including Sync
 * @param statements - the session's prepared statements, which are updated
 * @returns the request
 */
export function createExtendedRequest(
  frames: readonly Frame[],
  statements: SessionStatements,
): CallerRequest {
  const texts: string[] = [];
  for (const { type, bytes } of frames) {
    if (type === FrontendCode.Parse) recordStatement(bytes, statements);
    if (type === FrontendCode.Bind) {
      const text = statements.get(parseBindMessage(bytes).statement)?.text;
      if (text !== undefined) texts.push(text);
    }
  }
  return { kind: 'extended', frames, texts };
}

function recordStatement(bytes: Buffer, statements: SessionStatements): void {
  const { name, text, rest } = parseParseMessage(bytes);
  const types = Buffer.from(rest);
  const digest = createHash('sha1').update(text).update('\0').update(types).digest('hex');
  const upstreamName = name === '' ? '' : `hl_${digest.slice(0, 24)}`;
  statements.set(name, { text, types, upstreamName });
}

/**
 * Rewrites a request for a connection to a member: statement names are replaced by those used on the
 * connection, and statements that are not prepared there are prepared first.
 *
 * @param request - the request
 * @param statements - the session's prepared statements
 * @param prepared - names of the statements prepared on the connection, which are updated
 * @returns the messages to send
 */
export function createUpstreamRequest(
  request: CallerRequest,
  statements: SessionStatements,
  prepared: Set<string>,
): UpstreamRequest {
  if (request.kind === 'simple') {
    const bytes = Buffer.concat(request.frames.map((frame) => frame.bytes));
    return { bytes, hideParse: [], hideClose: [] };
  }
  const rewriter = new RequestRewriter(statements, prepared);
  for (const frame of request.frames) rewriter.add(frame);
  return rewriter.finish();
}

/** Builds the messages of a request for one connection. */
class RequestRewriter {
  private readonly parts: Buffer[] = [];

  private readonly hideParse: boolean[] = [];

  private readonly hideClose: boolean[] = [];

  /** Caller's names of statements that an earlier message of this request prepares. */
  private readonly preparedInRequest = new Set<string>();

  constructor(
    private readonly statements: SessionStatements,
    private readonly prepared: Set<string>,
  ) {}

  add({ type, bytes }: Frame): void {
    if (type === FrontendCode.Parse) this.addParse(bytes);
    else if (type === FrontendCode.Bind) this.addBind(bytes);
    else if (type === FrontendCode.Describe) this.addDescribe(bytes);
    else if (type === FrontendCode.Close) this.addClose(bytes);
    else this.parts.push(bytes);
  }

  finish(): UpstreamRequest {
    const { hideParse, hideClose } = this;
    return { bytes: Buffer.concat(this.parts), hideParse, hideClose };
  }

  private addParse(bytes: Buffer): void {
    const { name } = parseParseMessage(bytes);
    this.prepare(name, false);
  }

  private addBind(bytes: Buffer): void {
    const { portal, statement, rest } = parseBindMessage(bytes);
    const upstreamName = this.ensurePrepared(statement);
    this.parts.push(createFrontendMessage(FrontendCode.Bind, [portal, upstreamName], rest));
  }

  private addDescribe(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    if (kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    const upstreamName = this.ensurePrepared(name);
    this.parts.push(serialize.describe({ type: 'S', name: upstreamName }));
  }

  private addClose(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    this.hideClose.push(false);
    if (kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    // Other sessions may use the same statement on this connection, so it stays prepared there. Closing
    // a name that is never prepared makes the member respond with CloseComplete.
    this.statements.delete(name);
    this.parts.push(serialize.close({ type: 'S', name: 'hl_none' }));
  }

  private ensurePrepared(name: string): string {
    const statement = this.statements.get(name);
    // The member reports the missing statement, as it does on a direct connection.
    if (statement === undefined) return name;
    const isPrepared = statement.upstreamName !== '' && this.prepared.has(statement.upstreamName);
    if (!this.preparedInRequest.has(name) && !isPrepared) this.prepare(name, true);
    return statement.upstreamName;
  }

  private prepare(name: string, isHidden: boolean): void {
    const statement = this.statements.get(name);
    if (statement === undefined) return;
    const { upstreamName, text, types } = statement;
    if (upstreamName !== '') {
      this.parts.push(createFrontendMessage(FrontendCode.Close, [], createCloseBody(upstreamName)));
      this.hideClose.push(true);
      this.prepared.add(upstreamName);
    }
    this.parts.push(createFrontendMessage(FrontendCode.Parse, [upstreamName, text], types));
    this.hideParse.push(isHidden);
    this.preparedInRequest.add(name);
  }
}

function createCloseBody(name: string): Buffer {
  return Buffer.concat([STATEMENT_TARGET, Buffer.from(`${name}\0`)]);
}

/** A row with a single text value that the proxy returns without a member. */
export interface LocalRow {
  readonly column: string;
  readonly value: string;
}

/** OID of PostgreSQL's type `text`. */
const TEXT_OID = 25;

/**
 * Creates the response to a request that is handled without a member. For an extended request it
 * consists of the responses to each of its messages.
 *
 * @param request - the request
 * @param tag - command tag
 * @param row - row to return, if any
 * @returns the response without ReadyForQuery
 */
export function createLocalResponse(request: CallerRequest, tag: string, row?: LocalRow): Buffer {
  const description = row && createRowDescription([{ name: row.column, typeOid: TEXT_OID }]);
  const data = row ? [createDataRow([row.value])] : [];
  if (request.kind === 'simple') {
    return Buffer.concat([
      ...(description ? [description] : []),
      ...data,
      createCommandComplete(tag),
    ]);
  }
  const parts = request.frames.map(({ type }) => {
    if (type === FrontendCode.Parse) return createEmptyMessage(BackendCode.ParseComplete);
    if (type === FrontendCode.Bind) return createEmptyMessage(BackendCode.BindComplete);
    if (type === FrontendCode.Close) return createEmptyMessage(BackendCode.CloseComplete);
    if (type === FrontendCode.Describe) {
      return description ?? createEmptyMessage(BackendCode.NoData);
    }
    if (type !== FrontendCode.Execute) return Buffer.alloc(0);
    return Buffer.concat([...data, createCommandComplete(tag)]);
  });
  return Buffer.concat(parts);
}
