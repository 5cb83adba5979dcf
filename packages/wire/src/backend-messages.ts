import { BackendError, BackendMessageCode } from 'pg-gateway';
import { Writer } from 'pg-protocol/dist/buffer-writer.js';

/** Type bytes of the messages that a server sends. */
export const BackendCode = BackendMessageCode;

/** State of a session's transaction, as reported by ReadyForQuery. */
export type TransactionStatus = 'idle' | 'transaction' | 'failed';

const TRANSACTION_STATUS_BYTES: Record<TransactionStatus, string> = {
  idle: 'I',
  transaction: 'T',
  failed: 'E',
};

/** A column of a result: its name and the OID of its type. */
export interface ColumnDescription {
  readonly name: string;
  readonly typeOid: number;
}

/** Fields of an ErrorResponse or NoticeResponse. */
export interface ErrorFields {
  /** SQLSTATE. */
  readonly code: string;
  readonly message: string;
  readonly severity?: 'ERROR' | 'FATAL';
  readonly detail?: string;
  readonly hint?: string;
}

/** @returns AuthenticationOk */
export function createAuthenticationOk(): Buffer {
  return new Writer().addInt32(0).flush(BackendCode.AuthenticationResponse);
}

/** @returns AuthenticationCleartextPassword */
export function createPasswordRequest(): Buffer {
  return new Writer().addInt32(3).flush(BackendCode.AuthenticationResponse);
}

/**
 * @param name - name of the parameter
 * @param value - current value of the parameter
 * @returns ParameterStatus
 */
export function createParameterStatus(name: string, value: string): Buffer {
  return new Writer().addCString(name).addCString(value).flush(BackendCode.ParameterStatus);
}

/**
 * @param processId - process ID that a cancel request has to send
 * @param secret - secret key that a cancel request has to send
 * @returns BackendKeyData
 */
export function createBackendKeyData(processId: number, secret: number): Buffer {
  return new Writer().addInt32(processId).addInt32(secret).flush(BackendCode.BackendKeyData);
}

/**
 * @param status - state of the session's transaction
 * @returns ReadyForQuery
 */
export function createReadyForQuery(status: TransactionStatus): Buffer {
  return new Writer().addString(TRANSACTION_STATUS_BYTES[status]).flush(BackendCode.ReadyForQuery);
}

/**
 * @param columns - columns of the result, in order
 * @returns RowDescription with all columns in text format
 */
export function createRowDescription(columns: readonly ColumnDescription[]): Buffer {
  const writer = new Writer().addInt16(columns.length);
  for (const column of columns) {
    writer.addCString(column.name).addInt32(0).addInt16(0).addInt32(column.typeOid);
    writer.addInt16(-1).addInt32(-1).addInt16(0);
  }
  return writer.flush(BackendCode.RowDescriptionMessage);
}

/**
 * @param values - values of the row as text, null for NULL
 * @returns DataRow
 */
export function createDataRow(values: readonly (string | null)[]): Buffer {
  const writer = new Writer().addInt16(values.length);
  for (const value of values) {
    if (value === null) writer.addInt32(-1);
    else writer.addInt32(Buffer.byteLength(value)).addString(value);
  }
  return writer.flush(BackendCode.DataRow);
}

/**
 * @param tag - command tag such as `INSERT 0 1`
 * @returns CommandComplete
 */
export function createCommandComplete(tag: string): Buffer {
  return new Writer().addCString(tag).flush(BackendCode.CommandComplete);
}

/**
 * @param typeOids - type OIDs of the statement's parameters
 * @returns ParameterDescription
 */
export function createParameterDescription(typeOids: readonly number[]): Buffer {
  const writer = new Writer().addInt16(typeOids.length);
  for (const oid of typeOids) writer.addInt32(oid);
  return writer.flush(BackendCode.ParameterDescriptionMessage);
}

/**
 * @param code - type byte, such as that of ParseComplete
 * @returns the message, which has no body
 */
export function createEmptyMessage(code: number): Buffer {
  return new Writer().flush(code);
}

/**
 * @param fields - fields of the error; the severity defaults to `ERROR`
 * @returns ErrorResponse
 */
export function createErrorResponse(fields: ErrorFields): Buffer {
  const { severity = 'ERROR', ...rest } = fields;
  return Buffer.from(BackendError.create({ severity, ...rest }).flush());
}

/**
 * @param fields - fields of the notice
 * @returns NoticeResponse
 */
export function createNoticeResponse(fields: ErrorFields): Buffer {
  const bytes = createErrorResponse(fields);
  bytes[0] = BackendCode.NoticeMessage;
  return bytes;
}

/**
 * Parses an ErrorResponse.
 *
 * @param bytes - the whole message
 * @returns its SQLSTATE, message and hint; other fields are ignored
 */
export function parseErrorResponse(bytes: Buffer): ErrorFields {
  const fields = new Map<string, string>();
  let offset = 5;
  while (offset < bytes.length && bytes[offset] !== 0) {
    const key = String.fromCharCode(bytes[offset] ?? 0);
    const end = bytes.indexOf(0, offset + 1);
    if (end < 0) break;
    fields.set(key, bytes.toString('utf8', offset + 1, end));
    offset = end + 1;
  }
  return {
    code: fields.get('C') ?? 'XX000',
    message: fields.get('M') ?? 'unknown error',
    hint: fields.get('H'),
  };
}

/**
 * Parses a DataRow with all values in text format.
 *
 * @param bytes - the whole message
 * @returns its values as text, null for NULL
 */
export function parseDataRow(bytes: Buffer): (string | null)[] {
  const count = bytes.readInt16BE(5);
  const values: (string | null)[] = [];
  let offset = 7;
  for (let index = 0; index < count; index += 1) {
    const length = bytes.readInt32BE(offset);
    offset += 4;
    values.push(length < 0 ? null : bytes.toString('utf8', offset, offset + length));
    offset += Math.max(0, length);
  }
  return values;
}

/**
 * @param bytes - a whole ReadyForQuery message
 * @returns the transaction state that it reports
 */
export function parseReadyForQuery(bytes: Buffer): TransactionStatus {
  const status = String.fromCharCode(bytes[5] ?? 0);
  if (status === 'T') return 'transaction';
  return status === 'E' ? 'failed' : 'idle';
}

/**
 * @param bytes - a whole CommandComplete message
 * @returns its command tag
 */
export function parseCommandTag(bytes: Buffer): string {
  return bytes.toString('utf8', 5, bytes.length - 1);
}
