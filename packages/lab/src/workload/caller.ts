/** A stock `pg` client, with the few things that callers of the proxy do. */
import pg from 'pg';

/** Where and as whom to connect. */
export interface CallerTarget {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** How a request ended, as far as the caller was told. */
export type CallerOutcome = 'done' | 'not-run' | 'unknown' | 'already-done';

/** Result of one request. */
export interface CallerResult {
  readonly outcome: CallerOutcome;
  readonly rows: readonly Record<string, unknown>[];
  readonly code?: string;
  readonly message?: string;
}

const POSITION = 'heatherledge.position';
const ALREADY_DONE = 'LH001';
const CONNECT_TIMEOUT_MS = 5000;

interface RawConnection {
  on(
    event: string,
    listener: (message: { parameterName: string; parameterValue: string }) => void,
  ): void;
}

/** One connection of a caller. */
export class Caller {
  /** Position last told by an instance. */
  position = '';

  private readonly client: pg.Client;

  private broken = false;

  private constructor(target: CallerTarget, position: string) {
    this.position = position;
    this.client = new pg.Client({
      ...target,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      options: position === '' ? undefined : `-c ${POSITION}=${position}`,
    });
    this.client.on('error', () => {
      this.broken = true;
    });
    const { connection } = this.client as unknown as { connection: RawConnection };
    connection.on('parameterStatus', (message) => {
      if (message.parameterName === POSITION) this.position = message.parameterValue;
    });
  }

  /**
   * @param target - where and as whom to connect
   * @param position - position to show, or an empty text
   * @returns the connection
   */
  static async connect(target: CallerTarget, position = ''): Promise<Caller> {
    const caller = new Caller(target, position);
    await caller.client.connect();
    return caller;
  }

  /** @returns whether the connection has ended */
  get isBroken(): boolean {
    return this.broken;
  }

  /**
   * @param text - SQL text
   * @param values - parameters
   * @returns what the caller was told
   */
  async run(text: string, values: unknown[] = []): Promise<CallerResult> {
    try {
      const result = await this.client.query(text, values);
      return { outcome: 'done', rows: result.rows as Record<string, unknown>[] };
    } catch (error) {
      return this.toResult(error as { code?: string; detail?: string; message: string });
    }
  }

  /** Ends the connection. */
  async end(): Promise<void> {
    await this.client.end().catch(() => {});
  }

  private toResult(error: { code?: string; detail?: string; message: string }): CallerResult {
    const { code, detail = '', message } = error;
    if (code === ALREADY_DONE) return { outcome: 'already-done', rows: [], code };
    // Without an answer from the proxy a caller cannot tell; an SQLSTATE with no detail is the
    // database's own refusal, after which nothing was run.
    const isAnswer = code !== undefined && /^[0-9A-Z]{5}$/.test(code);
    if (!isAnswer) this.broken = true;
    const isUnknown = !isAnswer || detail.includes('unknown');
    return { outcome: isUnknown ? 'unknown' : 'not-run', rows: [], code, message };
  }
}
