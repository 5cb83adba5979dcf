import { connect, type Socket } from 'node:net';
import {
  BackendCode,
  type ErrorFields,
  type Frame,
  FrameSplitter,
  parseDataRow,
  parseErrorResponse,
  parseReadyForQuery,
  type TransactionStatus,
} from '@heatherledge/wire';
import { serialize } from 'pg-protocol';
import { PreparedStatements } from './prepared-statements.js';

const MAX_MESSAGE_BYTES = 1024 * 1024 * 1024;

/** Address of a member, with the user and database to log in with. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly database: string;
}

/** Thrown if a connection could not be opened or was lost. */
export class ConnectionLost extends Error {
  /**
   * @param reason - why the connection was lost
   * @param refused - whether the connection was refused, so that no process listens at the address
   */
  constructor(
    readonly reason: string,
    readonly refused = false,
  ) {
    super(reason);
    this.name = 'ConnectionLost';
  }
}

/** Thrown if a member responds with an error to a login or to a query of the proxy itself. */
export class UpstreamFailure extends Error {
  constructor(readonly fields: ErrorFields) {
    super(fields.message);
    this.name = 'UpstreamFailure';
  }
}

/** Receives the messages of a response. */
export interface ResponseSink {
  /**
   * @param frame - a message of the response, except ReadyForQuery
   * @returns false to pause the connection until {@link ResponseSink.waitForDrain} resolves
   */
  writeFrame(frame: Frame): boolean;
  /** Waits until more messages can be received. */
  waitForDrain(): Promise<void>;
}

interface Exchange {
  readonly sink: ResponseSink;
  readonly resolve: (status: TransactionStatus) => void;
  readonly reject: (error: Error) => void;
}

/** A connection to a member, used by one request or transaction at a time. */
export class UpstreamConnection {
  /** Prepared statements that exist on the connection. */
  readonly prepared = new PreparedStatements();

  /** Session parameters that are in force, as one SQL text; undefined if a statement may have set others. */
  appliedParameters: string | undefined = '';

  private unknownScopeCount = 0;

  private pendingExchanges: Exchange[] = [];

  private lostError: ConnectionLost | undefined;

  private readonly splitter = new FrameSplitter(MAX_MESSAGE_BYTES);

  private processId = 0;

  private secretKey = 0;

  private lastReceivedAt = performance.now();

  private constructor(
    private readonly socket: Socket,
    readonly address: UpstreamAddress,
  ) {}

  /**
   * Opens a connection and logs in.
   *
   * @param address - address, user and database
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns the connection, ready for a request
   * @throws ConnectionLost if the login does not complete in time
   * @throws UpstreamFailure if the member responds with an error
   */
  static async open(address: UpstreamAddress, timeoutMs: number): Promise<UpstreamConnection> {
    const socket = connect({ host: address.host, port: address.port, noDelay: true });
    const connection = new UpstreamConnection(socket, address);
    const timer = setTimeout(() => socket.destroy(new Error('no answer in time')), timeoutMs);
    try {
      await connection.login();
      return connection;
    } finally {
      clearTimeout(timer);
    }
  }

  /** @returns text that identifies the session parameters in force */
  get parameterScope(): string {
    return this.appliedParameters ?? `unknown ${this.unknownScopeCount}`;
  }

  /** Notes that a statement may set session parameters, so that they are reset before the next session. */
  markParametersUnknown(): void {
    this.appliedParameters = undefined;
    this.unknownScopeCount += 1;
  }

  /** @returns whether the connection is open and no request runs on it */
  get isUsable(): boolean {
    return this.lostError === undefined && this.pendingExchanges.length === 0;
  }

  /** @returns bytes sent and received */
  get bytesTransferred(): number {
    return this.socket.bytesRead + this.socket.bytesWritten;
  }

  /** @returns time since data were last received, in milliseconds */
  get idleMs(): number {
    return performance.now() - this.lastReceivedAt;
  }

