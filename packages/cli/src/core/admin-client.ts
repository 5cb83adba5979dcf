import { request } from 'undici';

/** Address and credential for the administration API. */
export interface AdminTarget {
  /** Base URL of the API. */
  readonly endpoint: string;
  /** Bearer token; undefined sends no credential. */
  readonly token: string | undefined;
}

/** A reply of the administration API. */
export interface AdminReply {
  /** HTTP status. */
  readonly status: number;
  /** The decoded JSON body. */
  readonly body: unknown;
}

const REQUEST_TIMEOUT_MS = 30_000;

/** Errors of a connection that was never established, so that the request was not sent. */
const NOT_SENT_CODES = new Set(['ECONNREFUSED', 'ENOTFOUND', 'UND_ERR_CONNECT_TIMEOUT']);

/** A change was sent, and no reply tells whether it was accepted. */
export class OutcomeUnknownError extends Error {}

/**
 * Sends requests to the administration API of one instance. The command line reaches the fleet only
 * through this API.
 */
export class AdminClient {
  /** @param target - address and credential */
  constructor(private readonly target: AdminTarget) {}

  /**
   * Sends a GET request.
   *
   * @param path - path and query of the request
   * @returns the reply, whatever its status
   * @throws the HTTP client's error if the instance cannot be reached or does not reply in time
   */
  async get(path: string): Promise<AdminReply> {
    return this.send('GET', path, undefined);
  }

  /**
   * Sends a POST request.
   *
   * @param path - path of the request
   * @param body - body of the request, sent as JSON
   * @returns the reply, whatever its status
   * @throws the HTTP client's error if the request was not sent, or {@link OutcomeUnknownError} if it
   *   was sent and has no reply
   */
  async post(path: string, body: object): Promise<AdminReply> {
    try {
      return await this.send('POST', path, body);
    } catch (error) {
      if (NOT_SENT_CODES.has((error as NodeJS.ErrnoException).code ?? '')) throw error;
      const reason = error instanceof Error ? error.message : String(error);
      throw new OutcomeUnknownError(`it is not known whether the change was accepted: ${reason}`, {
        cause: error,
      });
    }
  }

  private async send(
    method: 'GET' | 'POST',
    path: string,
    body: object | undefined,
  ): Promise<AdminReply> {
    const { endpoint, token } = this.target;
    const response = await request(`${endpoint}${path}`, {
      method,
      headers: token === undefined ? {} : { authorization: `Bearer ${token}` },
      body: body === undefined ? undefined : JSON.stringify(body),
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  }
}
