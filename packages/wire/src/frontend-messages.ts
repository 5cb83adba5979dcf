/** Reads the messages that a PostgreSQL client sends, with the reader of `pg-protocol`. */
import { FrontendMessageCode } from 'pg-gateway';
import { BufferReader } from 'pg-protocol/dist/buffer-reader.js';

/** Type byte of the messages sent by a client. */
export const FrontendCode = FrontendMessageCode;

/** Version number of protocol 3.0 in a startup packet. */
const PROTOCOL_VERSION_3 = 196_608;
const SSL_REQUEST_CODE = 80_877_103;
const GSS_REQUEST_CODE = 80_877_104;
const CANCEL_REQUEST_CODE = 80_877_102;

/** What the first packet of a connection asks for. */
export type StartupRequest =
  | { readonly kind: 'startup'; readonly parameters: ReadonlyMap<string, string> }
  | { readonly kind: 'tls' }
  | { readonly kind: 'gss' }
  | { readonly kind: 'cancel'; readonly processId: number; readonly secret: number }
  | { readonly kind: 'garbage' };

/** A Parse message. */
export interface ParseMessage {
  readonly name: string;
  readonly text: string;
  /** Everything after the statement's text: parameter types. */
  readonly rest: Buffer;
}

/** A Bind message. */
export interface BindMessage {
  readonly portal: string;
  readonly statement: string;
  /** Everything after the two names: formats and values. */
  readonly rest: Buffer;
}

/** The object that a Describe or Close message names. */
export interface ObjectMessage {
  readonly kind: 'statement' | 'portal';
  readonly name: string;
}

/**
 * Reads the first packet of a connection.
 *
 * @param packet - the whole packet, its length included
 * @returns what it asks for; `garbage` if it is none of the protocol's packets
 */
export function parseStartup(packet: Buffer): StartupRequest {
  if (packet.length < 8) return { kind: 'garbage' };
  const code = packet.readInt32BE(4);
  if (code === SSL_REQUEST_CODE) return { kind: 'tls' };
  if (code === GSS_REQUEST_CODE) return { kind: 'gss' };
  if (code === CANCEL_REQUEST_CODE && packet.length === 16) {
    return { kind: 'cancel', processId: packet.readInt32BE(8), secret: packet.readInt32BE(12) };
  }
  if (code !== PROTOCOL_VERSION_3) return { kind: 'garbage' };
  return parseStartupParameters(packet);
}

function parseStartupParameters(packet: Buffer): StartupRequest {
  const words = packet.toString('utf8', 8).split('\0');
  const parameters = new Map<string, string>();
  for (let index = 0; index + 1 < words.length; index += 2) {
    const name = words[index] ?? '';
    if (name === '') break;
    parameters.set(name, words[index + 1] ?? '');
  }
  return parameters.has('user') ? { kind: 'startup', parameters } : { kind: 'garbage' };
}

/**
 * @param bytes - a whole Query or Password message
 * @returns the text that it carries
 */
export function parseText(bytes: Buffer): string {
  const end = bytes.indexOf(0, 5);
  return bytes.toString('utf8', 5, end < 0 ? bytes.length : end);
}

/**
 * @param bytes - a whole Parse message
 * @returns its parts
 */
export function parseParse(bytes: Buffer): ParseMessage {
  const reader = createReader(bytes);
  const name = reader.cstring();
  const text = reader.cstring();
  return { name, text, rest: bytes.subarray(findEnd(bytes, 2)) };
}

/**
 * @param bytes - a whole Bind message
 * @returns its parts
 */
export function parseBind(bytes: Buffer): BindMessage {
  const reader = createReader(bytes);
  const portal = reader.cstring();
  const statement = reader.cstring();
  return { portal, statement, rest: bytes.subarray(findEnd(bytes, 2)) };
}

/**
 * @param bytes - a whole Describe or Close message
 * @returns the object that it names
 */
export function parseObject(bytes: Buffer): ObjectMessage {
  const kind = bytes[5] === 0x53 ? 'statement' : 'portal';
  return { kind, name: bytes.toString('utf8', 6, bytes.length - 1) };
}

/**
 * Reads the text values of a Bind message.
 *
 * @param bind - the message
 * @returns its values as text, null for NULL; binary values in hexadecimal
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
 * Builds a message of a client around parts that are passed on as they came.
 *
 * @param code - type byte
 * @param names - leading zero-terminated strings
 * @param rest - bytes after the strings
 * @returns the whole message
 */
export function createFrontendMessage(
  code: number,
  names: readonly string[],
  rest: Buffer = Buffer.alloc(0),
): Buffer {
  const head = Buffer.from(names.map((name) => `${name}\0`).join(''), 'utf8');
  const bytes = Buffer.allocUnsafe(5 + head.length + rest.length);
  bytes[0] = code;
  bytes.writeInt32BE(4 + head.length + rest.length, 1);
  head.copy(bytes, 5);
  rest.copy(bytes, 5 + head.length);
  return bytes;
}

function createReader(bytes: Buffer): BufferReader {
  const reader = new BufferReader();
  reader.setBuffer(5, bytes);
  return reader;
}

function findEnd(bytes: Buffer, strings: number): number {
  let offset = 5;
  for (let index = 0; index < strings; index += 1) offset = bytes.indexOf(0, offset) + 1;
  return offset;
}
