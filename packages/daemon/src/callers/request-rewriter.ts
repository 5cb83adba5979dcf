import { createHash } from 'node:crypto';
import {
  createFrontendMessage,
  type Frame,
  FrontendCode,
  parseBindMessage,
  parseMessageTarget,
} from '@heatherledge/wire';
import { serialize } from 'pg-protocol';
import type { PreparedStatements } from '../upstreams/prepared-statements.js';
import type { CallerRequest, SessionStatement } from './caller-request.js';

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
  /** Called with the number of each ParseComplete, from 0. */
  readonly onParsed?: (index: number) => void;
}

/** The part of a connection that decides how a request is sent on it. */
export interface PreparingConnection {
  readonly prepared: PreparedStatements;
  /** Identifies the session parameters in force. */
  readonly parameterScope: string;
  markParametersUnknown(): void;
}

/** Target of a Close message that closes a prepared statement. */
const STATEMENT_TARGET = Buffer.from('S');
/** Name that is never prepared; others begin with the prefix and continue with a digest. */
const MISSING_NAME = 'hl_none';
const NAME_PREFIX = 'hl_';
/** Length of the digest in a name; PostgreSQL distinguishes names by their first 63 bytes. */
const DIGEST_LENGTH = 40;

/**
 * Rewrites a request for a connection to a member: statement names are replaced by those used on the
 * connection, and statements that are not prepared there are prepared first.
 *
 * @param request - the request
 * @param connection - the connection, whose record of statements and parameters is updated
 * @returns the messages to send
 */
export function createUpstreamRequest(
  request: CallerRequest,
  connection: PreparingConnection,
): UpstreamRequest {
  if (request.changesParameters) connection.markParametersUnknown();
  if (request.kind === 'simple') {
    const bytes = Buffer.concat(request.frames.map((frame) => frame.bytes));
    return { bytes, hideParse: [], hideClose: [] };
  }
  const rewriter = new RequestRewriter(connection.prepared, connection.parameterScope);
  request.frames.forEach((frame, index) => rewriter.add(frame, request.statements[index]));
  return rewriter.finish();
}

/** Builds the messages of a request for one connection. */
class RequestRewriter {
  private readonly parts: Buffer[] = [];

  private readonly hideParse: boolean[] = [];

  private readonly hideClose: boolean[] = [];

  /** Name at the member for each Parse message. */
  private readonly parsedNames: string[] = [];

  /** Names at the member that this request uses. */
  private readonly usedNames = new Set<string>();

  private readonly preparedInRequest = new Set<string>();

  /** Statement that an earlier message of this request has prepared without a name. */
  private unnamed: SessionStatement | undefined;

  constructor(
    private readonly prepared: PreparedStatements,
    private readonly scope: string,
  ) {}

  /** Adds a message, with the statement that it prepares or refers to. */
  add({ type, bytes }: Frame, statement: SessionStatement | undefined): void {
    if (type === FrontendCode.Parse && statement) this.prepare(statement, false);
    else if (type === FrontendCode.Bind) this.addBind(bytes, statement);
    else if (type === FrontendCode.Describe) this.addDescribe(bytes, statement);
    else if (type === FrontendCode.Close) this.addClose(bytes);
    else this.parts.push(bytes);
  }

  finish(): UpstreamRequest {
    const { hideParse, hideClose, parsedNames, prepared } = this;
    const onParsed = (index: number): void => {
      const name = parsedNames[index];
      if (name !== undefined && name !== '') prepared.add(name);
    };
    return { bytes: Buffer.concat(this.parts), hideParse, hideClose, onParsed };
  }

  private addBind(bytes: Buffer, statement: SessionStatement | undefined): void {
    const { portal, rest } = parseBindMessage(bytes);
    const name = this.ensurePrepared(statement);
    this.parts.push(createFrontendMessage(FrontendCode.Bind, [portal, name], rest));
  }

  private addDescribe(bytes: Buffer, statement: SessionStatement | undefined): void {
    if (parseMessageTarget(bytes).kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    const name = this.ensurePrepared(statement);
    this.parts.push(serialize.describe({ type: 'S', name }));
  }

  private addClose(bytes: Buffer): void {
    this.hideClose.push(false);
    if (parseMessageTarget(bytes).kind === 'portal') {
      this.parts.push(bytes);
      return;
    }
    // Other sessions may use the same statement on this connection, so it stays prepared there. Closing
    // a name that is never prepared makes the member respond with CloseComplete.
    this.parts.push(serialize.close({ type: 'S', name: MISSING_NAME }));
  }

  private ensurePrepared(statement: SessionStatement | undefined): string {
    // The member reports the missing statement. The caller's name for it may be another session's here.
    if (statement === undefined) return MISSING_NAME;
    if (statement.isUnnamed) {
      if (this.unnamed !== statement) this.prepare(statement, true);
      return '';
    }
    const name = createName(this.scope, statement);
    const isPrepared = this.preparedInRequest.has(name) || this.prepared.use(name);
    if (!isPrepared) this.prepare(statement, true);
    this.usedNames.add(name);
    return name;
  }

  private prepare(statement: SessionStatement, isHidden: boolean): void {
    const name = statement.isUnnamed ? '' : createName(this.scope, statement);
    if (statement.isUnnamed) this.unnamed = statement;
    else this.replace(name);
    const { text, types } = statement;
    this.parts.push(createFrontendMessage(FrontendCode.Parse, [name, text], types));
    this.hideParse.push(isHidden);
    this.parsedNames.push(name);
  }

  /** Closes a name before it is prepared, and others that are above the connection's limit. */
  private replace(name: string): void {
    this.usedNames.add(name);
    this.preparedInRequest.add(name);
    for (const closed of [name, ...this.prepared.listExcess(this.usedNames)]) {
      this.parts.push(createFrontendMessage(FrontendCode.Close, [], createCloseBody(closed)));
      this.hideClose.push(true);
      this.prepared.remove(closed);
    }
  }
}

/**
 * Creates the name of a statement at members. Constants of a statement are read when it is prepared,
 * so the session parameters in force then belong to its identity.
 */
function createName(scope: string, { text, types }: SessionStatement): string {
  const hash = createHash('sha256');
  for (const part of [Buffer.from(scope), Buffer.from(text), types]) {
    hash.update(`${part.length}:`).update(part);
  }
  return `${NAME_PREFIX}${hash.digest('hex').slice(0, DIGEST_LENGTH)}`;
}

function createCloseBody(name: string): Buffer {
  return Buffer.concat([STATEMENT_TARGET, Buffer.from(`${name}\0`)]);
}
