/** HTTP side of an instance: administration API, metrics, health and state. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';

/** A request to the administration API. */
export interface AdminRequest {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** Bearer token shown, if any. */
  readonly token: string | undefined;
  readonly body: unknown;
}

/** An answer of the administration API. */
export interface AdminAnswer {
  readonly status: number;
  /** Sent as JSON, or as it is if it is text. */
  readonly body: unknown;
}

/** Answers a request. */
export type AdminHandler = (request: AdminRequest) => Promise<AdminAnswer>;

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const REQUEST_TIMEOUT_MS = 30_000;

/** Raised for bodies that are too large or no JSON. */
class BadBody extends Error {}

/** Serves the API; who may do what is the handler's matter. */
export class AdminServer {
  private readonly server: Server;

  constructor(private readonly handler: AdminHandler) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
    this.server.requestTimeout = REQUEST_TIMEOUT_MS;
  }

  /**
   * Starts to listen.
   *
   * @param host - address
   * @param port - port
   * @throws the system's error if the address is taken
   */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** Ends everything at once. */
  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const answer = await this.answer(request);
    const isText = typeof answer.body === 'string';
    response.statusCode = answer.status;
    response.setHeader('content-type', isText ? 'text/plain; version=0.0.4' : 'application/json');
    response.end(isText ? answer.body : `${JSON.stringify(answer.body)}\n`);
  }

  private async answer(request: IncomingMessage): Promise<AdminAnswer> {
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
      const status = error instanceof BadBody ? 400 : 500;
      return { status, body: { error: (error as Error).message } };
    }
  }
}

async function readBody(request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += (chunk as Buffer).length;
    if (size > BODY_LIMIT_BYTES) throw new BadBody('body is too large');
    chunks.push(chunk as Buffer);
  }
  if (size === 0) return undefined;
  try {
    return JSON.parse(Buffer.concat(chunks).toString('utf8')) as unknown;
  } catch {
    throw new BadBody('body is not JSON');
  }
}
