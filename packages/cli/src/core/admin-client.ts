/** Talks to the administration API, the tool's only way to the fleet. */
import { request } from 'undici';

/** Where the API is and who asks. */
export interface AdminTarget {
  readonly endpoint: string;
  readonly token: string | undefined;
}

/** An answer of the API. */
export interface AdminReply {
  readonly status: number;
  readonly body: unknown;
}

const TIMEOUT_MS = 30_000;

/** Sends requests to one instance. */
export class AdminClient {
  /** @param target - where the API is and who asks */
  constructor(private readonly target: AdminTarget) {}

  /**
   * @param path - path of the API
   * @returns the answer
   * @throws the system's error if the instance cannot be reached
   */
  async get(path: string): Promise<AdminReply> {
    return this.send('GET', path, undefined);
  }

  /**
   * @param path - path of the API
   * @param body - sent as JSON
   * @returns the answer
   * @throws the system's error if the instance cannot be reached
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
      signal: AbortSignal.timeout(TIMEOUT_MS),
    });
    return { status: response.statusCode, body: await response.body.json() };
  }
}
