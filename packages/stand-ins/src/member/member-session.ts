import type { Socket } from 'node:net';
import {
  BackendCode,
  type Frame,
  FrameSplitter,
  FrontendCode,
  createAuthenticationOk,
  createBackendKeyData,
  createCommandComplete,
  createDataRow,
  createEmptyMessage,
  createErrorResponse,
  createParameterDescription,
  createParameterStatus,
  createReadyForQuery,
  createRowDescription,
  parseBindMessage,
  parseBindValues,
  parseMessageTarget,
  parseParseMessage,
  parseStartup,
  parseText,
  type TransactionStatus,
} from '@heatherledge/wire';
import { runControl } from './control-functions.js';
import { CONTROL_USER } from './member-config.js';
import type { Member, WriteTransaction } from './member.js';
import { SessionParameters } from './session-parameters.js';
import type { ResultColumn, StatementResult } from './sql/execute-select.js';
import {
  countParameters,
  describeStatement,
  executeStatement,
  parseStatements,
  type Statement,
} from './sql/statement.js';
import type { TableOverlay } from './sql/table-store.js';
import { formatValue, SqlError, type SqlValue, TYPE_OIDS } from './sql/values.js';

const MAX_MESSAGE_BYTES = 64 * 1024 * 1024;
/** Size of a chunk of rows, after which the session waits for the socket to drain. */
const WRITE_CHUNK_BYTES = 64 * 1024;

/** The server's services to a session. */
export interface SessionHost {
  readonly member: Member;
  /**
   * Counts a new session against its connection limit.
   *
   * @param isControl - whether the session uses the reserved connections
   * @returns whether the session may start
   */
  admitSession(isControl: boolean): boolean;
  /** Delay before a session is ready, in milliseconds. */
  readonly connectMs: number;
}

interface Portal {
  readonly statement: Statement | undefined;
  readonly params: readonly SqlValue[];
}

/** A session over PostgreSQL's protocol; messages are handled one at a time, in order. */
export class MemberSession {
  isControl = false;

  /** Drops all received bytes, as when a firewall on the path has lost the connection's state. */
  isSilent = false;

  private readonly splitter = new FrameSplitter(MAX_MESSAGE_BYTES);

  /** Bytes received before the startup message is complete; undefined afterwards. */
  private startupBytes: Buffer | undefined = Buffer.alloc(0);

  private pendingWork: Promise<void> = Promise.resolve();

  private readonly statements = new Map<string, Statement | undefined>();

  private readonly portals = new Map<string, Portal>();

  private readonly parameters = new SessionParameters();

  private isInTransactionBlock = false;

  private isTransactionFailed = false;

  private skipToSync = false;

  private writeTransaction: WriteTransaction | undefined;

