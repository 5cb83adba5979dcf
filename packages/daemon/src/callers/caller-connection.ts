import type { Socket } from 'node:net';
import { type SecureContext, TLSSocket } from 'node:tls';
import {
  callersExhausted,
  createKeyDigest,
  databaseForbidden,
  databaseUnknown,
  encryptionRequired,
  type InstanceId,
  instanceStopping,
  type KeyDigest,
  keyRejected,
  messageTooLarge,
  type OrganisationId,
  protocolViolation,
  ProxyError,
  type RouteRecord,
  settingsStale,
  startupMalformed,
  toBrand,
} from '@heatherledge/core';
import {
  createAuthenticationOk,
  createBackendKeyData,
  createParameterStatus,
  createPasswordRequest,
  createReadyForQuery,
  type Frame,
  FrameLengthError,
  FrameSplitter,
  FrontendCode,
  parseStartup,
  parseText,
} from '@heatherledge/wire';
import { CallerSession, formatError, type SessionTransport } from './caller-session.js';
import { CallerState } from './caller-state.js';
import type { ServingContext } from './serving-context.js';

/** Limits and options of callers' connections. */
export interface CallerConnectionOptions {
  /** Maximum length of one message, in bytes. */
  readonly messageLimitBytes: number;
  readonly maxSessions: number;
  /** Maximum time from accepting a connection to the end of its login, in milliseconds. */
  readonly startupTimeoutMs: number;
  /** Whether API keys are accepted over unencrypted connections from other hosts. */
  readonly allowsUnencryptedKeys: boolean;
}

/** The part of the listener that a connection uses. */
export interface CallerRegistry {
  readonly context: ServingContext;
  readonly options: CallerConnectionOptions;
  readonly instance: InstanceId;
  readonly isStopping: boolean;
  /** Open connections, including those that have not logged in. */
  readonly connectionCount: number;
  /** @returns certificate and key, or undefined if the listener offers no encryption */
  getSecureContext(): SecureContext | undefined;
  /** @returns process id and secret with which the session's requests can be cancelled */
  register(connection: CallerConnection): { processId: number; secret: number };
  /** Cancels the statement that runs in a session's transaction if the secret matches. */
  cancel(processId: number, secret: number): void;
  /** Removes a closed connection. */
  unregister(connection: CallerConnection): void;
}

const MAX_STARTUP_PACKET_BYTES = 10_000;
/** Maximum time for a caller to read the last messages before its socket is destroyed. */
const CLOSE_TIMEOUT_MS = 2000;

type Stage = 'startup' | 'password' | 'serving' | 'ended';

/** A caller's connection: startup, encryption and login, then messages for its session. */
export class CallerConnection implements SessionTransport {
  session: CallerSession | undefined;

  private socket: Socket;

  private stage: Stage = 'startup';

  private startupBytes: Buffer = Buffer.alloc(0);

  private readonly splitter: FrameSplitter;

  private parameters: ReadonlyMap<string, string> = new Map();

  private route: RouteRecord | undefined;

  private encrypted = false;

  private readonly startupTimer: NodeJS.Timeout;

  constructor(
    socket: Socket,
    private readonly registry: CallerRegistry,
  ) {
    this.socket = socket;
    this.splitter = new FrameSplitter(registry.options.messageLimitBytes);
    this.startupTimer = setTimeout(() => this.close(), registry.options.startupTimeoutMs);
    socket.setNoDelay(true);
    this.attachListeners(socket);
  }

  write(bytes: Buffer): boolean {
    return this.stage === 'ended' || this.socket.destroyed ? true : this.socket.write(bytes);
  }

  async waitForDrain(): Promise<void> {
    const { socket } = this;
    if (socket.destroyed || !socket.writableNeedDrain) return;
    await new Promise<void>((resolve) => {
      const done = (): void => {
        socket.off('drain', done);
        socket.off('close', done);
        resolve();
      };
      socket.once('drain', done);
      socket.once('close', done);
    });
  }

  setPaused(paused: boolean): void {
    if (paused) this.socket.pause();
    else this.socket.resume();
  }

  closeAfterFlush(): void {
    this.stage = 'ended';
    const { socket } = this;
    socket.end();
    setTimeout(() => socket.destroy(), CLOSE_TIMEOUT_MS).unref();
  }

  /** Ends the connection at once. */
  close(): void {
    this.stage = 'ended';
    this.socket.destroy();
  }

