import { isUtf8 } from 'node:buffer';
import {
  BackendCode,
  createCommandComplete,
  createEmptyMessage,
  createRowDescription,
  createDataRow,
  type Frame,
  FrontendCode,
  parseBindMessage,
  parseMessageTarget,
  parseParseMessage,
  parseText,
} from '@heatherledge/wire';

/** A prepared statement of a caller's session. */
export interface SessionStatement {
  /** SQL text. */
  readonly text: string;
  /** Parameter types, as encoded in the Parse message. */
  readonly types: Buffer;
  /** Whether the caller prepared it under the empty name, which the next such statement replaces. */
  readonly isUnnamed: boolean;
}

/** Prepared statements of a session by the caller's names. */
export type SessionStatements = Map<string, SessionStatement>;

/** A request of a caller: a simple query, or the messages of the extended protocol up to Sync. */
export interface CallerRequest {
  readonly kind: 'simple' | 'extended';
  readonly frames: readonly Frame[];
  /** For each message: the statement that it prepares or refers to, as defined at that message. */
  readonly statements: readonly (SessionStatement | undefined)[];
  /** SQL texts of the statements that the request runs. */
  readonly texts: readonly string[];
  /** Whether its texts and names are valid UTF-8, so that they can be sent on unchanged. */
  readonly isReadable: boolean;
  /** Whether it may leave other session parameters on its connection. */
  readonly changesParameters?: boolean;
}

/**
 * Creates a request. It must be created only when earlier requests of the session have been run, so that
 * it refers to statements as they are then.
 *
 * @param frames - a Query message, or messages up to and including Sync
 * @param statements - the session's prepared statements, which are updated
 * @returns the request
 */
export function createRequest(
  frames: readonly Frame[],
  statements: SessionStatements,
): CallerRequest {
  const [first] = frames;
  const isReadable = frames.every(isReadableFrame);
  if (first?.type === FrontendCode.Query) {
    const texts = [parseText(first.bytes)];
    return { kind: 'simple', frames, statements: [], texts, isReadable };
  }
  if (!isReadable) return { kind: 'extended', frames, statements: [], texts: [], isReadable };
  const resolved = frames.map((frame) => resolveStatement(frame, statements));
  const texts = frames.flatMap(({ type }, index) =>
    type === FrontendCode.Bind ? (resolved[index]?.text ?? []) : [],
  );
  return { kind: 'extended', frames, statements: resolved, texts, isReadable };
}

/** Applies a message to the session's statements, and finds the one that it refers to. */
function resolveStatement(
  { type, bytes }: Frame,
  statements: SessionStatements,
): SessionStatement | undefined {
  if (type === FrontendCode.Bind) return statements.get(parseBindMessage(bytes).statement);
  if (type === FrontendCode.Parse) {
    const { name, text, rest } = parseParseMessage(bytes);
    const statement = { text, types: Buffer.from(rest), isUnnamed: name === '' };
    statements.set(name, statement);
    return statement;
  }
  if (type !== FrontendCode.Describe && type !== FrontendCode.Close) return undefined;
  const { kind, name } = parseMessageTarget(bytes);
  if (kind === 'portal') return undefined;
  const statement = statements.get(name);
  if (type === FrontendCode.Close) statements.delete(name);
  return statement;
}

/** Returns whether the strings of a message are valid UTF-8; values of Bind messages may be binary. */
function isReadableFrame({ type, bytes }: Frame): boolean {
  if (type === FrontendCode.Sync) return true;
  if (type === FrontendCode.Execute) return isUtf8(bytes.subarray(5, bytes.length - 4));
  if (type === FrontendCode.Parse) {
    return isUtf8(bytes.subarray(5, bytes.length - parseParseMessage(bytes).rest.length));
  }
  if (type === FrontendCode.Bind) {
    return isUtf8(bytes.subarray(5, bytes.length - parseBindMessage(bytes).rest.length));
  }
  return isUtf8(bytes.subarray(5));
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