  /**
   * Sends messages that end with Query or Sync, and receives the response up to ReadyForQuery.
   *
   * @param request - the messages
   * @param sink - receives the response
   * @param timeoutMs - maximum wait in milliseconds, after which the connection is closed
   * @returns the transaction's status after the response
   * @throws ConnectionLost if the connection is lost first
   */
  async exchange(
    request: Buffer,
    sink: ResponseSink,
    timeoutMs: number,
  ): Promise<TransactionStatus> {
    if (this.lostError !== undefined) throw this.lostError;
    const timeoutError = new ConnectionLost('no answer in time');
    const timer = setTimeout(() => this.closeWithError(timeoutError), timeoutMs);
    try {
      return await new Promise((resolve, reject) => {
        this.pendingExchanges.push({ sink, resolve, reject });
        this.socket.write(request);
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Runs a query of the proxy itself.
   *
   * @param text - SQL text
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns the rows' values as text
   * @throws UpstreamFailure if the member responds with an error
   * @throws ConnectionLost if the connection is lost
   */
  async query(text: string, timeoutMs = QUERY_TIMEOUT_MS): Promise<(string | null)[][]> {
    const rows: (string | null)[][] = [];
    let failure: ErrorFields | undefined;
    const sink: ResponseSink = {
      writeFrame: (frame) => {
        if (frame.type === BackendCode.DataRow) rows.push(parseDataRow(frame.bytes));
        if (frame.type === BackendCode.ErrorMessage) failure = parseErrorResponse(frame.bytes);
        return true;
      },
      waitForDrain: async () => {},
    };
    await this.exchange(serialize.query(text), sink, timeoutMs);
    if (failure !== undefined) throw new UpstreamFailure(failure);
    return rows;
  }

  /**
   * Calls one of the member's control functions.
   *
   * @param call - SQL function call such as `heatherledge.status()`
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns its result, parsed from JSON
   */
  async callFunction<Result>(call: string, timeoutMs = QUERY_TIMEOUT_MS): Promise<Result> {
    const rows = await this.query(`SELECT ${call}`, timeoutMs);
    return JSON.parse(rows[0]?.[0] ?? 'null') as Result;
  }

  /** Requests, over a separate connection, that the member cancel what runs on this one. */
  cancel(): void {
    const socket = connect({ host: this.address.host, port: this.address.port });
    socket.on('error', () => socket.destroy());
    socket.on('connect', () => socket.end(serialize.cancel(this.processId, this.secretKey)));
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => socket.destroy());
  }

  /** Closes the connection; the member rolls back an open transaction. */
  close(): void {
    this.closeWithError(new ConnectionLost('closed by the proxy'));
  }

  private async login(): Promise<void> {
    const { socket, address } = this;
    socket.on('data', (chunk) => this.handleData(chunk));
    socket.on('error', (error) => {
      const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      this.closeWithError(new ConnectionLost(error.message, refused));
    });
    socket.on('close', () =>
      this.closeWithError(new ConnectionLost('connection closed by the member')),
    );
    let failure: ErrorFields | undefined;
    const { user, database } = address;
    const startup = serialize.startup({ user, database, application_name: 'heatherledge' });
    const sink: ResponseSink = {
      writeFrame: (frame) => {
        if (frame.type === BackendCode.ErrorMessage) failure = parseErrorResponse(frame.bytes);
        if (frame.type === BackendCode.BackendKeyData) {
          this.processId = frame.bytes.readInt32BE(5);
          this.secretKey = frame.bytes.readInt32BE(9);
        }
        return true;
      },
      waitForDrain: async () => {},
    };
    const loginExchange = this.exchange(startup, sink, LOGIN_TIMEOUT_MS);
    try {
      await loginExchange;
    } catch (error) {
      throw failure === undefined ? error : new UpstreamFailure(failure);
    }
  }

  private handleData(chunk: Buffer): void {
    this.lastReceivedAt = performance.now();
    try {
      for (const frame of this.splitter.push(chunk)) this.handleFrame(frame);
    } catch (error) {
      this.closeWithError(new ConnectionLost((error as Error).message));
    }
  }

  private handleFrame(frame: Frame): void {
    const exchange = this.pendingExchanges[0];
    if (exchange === undefined) return;
    if (frame.type === BackendCode.ReadyForQuery) {
      this.pendingExchanges.shift();
      exchange.resolve(parseReadyForQuery(frame.bytes));
      return;
    }
    if (exchange.sink.writeFrame(frame)) return;
    this.socket.pause();
    void exchange.sink.waitForDrain().then(() => this.socket.resume());
  }

  private closeWithError(error: ConnectionLost): void {
    if (this.lostError !== undefined) return;
    this.lostError = error;
    this.socket.destroy();
    const { pendingExchanges: exchanges } = this;
    this.pendingExchanges = [];
    for (const exchange of exchanges) exchange.reject(error);
  }
}

const CANCEL_TIMEOUT_MS = 1000;
/** Timeout of the proxy's own short queries. */
const QUERY_TIMEOUT_MS = 1000;
const LOGIN_TIMEOUT_MS = 5000;