  private attachListeners(socket: Socket): void {
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.onClose(socket));
  }

  private onClose(socket: Socket): void {
    if (socket !== this.socket) return;
    clearTimeout(this.startupTimer);
    this.stage = 'ended';
    this.session?.end();
    this.registry.unregister(this);
  }

  private receive(chunk: Buffer): void {
    try {
      if (this.stage === 'startup') this.receiveStartup(chunk);
      else if (this.stage !== 'ended') this.receiveFrames(chunk);
    } catch (error) {
      this.refuse(toProxyError(error));
    }
  }

  private receiveStartup(chunk: Buffer): void {
    this.startupBytes = Buffer.concat([this.startupBytes, chunk]);
    if (this.startupBytes.length < 4) return;
    const packetLength = this.startupBytes.readInt32BE(0);
    if (packetLength < 8 || packetLength > MAX_STARTUP_PACKET_BYTES) {
      throw ProxyError.create(startupMalformed, undefined);
    }
    if (this.startupBytes.length < packetLength) return;
    const packet = this.startupBytes.subarray(0, packetLength);
    const rest = this.startupBytes.subarray(packetLength);
    this.startupBytes = Buffer.alloc(0);
    this.handleStartup(packet, rest);
  }

  private handleStartup(packet: Buffer, rest: Buffer): void {
    const request = parseStartup(packet);
    switch (request.kind) {
      case 'tls':
        // Plaintext bytes sent before the TLS handshake could have been injected by a third party.
        if (rest.length > 0) throw ProxyError.create(startupMalformed, undefined);
        this.startTls();
        break;
      case 'gss':
        this.socket.write('N');
        break;
      case 'cancel':
        this.registry.cancel(request.processId, request.secret);
        this.close();
        break;
      case 'startup':
        this.parameters = request.parameters;
        this.startLogin();
        if (rest.length > 0) this.receive(rest);
        break;
      default:
        throw ProxyError.create(startupMalformed, undefined);
    }
  }

  private startTls(): void {
    const secureContext = this.registry.getSecureContext();
    if (secureContext === undefined) {
      this.socket.write('N');
      return;
    }
    const plain = this.socket;
    plain.removeAllListeners('data');
    plain.write('S');
    const secure = new TLSSocket(plain, { isServer: true, secureContext });
    this.socket = secure;
    this.encrypted = true;
    this.attachListeners(secure);
  }

  private startLogin(): void {
    if (this.registry.isStopping) throw ProxyError.create(instanceStopping, undefined);
    if (this.registry.connectionCount > this.registry.options.maxSessions) {
      throw ProxyError.create(callersExhausted, undefined);
    }
    const database = this.parameters.get('database') ?? this.parameters.get('user') ?? '';
    const route = this.registry.context.settings().routes.get(database);
    if (route === undefined) throw ProxyError.create(databaseUnknown, { database });
    this.route = route;
    if (route.open) {
      this.startSession(toBrand<OrganisationId>(`open:${database}`), undefined);
      return;
    }
    if (!this.encrypted && !this.isLoopback && !this.registry.options.allowsUnencryptedKeys) {
      throw ProxyError.create(encryptionRequired, undefined);
    }
    this.stage = 'password';
    this.socket.write(createPasswordRequest());
  }

  private get isLoopback(): boolean {
    const address = this.socket.remoteAddress ?? '';
    return address.startsWith('127.') || address === '::1' || address.startsWith('::ffff:127.');
  }

  private receiveFrames(chunk: Buffer): void {
    for (const frame of this.splitter.push(chunk)) {
      if (this.stage === 'password') this.receivePassword(frame);
      else if (this.stage === 'serving') this.session?.receive(frame);
    }
  }

  private receivePassword(frame: Frame): void {
    if (frame.type !== FrontendCode.Password) {
      throw ProxyError.create(protocolViolation, { reason: 'expected a password' });
    }
    const { context } = this.registry;
    const digest = createKeyDigest(parseText(frame.bytes));
    const record = context.settings().keys.get(digest);
    const isValid = record !== undefined && !record.withdrawn;
    if (!isValid || record.organisation !== this.parameters.get('user')) {
      throw ProxyError.create(keyRejected, undefined);
    }
    if (!context.allowsKeys()) throw ProxyError.create(settingsStale, undefined);
    const { route } = this;
    const isAllowed =
      route !== undefined &&
      (route.organisations.size === 0 || route.organisations.has(record.organisation));
    if (!isAllowed) throw ProxyError.create(databaseForbidden, { database: route?.database ?? '' });
    this.startSession(record.organisation, digest);
  }

  private startSession(organisation: OrganisationId, digest: KeyDigest | undefined): void {
    const { route, registry } = this;
    if (route === undefined) return;
    clearTimeout(this.startupTimer);
    registry.context.useGroup(route.group);
    const state = new CallerState(organisation, route.group, digest);
    const session = new CallerSession(registry.context, state, this, registry.instance);
    session.applyStartupParameters(this.parameters);
    this.session = session;
    this.stage = 'serving';
    const { processId, secret } = registry.register(this);
    this.socket.write(createSessionStart(processId, secret));
  }

  private refuse(error: ProxyError): void {
    if (this.stage === 'ended') return;
    this.registry.context.countError(error.entry.name);
    this.socket.write(formatError(error, 'FATAL'));
    this.session?.end();
    this.closeAfterFlush();
  }
}

function createSessionStart(processId: number, secret: number): Buffer {
  return Buffer.concat([
    createAuthenticationOk(),
    createParameterStatus('server_version', '16.0'),
    createParameterStatus('server_encoding', 'UTF8'),
    createParameterStatus('client_encoding', 'UTF8'),
    createParameterStatus('DateStyle', 'ISO, MDY'),
    createParameterStatus('integer_datetimes', 'on'),
    createParameterStatus('standard_conforming_strings', 'on'),
    createBackendKeyData(processId, secret),
    createReadyForQuery('idle'),
  ]);
}

function toProxyError(error: unknown): ProxyError {
  if (error instanceof ProxyError) return error;
  if (error instanceof FrameLengthError) {
    const { announcedBytes: sizeBytes, limitBytes } = error;
    return ProxyError.create(messageTooLarge, { sizeBytes, limitBytes });
  }
  return ProxyError.create(protocolViolation, { reason: 'message could not be read' });
}
