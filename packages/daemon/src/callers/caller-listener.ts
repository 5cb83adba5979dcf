import { randomInt } from 'node:crypto';
import { createServer, type Server } from 'node:net';
import type { SecureContext } from 'node:tls';
import type { InstanceId } from '@heatherledge/core';
import { delay } from '../runtime/system-clock.js';
import {
  CallerConnection,
  type CallerConnectionOptions,
  type CallerRegistry,
} from './caller-connection.js';
import type { ServingContext } from './serving-context.js';

/** Process id and secret that a CancelRequest has to show to cancel the connection's session. */
interface CancelRegistration {
  readonly connection: CallerConnection;
  readonly secret: number;
}

const DRAIN_POLL_INTERVAL_MS = 20;
/**
 * Sessions that were active within this time stay open while draining, because their callers may be
 * about to send another request.
 */
const MIN_SESSION_IDLE_MS = 500;
/** Time after which draining ends every idle session, even if it was active recently. */
const MAX_SESSION_IDLE_WAIT_MS = 3000;
const MAX_INT32 = 2_147_483_647;

/** Accepts callers' connections and tracks them until they close. */
export class CallerListener implements CallerRegistry {
  private readonly server: Server;

  private readonly connections = new Set<CallerConnection>();

  private readonly registrationsByProcessId = new Map<number, CancelRegistration>();

  private readonly processIdsByConnection = new WeakMap<CallerConnection, number>();

  private nextProcessId = randomInt(1, 2 ** 30);

  private stopping = false;

  private tls: SecureContext | undefined;

  constructor(
    readonly context: ServingContext,
    readonly options: CallerConnectionOptions,
    readonly instance: InstanceId,
  ) {
    this.server = createServer((socket) => {
      this.connections.add(new CallerConnection(socket, this));
    });
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  get connectionCount(): number {
    return this.connections.size;
  }

  /**
   * Starts listening.
   *
   * @param host - address to bind to
   * @param port - port to bind to
   * @throws the operating system's error if the address cannot be bound
   */
  async start(host: string, port: number): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** @param context - certificate and key for new connections; undefined if encryption is not offered */
  setSecureContext(context: SecureContext | undefined): void {
    this.tls = context;
  }

  getSecureContext(): SecureContext | undefined {
    return this.tls;
  }

  register(connection: CallerConnection): { processId: number; secret: number } {
    const processId = this.nextProcessId;
    this.nextProcessId = (this.nextProcessId % MAX_INT32) + 1;
    const secret = randomInt(0, MAX_INT32);
    this.registrationsByProcessId.set(processId, { connection, secret });
    this.processIdsByConnection.set(connection, processId);
    return { processId, secret };
  }

  cancel(processId: number, secret: number): void {
    const registration = this.registrationsByProcessId.get(processId);
    if (registration?.secret === secret) registration.connection.session?.cancel();
  }

  unregister(connection: CallerConnection): void {
    this.connections.delete(connection);
    const processId = this.processIdsByConnection.get(connection);
    if (processId !== undefined) this.registrationsByProcessId.delete(processId);
  }

  /** Ends sessions without a running request whose key is no longer valid. */
  recheckKeys(): void {
    for (const { session } of this.connections) session?.recheckKey();
  }

  /**
   * Refuses new sessions and ends the existing ones once they are idle.
   *
   * @param waitMs - maximum wait for running requests and open transactions, in milliseconds
   */
  async drain(waitMs: number): Promise<void> {
    this.stopping = true;
    const startedAt = performance.now();
    const deadline = startedAt + waitMs;
    while (this.connections.size > 0 && performance.now() < deadline) {
      const isLate = performance.now() - startedAt >= MAX_SESSION_IDLE_WAIT_MS;
      for (const { session } of this.connections) session?.stop(isLate ? 0 : MIN_SESSION_IDLE_MS);
      await delay(DRAIN_POLL_INTERVAL_MS);
    }
  }

  /** Stops listening and closes the remaining connections. */
  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.close();
  }
}
