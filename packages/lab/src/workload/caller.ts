import pg from 'pg';

/** Address, credentials and database of a connection. */
export interface CallerTarget {
  readonly host: string;
  readonly port: number;
  readonly user: string;
  readonly password: string;
  readonly database: string;
}

/** Outcome of a request as reported to the caller. */
export type CallerOutcome = 'done' | 'not-run' | 'unknown' | 'already-done';

/** Result of one request. */
export interface CallerResult {
  readonly outcome: CallerOutcome;
  readonly rows: readonly Record<string, unknown>[];
  /** SQLSTATE or system error code of a failed request. */
  readonly code?: string;
  readonly message?: string;
}

const POSITION_PARAMETER = 'heatherledge.position';
const ALREADY_DONE_SQLSTATE = 'LH001';
const CONNECT_TIMEOUT_MS = 5000;

/** The part of the `pg` connection that reports changed session parameters; its types omit it. */
interface ParameterStatusSource {
  on(
    event: string,
    listener: (message: { parameterName: string; parameterValue: string }) => void,
  ): void;
}

/** A caller's connection through a stock `pg` client, with the position of its session. */
export class Caller {
  /** Last position reported by an instance. */
  position = '';

  private readonly client: pg.Client;

  private broken = false;

  private constructor(target: CallerTarget, position: string) {
    this.position = position;
    this.client = new pg.Client({
      ...target,
      connectionTimeoutMillis: CONNECT_TIMEOUT_MS,
      options: position === '' ? undefined : `-c ${POSITION_PARAMETER}=${position}`,
    });
    this.client.on('error', () => {
      this.broken = true;
    });
    const { connection } = this.client as unknown as { connection: ParameterStatusSource };
    connection.on('parameterStatus', (message) => {
      if (message.parameterName === POSITION_PARAMETER) this.position = message.parameterValue;
    });
  }

  /**
   * Connects to an instance.
   *
   * @param target - address, credentials and database
   * @param position - position that reads must have reached, or an empty string
   * @returns the open connection
   */
  static async connect(target: CallerTarget, position = ''): Promise<Caller> {
    const caller = new Caller(target, position);
    await caller.client.connect();
    return caller;
  }

  /** @returns whether the connection has failed */
  get isBroken(): boolean {
    return this.broken;
  }

  /**
   * Runs one statement.
   *
   * @param text - SQL text
   * @param values - parameters
   * @returns rows, or the outcome that the error reports
   */
  async run(text: string, values: unknown[] = []): Promise<CallerResult> {
    try {
      const result = await this.client.query(text, values);
      return { outcome: 'done', rows: result.rows as Record<string, unknown>[] };
    } catch (error) {
      return this.createErrorResult(error as { code?: string; detail?: string; message: string });
    }
  }

  /** Closes the connection. */
  async end(): Promise<void> {
    await this.client.end().catch(() => {});
  }

  private createErrorResult(error: {
    code?: string;
    detail?: string;
    message: string;
  }): CallerResult {
    const { code, detail = '', message } = error;
    if (code === ALREADY_DONE_SQLSTATE) return { outcome: 'already-done', rows: [], code };
    // Without a response from the proxy the outcome is unknown. An SQLSTATE without detail is an
    // error of the database itself, after which nothing was run.
    const hasSqlState = code !== undefined && /^[0-9A-Z]{5}$/.test(code);
    if (!hasSqlState) this.broken = true;
    const isOutcomeUnknown = !hasSqlState || detail.includes('unknown');
    return { outcome: isOutcomeUnknown ? 'unknown' : 'not-run', rows: [], code, message };
  }
}
