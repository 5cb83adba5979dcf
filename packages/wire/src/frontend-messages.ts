import { FrontendMessageCode } from 'pg-gateway';
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';

/** Type bytes of the messages that a client sends. */
export const FrontendCode = FrontendMessageCode;

/** Protocol version 3.0, as the first packet of a connection encodes it. */
const PROTOCOL_VERSION_3 = 196_608;
/** Codes that the other first packets have in place of a protocol version. */
const SSL_REQUEST_CODE = 80_877_103;
const GSS_ENCRYPTION_REQUEST_CODE = 80_877_104;
const CANCEL_REQUEST_CODE = 80_877_102;

/** Parsed first packet of a connection. */
export type StartupRequest =
  | { readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string> }
  | { readonly kind: 'tls' }
  | { readonly kind: 'gss' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secret: number }
  | { readonly kind: 'malformed' };

/** A Parse message, split at its strings. */
export interface ParseMessage {
  readonly name: string;
  readonly text: string;
  /** Bytes after the statement's text: the parameter types. */
  readonly rest: Buffer;
}

/** A Bind message, split at its strings. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** Bytes after the two names: formats and values. */
  readonly rest: Buffer;
}

/** The prepared statement or portal that a Describe or Close message refers to. */
export interface MessageTarget {
  readonly kind: 'statement' | 'portal';
  readonly name: string;
}

/**
 * Parses the first packet of a connection.
 *
 * @param packet - the whole packet, including its length
 * @returns the request; `malformed` if the packet is none of those that the protocol defines
 */
export function parseStartup(packet: Buffer): StartupRequest {
  if (packet.length < 8) return { kind: 'malformed' };
  const code = packet.readInt32BE(4);
  if (code === SSL_REQUEST_CODE) return { kind: 'tls' };
  if (code === GSS_ENCRYPTION_REQUEST_CODE) return { kind: 'gss' };
  if (code === CANCEL_REQUEST_CODE && packet.length === 16) {
    return { kind: 'cancel', processId: packet.readInt32BE(8), secret: packet.readInt32BE(12) };
  }
  if (code !== PROTOCOL_VERSION_3) return { kind: 'malformed' };
  return parseStartupParameters(packet);
}

function parseStartupParameters(packet: Buffer): StartupRequest {
  const strings = packet.toString('utf8', 8).split('\0');
  const parameters = new Map<string, string>();
  for (let index = 0; index + 1 < strings.length; index += 2) {
    const name = strings[index] ?? '';
    if (name === '') break;
    parameters.set(name, strings[index + 1] ?? '');
  }
  return parameters.has('user') ? { kind: 'startup', parameters } : { kind: 'malformed' };
}

/**
 * @param bytes - a whole Query or Password message
 * @returns its text
 */
export function parseText(bytes: Buffer): string {
  const end = bytes.indexOf(0, 5);
  return bytes.toString('utf8', 5, end < 0 ? bytes.length : end);
}

/**
 * @param bytes - a whole Parse message
 * @returns its parts
 * @throws RangeError if a string has no end
 */
export function parseParseMessage(bytes: Buffer): ParseMessage {
  const reader = createBodyReader(bytes);
  const name = reader.cstring();
  const text = reader.cstring();
  return { name, text, rest: bytes.subarray(findEndOfStrings(bytes, 2)) };
}

/**
 * @param bytes - a whole Bind message
 * @returns its parts
 * @throws RangeError if a string has no end
 */
export function parseBindMessage(bytes: Buffer): BindMessage {
  const reader = createBodyReader(bytes);
  const portal = reader.cstring();
  const statement = reader.cstring();
  return { portal, statement, rest: bytes.subarray(findEndOfStrings(bytes, 2)) };
}

/**
 * @param bytes - a whole Describe or Close message
 * @returns the statement or portal that it refers to
 * @throws RangeError if its name has no end
 */
export function parseMessageTarget(bytes: Buffer): MessageTarget {
  const kind = bytes[5] === 0x53 ? 'statement' : 'portal';
  const end = bytes.indexOf(0, 6);
  if (end < 0) throw new RangeError('a string of the message has no end');
  return { kind, name: bytes.toString('utf8', 6, end) };
}

/**
 * Parses the values of a Bind message; the formats are ignored.
 *
 * @returns all values decoded as UTF-8 text, null for NULL
 */
export function parseBindValues(bind: BindMessage): (string | null)[] {
  const { rest } = bind;
  const formatCount = rest.readInt16BE(0);
  let offset = 2 + formatCount * 2;
  const valueCount = rest.readInt16BE(offset);
  offset += 2;
  const values: (string | null)[] = [];
  for (let index = 0; index < valueCount; index += 1) {
    const length = rest.readInt32BE(offset);
    offset += 4;
    values.push(length < 0 ? null : rest.toString('utf8', offset, offset + length));
    offset += Math.max(0, length);
  }
  return values;
}

/**
 * Builds a client message from strings and unparsed bytes of a received one.
 *
 * @param code - type byte
 * @param strings - leading strings, which are zero-terminated in the message
 * @param rest - bytes after the strings
 * @returns the whole message
 */
export function createFrontendMessage(
  code: number,
  strings: readonly string[],
  rest: Buffer = Buffer.alloc(0),
): Buffer {
  const head = Buffer.from(strings.map((text) => `${text}\0`).join(''), 'utf8');
  const bytes = Buffer.allocUnsafe(5 + head.length + rest.length);
  bytes[0] = code;
  bytes.writeInt32BE(4 + head.length + rest.length, 1);
  head.copy(bytes, 5);
  rest.copy(bytes, 5 + head.length);
  return bytes;
}

function createBodyReader(bytes: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(5, bytes);
  return reader;
}

/**
 * @returns offset of the first byte after a number of zero-terminated strings
 * @throws RangeError if one of them has no end
 */
function findEndOfStrings(bytes: Buffer, count: number): number {
  let offset = 5;
  for (let index = 0; index < count; index += 1) {
    const end = bytes.indexOf(0, offset);
    if (end < 0) throw new RangeError('a string of the message has no end');
    offset = end + 1;
  }
  return offset;
}
