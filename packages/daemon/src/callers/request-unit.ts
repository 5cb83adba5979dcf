/** One request of a caller: a simple query, or extended messages up to Sync. */
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
  readonly text: string;
  /** Parameter types as they came. */
  readonly types: Buffer;
  /** Name under which it is prepared on connections to members. */
  readonly upstreamName: string;
}

/** Prepared statements of a session by the caller's names. */
export type SessionStatements = Map<string, SessionStatement>;

/** A request and its SQL texts. */
export interface RequestUnit {
  readonly kind: 'simple' | 'extended';
  readonly frames: readonly Frame[];
  /** Texts of the statements that it runs. */
  readonly texts: readonly string[];
}

/** A request as it is sent to a member, and which parts of the answer are the proxy's own. */
export interface UpstreamRequest {
  readonly bytes: Buffer;
  /** For each ParseComplete in order: whether it is kept from the caller. */
  readonly hideParse: readonly boolean[];
  /** For each CloseComplete in order: whether it is kept from the caller. */
  readonly hideClose: readonly boolean[];
}

const STATEMENT_KIND = Buffer.from('S');

/**
 * @param frame - a Query message
 * @returns the request
 */
export function createSimpleUnit(frame: Frame): RequestUnit {
  return { kind: 'simple', frames: [frame], texts: [parseText(frame.bytes)] };
}

/**
 * Notes the statements that a request prepares, and collects the texts that it runs.
 *
 * @param frames - messages up to and with Sync
 * @param statements - the session's prepared statements, which are updated
 * @returns the request
 */
export function createExtendedUnit(
  frames: readonly Frame[],
  statements: SessionStatements,
): RequestUnit {
  const texts: string[] = [];
  for (const { type, bytes } of frames) {
    if (type === FrontendCode.Parse) noteStatement(bytes, statements);
    if (type === FrontendCode.Bind) {
      const text = statements.get(parseBindMessage(bytes).statement)?.text;
      if (text !== undefined) texts.push(text);
    }
  }
  return { kind: 'extended', frames, texts };
}

function noteStatement(bytes: Buffer, statements: SessionStatements): void {
  const { name, text, rest } = parseParseMessage(bytes);
  const types = Buffer.from(rest);
  const digest = createHash('sha1').update(text).update('\0').update(types).digest('hex');
  const upstreamName = name === '' ? '' : `hl_${digest.slice(0, 24)}`;
  statements.set(name, { text, types, upstreamName });
}

/**
 * Rewrites a request for a connection: statement names are those of the connection, and statements
 * that it does not know are prepared first.
 *
 * @param unit - the request
 * @param statements - the session's prepared statements
 * @param prepared - names prepared on the connection, which are updated
 * @returns what to send
 */
export function createUpstreamRequest(
  unit: RequestUnit,
  statements: SessionStatements,
  prepared: Set<string>,
): UpstreamRequest {
  if (unit.kind === 'simple') {
    const bytes = Buffer.concat(unit.frames.map((frame) => frame.bytes));
    return { bytes, hideParse: [], hideClose: [] };
  }
  const rewriter = new RequestRewriter(statements, prepared);
  for (const frame of unit.frames) rewriter.add(frame);
  return rewriter.finish();
}

/** Builds the messages for one connection. */
class RequestRewriter {
  private readonly parts: Buffer[] = [];

  private readonly hideParse: boolean[] = [];

  private readonly hideClose: boolean[] = [];

  /** Caller's names whose statement is surely prepared by an earlier message of this request. */
  private readonly ensured = new Set<string>();

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
    const upstreamName = this.ensure(statement);
    this.parts.push(createFrontendMessage(FrontendCode.Bind, [portal, upstreamName], rest));
  }

  private addDescribe(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    if (kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    const upstreamName = this.ensure(name);
    this.parts.push(serialize.describe({ type: 'S', name: upstreamName }));
  }

  private addClose(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    this.hideClose.push(false);
    if (kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    // Other sessions may use the same statement on this connection, so it stays prepared there.
    this.statements.delete(name);
    this.parts.push(serialize.close({ type: 'S', name: 'hl_none' }));
  }

  private ensure(name: string): string {
    const statement = this.statements.get(name);
    // The member answers that a statement does not exist, as it would to the caller itself.
    if (statement === undefined) return name;
    const isKnown = statement.upstreamName !== '' && this.prepared.has(statement.upstreamName);
    if (!this.ensured.has(name) && !isKnown) this.prepare(name, true);
    return statement.upstreamName;
  }

  private prepare(name: string, hide: boolean): void {
    const statement = this.statements.get(name);
    if (statement === undefined) return;
    const { upstreamName, text, types } = statement;
    if (upstreamName !== '') {
      this.parts.push(createFrontendMessage(FrontendCode.Close, [], closeBody(upstreamName)));
      this.hideClose.push(true);
      this.prepared.add(upstreamName);
    }
    this.parts.push(createFrontendMessage(FrontendCode.Parse, [upstreamName, text], types));
    this.hideParse.push(hide);
    this.ensured.add(name);
  }
}

function closeBody(name: string): Buffer {
  return Buffer.concat([STATEMENT_KIND, Buffer.from(`${name}\0`)]);
}

/** A single text value that the proxy itself returns. */
export interface LocalRow {
  readonly column: string;
  readonly value: string;
}

/** OID of PostgreSQL's type `text`. */
const TEXT_OID = 25;

/**
 * Answers a request without a member, in the form that its messages ask for.
 *
 * @param unit - the request
 * @param tag - command tag
 * @param row - value to return, if any
 * @returns the answer without ReadyForQuery
 */
export function createLocalAnswer(unit: RequestUnit, tag: string, row?: LocalRow): Buffer {
  const description = row && createRowDescription([{ name: row.column, typeOid: TEXT_OID }]);
  const data = row ? [createDataRow([row.value])] : [];
  if (unit.kind === 'simple') {
    return Buffer.concat([
      ...(description ? [description] : []),
      ...data,
      createCommandComplete(tag),
    ]);
  }
  const parts = unit.frames.map(({ type }) => {
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
