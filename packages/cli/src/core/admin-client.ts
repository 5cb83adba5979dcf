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
   * @throws the HTTP client's error if the instance cannot be reached or does not reply in time
   */
  async post(path: string, body: object): Promise<AdminReply> {
    return this.send('POST', path, body);
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
