/** Listens for callers and knows their sessions. */
import { randomInt } from 'node:crypto';
import { createServer, type Server } from 'node:net';
import type { SecureContext } from 'node:tls';
import type { InstanceId } from '@heatherledge/core';
import { delay } from '../runtime/system-clock.js';
import { CallerConnection, type CallerRules, type ConnectionOwner } from './caller-connection.js';
import type { ServingContext } from './serving-context.js';

interface Registration {
  readonly connection: CallerConnection;
  readonly secret: number;
}

const DRAIN_STEP_MS = 20;
/** A caller that was heard within this time may be about to send a request. */
const QUIET_MS = 500;
/** After this, sessions are ended between any two requests. */
const LONGEST_COURTESY_MS = 3000;
const LARGEST_INT32 = 2_147_483_647;

/** Owns the callers' connections. */
export class CallerListener implements ConnectionOwner {
  private readonly server: Server;

  private readonly connections = new Set<CallerConnection>();

  private readonly registrations = new Map<number, Registration>();

  private readonly processIds = new WeakMap<CallerConnection, number>();

  private nextProcessId = randomInt(1, 2 ** 30);

  private stopping = false;

  private tls: SecureContext | undefined;

  constructor(
    readonly context: ServingContext,
    readonly rules: CallerRules,
    readonly instance: InstanceId,
  ) {
    this.server = createServer((socket) => {
      this.connections.add(new CallerConnection(socket, this));
    });
  }

  get isStopping(): boolean {
    return this.stopping;
  }

  get sessionCount(): number {
    return this.connections.size;
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

  /** @param context - certificate and key for new connections */
  setSecureContext(context: SecureContext | undefined): void {
    this.tls = context;
  }

  secureContext(): SecureContext | undefined {
    return this.tls;
  }

  register(connection: CallerConnection): { processId: number; secret: number } {
    const processId = this.nextProcessId;
    this.nextProcessId = (this.nextProcessId % LARGEST_INT32) + 1;
    const secret = randomInt(0, LARGEST_INT32);
    this.registrations.set(processId, { connection, secret });
    this.processIds.set(connection, processId);
    return { processId, secret };
  }

  cancel(processId: number, secret: number): void {
    const registration = this.registrations.get(processId);
    if (registration?.secret === secret) registration.connection.session?.cancel();
  }

  forget(connection: CallerConnection): void {
    this.connections.delete(connection);
    const processId = this.processIds.get(connection);
    if (processId !== undefined) this.registrations.delete(processId);
  }

  /** Ends idle sessions whose key is no longer in force. */
  recheckKeys(): void {
    for (const { session } of this.connections) session?.recheckKey();
  }

  /**
   * Takes no new callers, and ends the sessions between their requests.
   *
   * @param waitMs - longest wait for open transactions
   */
  async drain(waitMs: number): Promise<void> {
    this.stopping = true;
    const started = performance.now();
    const deadline = started + waitMs;
    while (this.connections.size > 0 && performance.now() < deadline) {
      const isLate = performance.now() - started >= LONGEST_COURTESY_MS;
      for (const { session } of this.connections) session?.stop(isLate ? 0 : QUIET_MS);
      await delay(DRAIN_STEP_MS);
    }
  }

  /** Stops listening and ends what is left. */
  close(): void {
    this.server.close();
    for (const connection of this.connections) connection.close();
  }
}