  constructor(
    private readonly socket: Socket,
    private readonly host: SessionHost,
    private readonly onEnd: (session: MemberSession) => void,
  ) {
    socket.setNoDelay(true);
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose());
  }

  /** Closes the connection without an error message, as a restarting server does. */
  kill(): void {
    this.socket.destroy();
  }

  private handleClose(): void {
    this.rollbackTransaction();
    this.onEnd(this);
  }

  private receive(chunk: Buffer): void {
    if (this.isSilent) return;
    if (this.startupBytes !== undefined) {
      this.startupBytes = Buffer.concat([this.startupBytes, chunk]);
      this.pendingWork = this.pendingWork.then(() => this.readStartup());
      return;
    }
    try {
      for (const frame of this.splitter.push(chunk)) {
        this.pendingWork = this.pendingWork.then(() => this.handleFrame(frame));
      }
    } catch {
      this.socket.destroy();
    }
  }

  private async readStartup(): Promise<void> {
    const packet = this.startupBytes;
    if (packet === undefined || packet.length < 8) return;
    const size = packet.readInt32BE(0);
    if (packet.length < size) return;
    const request = parseStartup(packet.subarray(0, size));
    if (request.kind === 'tls' || request.kind === 'gss') {
      this.startupBytes = packet.subarray(size);
      this.socket.write('N');
      return;
    }
    if (request.kind !== 'startup') {
      this.socket.destroy();
      return;
    }
    this.startupBytes = undefined;
    await this.completeStartup(request.parameters.get('user') === CONTROL_USER);
    if (packet.length > size) this.receive(packet.subarray(size));
  }

  private async completeStartup(isControl: boolean): Promise<void> {
    this.isControl = isControl;
    if (!this.host.admitSession(isControl)) {
      const error = createErrorResponse({
        severity: 'FATAL',
        code: '53300',
        message: 'sorry, too many clients already',
      });
      this.socket.end(error);
      return;
    }
    await delay(this.host.connectMs);
    this.socket.write(
      Buffer.concat([
        createAuthenticationOk(),
        createParameterStatus('server_version', '16.0'),
        createParameterStatus('client_encoding', 'UTF8'),
        createParameterStatus('server_encoding', 'UTF8'),
        createParameterStatus('standard_conforming_strings', 'on'),
        createParameterStatus('DateStyle', 'ISO, MDY'),
        createParameterStatus('integer_datetimes', 'on'),
        createBackendKeyData(1, 1),
        createReadyForQuery('idle'),
      ]),
    );
  }

  private async handleFrame(frame: Frame): Promise<void> {
    if (this.skipToSync && frame.type !== FrontendCode.Sync) return;
    try {
      await this.dispatchFrame(frame);
    } catch (error) {
      this.sendError(error);
      if (frame.type === FrontendCode.Query) this.sendReady();
      else this.skipToSync = true;
    }
  }

  private async dispatchFrame({ type, bytes }: Frame): Promise<void> {
    switch (type) {
      case FrontendCode.Query:
        await this.runSimpleQuery(parseText(bytes));
        break;
      case FrontendCode.Parse:
        this.parse(bytes);
        break;
      case FrontendCode.Bind:
        this.bind(bytes);
        break;
      case FrontendCode.Describe:
        this.describe(bytes);
        break;
      case FrontendCode.Execute:
        await this.execute(bytes);
        break;
      case FrontendCode.Close:
        this.close(bytes);
        break;
      case FrontendCode.Sync:
        this.skipToSync = false;
        if (!this.isInTransactionBlock) this.rollbackTransaction();
        this.sendReady();
        break;
      case FrontendCode.Terminate:
        this.socket.end();
        break;
      default:
        break;
    }
  }

  private async runSimpleQuery(text: string): Promise<void> {
    const statements = parseStatements(text);
    if (statements.length === 0) this.socket.write(createEmptyMessage(BackendCode.EmptyQuery));
    for (const statement of statements) {
      const result = await this.run(statement, []);
      if (result.columns) this.socket.write(createRowDescription(describeColumns(result.columns)));
      await this.sendRows(result);
    }
    this.sendReady();
  }

  private parse(bytes: Buffer): void {
    const { name, text } = parseParseMessage(bytes);
    const statements = parseStatements(text);
    if (statements.length > 1) throw new SqlError('42601', 'one statement at a time');
    if (name !== '' && this.statements.has(name)) {
      throw new SqlError('42P05', `prepared statement "${name}" already exists`);
    }
    this.statements.set(name, statements[0]);
    this.socket.write(createEmptyMessage(BackendCode.ParseComplete));
  }

  private bind(bytes: Buffer): void {
    const message = parseBindMessage(bytes);
    if (!this.statements.has(message.statement)) {
      throw new SqlError('26000', `prepared statement "${message.statement}" does not exist`);
    }
    const statement = this.statements.get(message.statement);
    this.portals.set(message.portal, { statement, params: parseBindValues(message) });
    this.socket.write(createEmptyMessage(BackendCode.BindComplete));
  }

  private describe(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    const statement =
      kind === 'statement' ? this.statements.get(name) : this.portals.get(name)?.statement;
    if (kind === 'statement') {
      const count = statement === undefined ? 0 : countParameters(statement);
      const types = new Array<number>(count).fill(TYPE_OIDS.text);
      this.socket.write(createParameterDescription(types));
    }
    const columns = statement && describeStatement(statement, this.tables);
    if (columns) this.socket.write(createRowDescription(describeColumns(columns)));
    else this.socket.write(createEmptyMessage(BackendCode.NoData));
  }

  private async execute(bytes: Buffer): Promise<void> {
    const name = bytes.toString('utf8', 5, bytes.indexOf(0, 5));
    const portal = this.portals.get(name);
    if (portal === undefined) throw new SqlError('34000', `portal "${name}" does not exist`);
    if (portal.statement === undefined) {
      this.socket.write(createEmptyMessage(BackendCode.EmptyQuery));
      return;
    }
    await this.sendRows(await this.run(portal.statement, portal.params));
  }

  private close(bytes: Buffer): void {
    const { kind, name } = parseMessageTarget(bytes);
    if (kind === 'statement') this.statements.delete(name);
    else this.portals.delete(name);
    this.socket.write(createEmptyMessage(BackendCode.CloseComplete));
  }

  private async run(statement: Statement, params: readonly SqlValue[]): Promise<StatementResult> {
    if (this.isTransactionFailed && statement.kind !== 'rollback' && statement.kind !== 'commit') {
      throw new SqlError('25P02', 'current transaction is aborted');
    }
    switch (statement.kind) {
      case 'begin':
        this.isInTransactionBlock = true;
        this.parameters.begin(statement);
        return { tag: 'BEGIN', rows: [] };
      case 'commit':
        return this.commit();
      case 'rollback':
        this.rollbackTransaction();
        return { tag: 'ROLLBACK', rows: [] };
      case 'control':
        return runControl(this.host.member, statement, params);
      case 'session':
        return this.parameters.execute(statement, params, this.isInTransactionBlock);
      case 'read':
        await sleepIfRequested(statement);
        return executeStatement(statement, { params, tables: this.tables });
      default:
        return this.runWrite(statement, params);
    }
  }

  private async runWrite(
    statement: Statement,
    params: readonly SqlValue[],
  ): Promise<StatementResult> {
    if (this.parameters.isReadOnly) {
      throw new SqlError('25006', 'cannot execute in a read-only transaction');
    }
    this.writeTransaction ??= await this.host.member.beginWrite();
    if (this.socket.destroyed) {
      this.rollbackTransaction();
      throw new SqlError('57P01', 'session has ended');
    }
    const isLockingRead = statement.nodeType === 'SelectStmt';
    const runnable = isLockingRead ? { ...statement, kind: 'read' as const } : statement;
    const result = executeStatement(runnable, { params, tables: this.writeTransaction.overlay });
    if (!this.isInTransactionBlock) this.commitWrite();
    return result;
  }

  private commit(): StatementResult {
    if (this.isTransactionFailed) {
      this.rollbackTransaction();
      return { tag: 'ROLLBACK', rows: [] };
    }
    this.isInTransactionBlock = false;
    this.parameters.commit();
    this.commitWrite();
    return { tag: 'COMMIT', rows: [] };
  }

  private commitWrite(): void {
    const { writeTransaction } = this;
    this.writeTransaction = undefined;
    if (writeTransaction !== undefined) this.host.member.commit(writeTransaction);
  }

  private rollbackTransaction(): void {
    this.parameters.rollback();
    this.isInTransactionBlock = false;
    this.isTransactionFailed = false;
    if (this.writeTransaction !== undefined) this.host.member.rollback(this.writeTransaction);
    this.writeTransaction = undefined;
  }

  private sendError(error: unknown): void {
    const sqlError =
      error instanceof SqlError ? error : new SqlError('XX000', (error as Error).message);
    if (this.isInTransactionBlock) this.isTransactionFailed = true;
    else this.rollbackTransaction();
    this.socket.write(createErrorResponse({ code: sqlError.code, message: sqlError.message }));
  }

  private async sendRows(result: StatementResult): Promise<void> {
    let chunk: Buffer[] = [];
    let size = 0;
    for (const row of result.rows) {
      if (!result.columns) break;
      const bytes = createDataRow(row.map(formatValue));
      chunk.push(bytes);
      size += bytes.length;
      if (size >= WRITE_CHUNK_BYTES) {
        await this.writeAndDrain(Buffer.concat(chunk));
        chunk = [];
        size = 0;
      }
    }
    chunk.push(createCommandComplete(result.tag));
    this.socket.write(Buffer.concat(chunk));
  }

  private async writeAndDrain(bytes: Buffer): Promise<void> {
    if (this.socket.write(bytes) || this.socket.destroyed) return;
    await new Promise<void>((resolve) => {
      const onWritable = (): void => {
        this.socket.off('drain', onWritable);
        this.socket.off('close', onWritable);
        resolve();
      };
      this.socket.on('drain', onWritable);
      this.socket.on('close', onWritable);
    });
  }

  private sendReady(): void {
    this.socket.write(createReadyForQuery(this.transactionStatus));
  }

  private get transactionStatus(): TransactionStatus {
    if (this.isTransactionFailed) return 'failed';
    return this.isInTransactionBlock ? 'transaction' : 'idle';
  }

  private get tables(): TableOverlay {
    return this.writeTransaction?.overlay ?? this.host.member.createReader();
  }
}

function describeColumns(columns: readonly ResultColumn[]): { name: string; typeOid: number }[] {
  return columns.map(({ name, type }) => ({ name, typeOid: TYPE_OIDS[type] }));
}

async function sleepIfRequested(statement: Statement): Promise<void> {
  const call = statement.body.targetList?.[0]?.ResTarget?.val?.FuncCall;
  if (call?.funcname.at(-1).String.sval !== 'pg_sleep') return;
  const constant = call.args[0].A_Const;
  await delay(Number(constant?.fval?.fval ?? constant?.ival?.ival ?? 0) * 1000);
}

async function delay(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
