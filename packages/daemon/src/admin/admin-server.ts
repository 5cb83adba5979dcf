import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** A request to the administration API. */
export interface AdminRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** Bearer token of the `Authorization` header, if any. */
  readonly token: string | undefined;
  /** Parsed JSON body, if any. */
  readonly body: unknown;
}

/** A response of the administration API. */
export interface AdminResponse {
  readonly status: number;
  /** Sent unchanged if it is a string, otherwise as JSON. */
  readonly body: unknown;
}

/** Handles a request; an error that it throws is sent with status 500. */
export type AdminHandler = (request: AdminRequest) => Promise<AdminResponse>;

const MAX_BODY_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 30_000;

/** The body of a request is too large or not JSON. */
class InvalidBodyError extends Error {}

/**
 * HTTP server of an instance: administration API, metrics, health and state. Authorization is left
 * to the handler.
 */
export class AdminServer {
  private readonly server: Server;

  constructor(private readonly handler: AdminHandler) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
  }

  /**
   * Starts listening.
   *
   * @param host - address to listen on
   * @param port - port to listen on
   * @throws the system's error if the address is in use
   */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Stops listening and closes all connections at once. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const result = await this.runHandler(request);
    const isText = typeof result.body === 'string';
    response.statusCode = result.status;
    response.setHeader('content-type', isText ? 'text/plain; version=0.0.4' : 'application/json');
    response.end(isText ? result.body : `${JSON.stringify(result.body)}\n`);
  }

  private async runHandler(request: IncomingMessage): Promise<AdminResponse> {
    try {
      const url = new URL(request.url ?? '/', 'http://localhost');
      const authorization = request.headers.authorization ?? '';
      const token = /^Bearer (\S+)$/.exec(authorization)?.[1];
      return await this.handler({
        method: request.method ?? 'GET',
        path: url.pathname,
        query: url.searchParams,
        token,
        body: await readBody(request),
      });
    } catch (error) {
      const status = error instanceof InvalidBodyError ? 400 : 500;
      return { status, body: { error: (error as Error).message } };
    }
  }
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > MAX_BODY_BYTES) throw new InvalidBodyError('body is too large');
    chunks.push(chunk as Buffer);
  }
  if (size === 0) return undefined;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    throw new InvalidBodyError('body is not JSON');
  }
}
