/** A value of a column, parameter or expression. */
export type SqlValue = string | number | boolean | null;

/** The values of a row by column name. */
export type SqlRow = Readonly<Record<string, SqlValue>>;

/** An error that is sent to the client with its SQLSTATE. */
export class SqlError extends Error {
  /**
   * @param code - the SQLSTATE
   * @param message - the message for the client
   */
  constructor(
    readonly code: string,
    message: string,
  ) {
    super(message);
    this.name = 'SqlError';
  }
}

/** PostgreSQL's OIDs of the supported types. */
export const TYPE_OIDS = {
  bool: 16,
  int8: 20,
  int4: 23,
  text: 25,
  json: 114,
  float8: 701,
  timestamptz: 1184,
  numeric: 1700,
} as const;

/** Name of a supported type. */
export type SqlType = keyof typeof TYPE_OIDS;

/** Supported types by the names that the parser returns. */
const TYPE_ALIASES: Record<string, SqlType> = {
  bool: 'bool',
  int2: 'int4',
  int4: 'int4',
  int8: 'int8',
  serial: 'int4',
  bigserial: 'int8',
  float4: 'float8',
  float8: 'float8',
  numeric: 'numeric',
  timestamptz: 'timestamptz',
  timestamp: 'timestamptz',
  json: 'json',
  jsonb: 'json',
};

/**
 * Maps a type name to a supported type.
 *
 * @param name - type name as returned by the parser
 * @returns the supported type; `text` for all other names
 */
export function resolveSqlType(name: string): SqlType {
  return TYPE_ALIASES[name] ?? 'text';
}

/**
 * Converts a value to a column's type.
 *
 * @param value - the value to convert
 * @param type - the column's type
 * @returns the value as it is stored
 * @throws SqlError if the value is not valid for the type
 */
export function convertValue(value: SqlValue, type: SqlType): SqlValue {
  if (value === null) return null;
  if (type === 'bool') return value === true || value === 't' || value === 'true';
  if (type === 'int4' || type === 'int8' || type === 'float8' || type === 'numeric') {
    const number = Number(value);
    if (Number.isNaN(number)) {
      throw new SqlError('22P02', `invalid input syntax for type ${type}: "${value}"`);
    }
    return number;
  }
  return String(value);
}

/**
 * Formats a value in the text format of PostgreSQL's protocol.
 *
 * @param value - the value
 * @returns its text; null for NULL
 */
export function formatValue(value: SqlValue): string | null {
  if (value === null) return null;
  if (typeof value === 'boolean') return value ? 't' : 'f';
  return String(value);
}

/**
 * Compares two values by SQL's rules.
 *
 * @param left - one value
 * @param right - the other
 * @returns negative, zero or positive; undefined if either is NULL
 */
export function compareValues(left: SqlValue, right: SqlValue): number | undefined {
  if (left === null || right === null) return undefined;
  if (typeof left === 'number' || typeof right === 'number') return Number(left) - Number(right);
  if (typeof left === 'boolean' || typeof right === 'boolean') {
    return Number(convertValue(left, 'bool')) - Number(convertValue(right, 'bool'));
  }
  if (left === right) return 0;
  return left < right ? -1 : 1;
}
