/** A caller's connection: startup, encryption and login; then its session. */
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
import { PROXY_PREFIX } from '../sql/classify.js';
import { CallerSession, formatError, type SessionPort } from './caller-session.js';
import { CallerState } from './caller-state.js';
import type { ServingContext } from './serving-context.js';

/** Bounds and rules of callers' connections. */
export interface CallerRules {
  readonly messageLimitBytes: number;
  readonly mostSessions: number;
  readonly startupTimeoutMs: number;
  /** Whether keys may be sent without encryption from other machines. */
  readonly allowsClearKeys: boolean;
}

/** What a connection needs of its listener. */
export interface ConnectionOwner {
  readonly context: ServingContext;
  readonly rules: CallerRules;
  readonly instance: InstanceId;
  readonly isStopping: boolean;
  readonly sessionCount: number;
  secureContext(): SecureContext | undefined;
  /** @returns number and secret with which the session can be cancelled */
  register(connection: CallerConnection): { processId: number; secret: number };
  cancel(processId: number, secret: number): void;
  forget(connection: CallerConnection): void;
}

const STARTUP_LIMIT_BYTES = 10_000;
/** Longest time to let a caller read the last words. */
const FAREWELL_MS = 2000;

type Stage = 'startup' | 'password' | 'serving' | 'ended';

/** One caller from its first byte to its last. */
export class CallerConnection implements SessionPort {
  session: CallerSession | undefined;

  private socket: Socket;

  private stage: Stage = 'startup';

  private pending: Buffer = Buffer.alloc(0);

  private readonly splitter: FrameSplitter;

  private parameters: ReadonlyMap<string, string> = new Map();

  private route: RouteRecord | undefined;

  private encrypted = false;

  private readonly startupTimer: NodeJS.Timeout;

  constructor(
    socket: Socket,
    private readonly owner: ConnectionOwner,
  ) {
    this.socket = socket;
    this.splitter = new FrameSplitter(owner.rules.messageLimitBytes);
    this.startupTimer = setTimeout(() => this.close(), owner.rules.startupTimeoutMs);
    socket.setNoDelay(true);
    this.attach(socket);
  }

  write(bytes: Buffer): boolean {
    return this.stage === 'ended' || this.socket.destroyed ? true : this.socket.write(bytes);
  }

  async drained(): Promise<void> {
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

  finish(): void {
    this.stage = 'ended';
    const { socket } = this;
    socket.end();
    setTimeout(() => socket.destroy(), FAREWELL_MS).unref();
  }

  /** Ends the connection at once. */
  close(): void {
    this.stage = 'ended';
    this.socket.destroy();
  }

  private attach(socket: Socket): void {
    socket.on('data', (chunk: Buffer) => this.receive(chunk));
    socket.on('error', () => socket.destroy());
    socket.on('close', () => this.handleClose(socket));
  }

  private handleClose(socket: Socket): void {
    if (socket !== this.socket) return;
    clearTimeout(this.startupTimer);
    this.stage = 'ended';
    this.session?.end();
    this.owner.forget(this);
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
    this.pending = Buffer.concat([this.pending, chunk]);
    if (this.pending.length < 4) return;
    const size = this.pending.readInt32BE(0);
    if (size < 8 || size > STARTUP_LIMIT_BYTES) {
      throw ProxyError.create(startupMalformed, undefined);
    }
    if (this.pending.length < size) return;
    const packet = this.pending.subarray(0, size);
    const rest = this.pending.subarray(size);
    this.pending = Buffer.alloc(0);
    this.handleStartup(packet, rest);
  }

  private handleStartup(packet: Buffer, rest: Buffer): void {
    const request = parseStartup(packet);
    switch (request.kind) {
      case 'tls':
        // Bytes sent ahead of the handshake could have been put there by somebody else.
        if (rest.length > 0) throw ProxyError.create(startupMalformed, undefined);
        this.answerTls();
        break;
      case 'gss':
        this.socket.write('N');
        break;
      case 'cancel':
        this.owner.cancel(request.processId, request.secret);
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

  private answerTls(): void {
    const secureContext = this.owner.secureContext();
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
    this.attach(secure);
  }

  private startLogin(): void {
    if (this.owner.isStopping) throw ProxyError.create(instanceStopping, undefined);
    if (this.owner.sessionCount > this.owner.rules.mostSessions) {
      throw ProxyError.create(callersExhausted, undefined);
    }
    const database = this.parameters.get('database') ?? this.parameters.get('user') ?? '';
    const route = this.owner.context.settings().routes.get(database);
    if (route === undefined) throw ProxyError.create(databaseUnknown, { database });
    this.route = route;
    if (route.open) {
      this.startSession(toBrand<OrganisationId>(`open:${database}`), undefined);
      return;
    }
    if (!this.encrypted && !this.isLocal && !this.owner.rules.allowsClearKeys) {
      throw ProxyError.create(encryptionRequired, undefined);
    }
    this.stage = 'password';
    this.socket.write(createPasswordRequest());
  }

  private get isLocal(): boolean {
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
    const { context } = this.owner;
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
    const { route, owner } = this;
    if (route === undefined) return;
    clearTimeout(this.startupTimer);
    owner.context.useGroup(route.group);
    const state = new CallerState(organisation, route.group, digest);
    const session = new CallerSession(owner.context, state, this, owner.instance);
    this.applyStartupParameters(session);
    this.session = session;
    this.stage = 'serving';
    const { processId, secret } = owner.register(this);
    this.socket.write(createWelcome(processId, secret));
  }

  private applyStartupParameters(session: CallerSession): void {
    for (const [name, value] of this.parameters) {
      if (name.startsWith(PROXY_PREFIX)) {
        session.setParameter(name.slice(PROXY_PREFIX.length), value);
      }
    }
    const options = this.parameters.get('options') ?? '';
    for (const match of options.matchAll(/-c\s*heatherledge\.(\w+)=(\S*)/g)) {
      session.setParameter(match[1] ?? '', match[2] ?? '');
    }
  }

  private refuse(error: ProxyError): void {
    if (this.stage === 'ended') return;
    this.owner.context.countError(error.entry.name);
    this.socket.write(formatError(error, 'FATAL'));
    this.session?.end();
    this.finish();
  }
}

function createWelcome(processId: number, secret: number): Buffer {
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
