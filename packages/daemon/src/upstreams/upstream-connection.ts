/** One connection to a member, used by one request or transaction at a time. */
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

const MESSAGE_LIMIT_BYTES = 1024 * 1024 * 1024;

/** Where a member listens and as whom to log in. */
export interface UpstreamAddress {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly database: string;
}

/** Raised when a connection could not be opened or has ended. */
export class ConnectionLost extends Error {
  /**
   * @param reason - what happened
   * @param refused - whether the member's process is certainly not listening
   */
  constructor(
    readonly reason: string,
    readonly refused = false,
  ) {
    super(reason);
    this.name = 'ConnectionLost';
  }
}

/** Raised when a member answers a query of the proxy's own with an error. */
export class UpstreamFailure extends Error {
  constructor(readonly fields: ErrorFields) {
    super(fields.message);
    this.name = 'UpstreamFailure';
  }
}

/** Takes the messages of an answer. */
export interface AnswerSink {
  /**
   * @param frame - a message of the answer, ReadyForQuery excepted
   * @returns false if the connection should pause until {@link AnswerSink.drained}
   */
  take(frame: Frame): boolean;
  /** @returns a promise that resolves when more can be taken */
  drained(): Promise<void>;
}

interface Exchange {
  readonly sink: AnswerSink;
  readonly resolve: (status: TransactionStatus) => void;
  readonly reject: (error: Error) => void;
}

/** A connection that has logged in. */
export class UpstreamConnection {
  /** Prepared statements known to the member by their name there. */
  readonly preparedNames = new Set<string>();

  /** Session parameters last applied, as one text. */
  appliedParameters = '';

  private exchanges: Exchange[] = [];

  private lost: ConnectionLost | undefined;

  private readonly splitter = new FrameSplitter(MESSAGE_LIMIT_BYTES);

  private processId = 0;

  private secret = 0;

  private lastUsed = performance.now();

  private constructor(
    private readonly socket: Socket,
    readonly address: UpstreamAddress,
  ) {}

  /**
   * Opens a connection and logs in.
   *
   * @param address - where to and as whom
   * @param timeoutMs - longest wait, in milliseconds
   * @returns the connection, ready for a request
   * @throws ConnectionLost if it cannot be had in time
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

  /** @returns whether the connection can still be used */
  get isUsable(): boolean {
    return this.lost === undefined && this.exchanges.length === 0;
  }

  /** @returns bytes sent and received so far */
  get bytes(): number {
    return this.socket.bytesRead + this.socket.bytesWritten;
  }

  /** @returns milliseconds since the last message came */
  get idleMs(): number {
    return performance.now() - this.lastUsed;
  }

  /**
   * Sends messages that end with Query or Sync, and takes the answer up to ReadyForQuery.
   *
   * @param request - the messages
   * @param sink - takes the answer
   * @param timeoutMs - longest wait; then the connection is taken for silent, and ended
   * @returns the transaction's state afterwards
   * @throws ConnectionLost if the connection ends before that
   */
  async exchange(request: Buffer, sink: AnswerSink, timeoutMs: number): Promise<TransactionStatus> {
    if (this.lost !== undefined) throw this.lost;
    const silence = new ConnectionLost('no answer in time');
    const timer = setTimeout(() => this.fail(silence), timeoutMs);
    try {
      return await new Promise((resolve, reject) => {
        this.exchanges.push({ sink, resolve, reject });
        this.socket.write(request);
      });
    } finally {
      clearTimeout(timer);
    }
  }

