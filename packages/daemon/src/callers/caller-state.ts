import {
  type GroupId,
  type KeyDigest,
  mergePositions,
  type OrganisationId,
  type SessionPosition,
} from '@heatherledge/core';
import type { SessionStatements } from './caller-request.js';

const READ_ONLY_PARAMETERS = new Set([
  'default_transaction_read_only',
  'transaction_read_only',
  'SESSION CHARACTERISTICS',
]);
/** Statements that forbid writes with these parameters. */
const FORBIDS_WRITES = /read\s+only|\b(on|true|yes|1)\b/i;

/** State that a caller's session keeps from one request to the next. */
export class CallerState {
  /** Log position that the session's next read must include. */
  position: SessionPosition | undefined;

  /** Maximum accepted staleness of data, in milliseconds. */
  maxAgeMs: number | undefined;

  /** Idempotency key under which the next transaction is recorded. */
  idempotencyKey: string | undefined;

  /** Prepared statements by the caller's names. */
  readonly statements: SessionStatements = new Map();

  /** Session parameters that the caller has set: SQL statement by name, in the order of the last SET. */
  private parameters: ReadonlyMap<string, string> = new Map();

  /** Whether the caller has opened its transaction as read-only. */
  isTransactionReadOnly = false;

  /** Parameters that a rollback of the open transaction restores. */
  private parametersAtBegin: ReadonlyMap<string, string> = new Map();

  /** Position that the caller has last been sent. */
  private reportedPosition: SessionPosition | undefined;

  /**
   * @param organisation - organisation that the session belongs to
   * @param group - group that serves the session
   * @param keyDigest - digest of the API key used to log in; undefined on an open route
   */
  constructor(
    readonly organisation: OrganisationId,
    readonly group: GroupId,
    readonly keyDigest: KeyDigest | undefined,
  ) {}

  /** @returns the parameters that hold for the next request; the key is removed */
  takeParameters(): Pick<CallerState, 'maxAgeMs' | 'idempotencyKey'> {
    const { maxAgeMs, idempotencyKey } = this;
    this.idempotencyKey = undefined;
    return { maxAgeMs, idempotencyKey };
  }

  /** @param position - a confirmed position that a response included */
  advancePosition(position: SessionPosition): void {
    this.position = mergePositions(this.position, position);
  }

  /** @returns the position if it has not been sent to the caller yet; marks it as sent */
  takeUnreportedPosition(): SessionPosition | undefined {
    const { position, reportedPosition } = this;
    const isReported =
      reportedPosition?.position === position?.position &&
      reportedPosition?.term === position?.term;
    if (isReported) return undefined;
    this.reportedPosition = position;
    return position;
  }

  /** @returns SQL statements that set this session's parameters on a connection, as one text */
  get parameterSql(): string {
    // A statement may end with a comment that extends to the end of its line.
    return [...this.parameters.values()].join('\n;');
  }

  /** @returns whether the caller has forbidden writes itself, so that their refusal is none by a replica */
  get isReadOnly(): boolean {
    if (this.isTransactionReadOnly) return true;
    return [...this.parameters].some(
      ([name, sql]) => READ_ONLY_PARAMETERS.has(name) && FORBIDS_WRITES.test(sql),
    );
  }

  /**
   * Keeps a session parameter.
   *
   * @param name - name of the parameter
   * @param sql - SQL statement that sets it
   */
  setParameter(name: string, sql: string): void {
    const others = [...this.parameters].filter(([other]) => other !== name);
    this.parameters = new Map([...others, [name, sql]]);
  }

  /** @param keptNames - parameters that stay set */
  resetParameters(keptNames: ReadonlySet<string>): void {
    this.parameters = new Map([...this.parameters].filter(([name]) => keptNames.has(name)));
  }

  /** Marks the parameters as those before a transaction. */
  saveParameters(): void {
    this.parametersAtBegin = this.parameters;
  }

  /** Returns to the parameters before the transaction. */
  restoreParameters(): void {
    this.parameters = this.parametersAtBegin;
  }
}