  /**
   * Runs a query of the proxy's own.
   *
   * @param text - SQL text
   * @param timeoutMs - longest wait, in milliseconds
   * @returns the rows' values as text
   * @throws UpstreamFailure if the member answers with an error
   * @throws ConnectionLost if the connection ends
   */
  async query(text: string, timeoutMs = QUERY_TIMEOUT_MS): Promise<(string | null)[][]> {
    const rows: (string | null)[][] = [];
    let failure: ErrorFields | undefined;
    const sink: AnswerSink = {
      take: (frame) => {
        if (frame.type === BackendCode.DataRow) rows.push(parseDataRow(frame.bytes));
        if (frame.type === BackendCode.ErrorMessage) failure = parseErrorResponse(frame.bytes);
        return true;
      },
      drained: async () => {},
    };
    await this.exchange(serialize.query(text), sink, timeoutMs);
    if (failure !== undefined) throw new UpstreamFailure(failure);
    return rows;
  }

  /**
   * Asks one of the member's control functions.
   *
   * @param call - function call such as `heatherledge.status()`
   * @param timeoutMs - longest wait, in milliseconds
   * @returns its answer
   */
  async ask<Answer>(call: string, timeoutMs = QUERY_TIMEOUT_MS): Promise<Answer> {
    const rows = await this.query(`SELECT ${call}`, timeoutMs);
    return JSON.parse(rows[0]?.[0] ?? 'null') as Answer;
  }

  /** Asks the member to cancel what runs on this connection. */
  cancel(): void {
    const socket = connect({ host: this.address.host, port: this.address.port });
    socket.on('error', () => socket.destroy());
    socket.on('connect', () => socket.end(serialize.cancel(this.processId, this.secret)));
    socket.setTimeout(CANCEL_TIMEOUT_MS, () => socket.destroy());
  }

  /** Ends the connection; an open transaction is rolled back by the member. */
  close(): void {
    this.fail(new ConnectionLost('closed by the proxy'));
  }

  private async login(): Promise<void> {
    const { socket, address } = this;
    socket.on('data', (chunk) => this.receive(chunk));
    socket.on('error', (error) => {
      const refused = (error as NodeJS.ErrnoException).code === 'ECONNREFUSED';
      this.fail(new ConnectionLost(error.message, refused));
    });
    socket.on('close', () => this.fail(new ConnectionLost('connection closed by the member')));
    let failure: ErrorFields | undefined;
    const { user, database } = address;
    const startup = serialize.startup({ user, database, application_name: 'heatherledge' });
    const sink: AnswerSink = {
      take: (frame) => {
        if (frame.type === BackendCode.ErrorMessage) failure = parseErrorResponse(frame.bytes);
        if (frame.type === BackendCode.BackendKeyData) {
          this.processId = frame.bytes.readInt32BE(5);
          this.secret = frame.bytes.readInt32BE(9);
        }
        return true;
      },
      drained: async () => {},
    };
    const answer = this.exchange(startup, sink, LOGIN_TIMEOUT_MS);
    try {
      await answer;
    } catch (error) {
      throw failure === undefined ? error : new UpstreamFailure(failure);
    }
  }

  private receive(chunk: Buffer): void {
    this.lastUsed = performance.now();
    try {
      for (const frame of this.splitter.push(chunk)) this.deliver(frame);
    } catch (error) {
      this.fail(new ConnectionLost((error as Error).message));
    }
  }

  private deliver(frame: Frame): void {
    const exchange = this.exchanges[0];
    if (exchange === undefined) return;
    if (frame.type === BackendCode.ReadyForQuery) {
      this.exchanges.shift();
      exchange.resolve(parseReadyForQuery(frame.bytes));
      return;
    }
    if (exchange.sink.take(frame)) return;
    this.socket.pause();
    void exchange.sink.drained().then(() => this.socket.resume());
  }

  private fail(error: ConnectionLost): void {
    if (this.lost !== undefined) return;
    this.lost = error;
    this.socket.destroy();
    const { exchanges } = this;
    this.exchanges = [];
    for (const exchange of exchanges) exchange.reject(error);
  }
}

const CANCEL_TIMEOUT_MS = 1000;
/** Longest wait for the proxy's own short queries, in milliseconds. */
const QUERY_TIMEOUT_MS = 1000;
const LOGIN_TIMEOUT_MS = 5000;
