import {
  featureRefused,
  type InstanceId,
  instanceStopping,
  keyRejected,
  keyWithdrawn,
  messageTooLarge,
  type Milliseconds,
  parameterRejected,
  protocolViolation,
  ProxyError,
  settingsStale,
} from '@heatherledge/core';
import {
  createErrorResponse,
  createParameterStatus,
  createReadyForQuery,
  type Frame,
  FrontendCode,
} from '@heatherledge/wire';
import { PROXY_PARAMETER_PREFIX } from '../sql/parameter-statements.js';
import type { StatementClass } from '../sql/statement-classifier.js';
import { UpstreamFailure } from '../upstreams/upstream-connection.js';
import type { CallerOutput } from './response-writer.js';
import type { CallerState } from './caller-state.js';
import { LeaseSource } from './lease-source.js';
import { ReadExecutor } from './read-executor.js';
import { createRequest, type CallerRequest } from './caller-request.js';
import { LocalStatements } from './local-statements.js';
import { ProxyParameters } from './proxy-parameters.js';
import type { ServingContext } from './serving-context.js';
import { listStartupParameters } from './startup-parameters.js';
import { TransactionExecutor } from './transaction-executor.js';

/** The part of a connection that its session uses. */
export interface SessionTransport extends CallerOutput {
  /** Pauses or resumes reading from the caller. */
  setPaused(paused: boolean): void;
  /** Closes the connection after the written messages have been sent. */
  closeAfterFlush(): void;
}

/** Number of queued requests at which reading from the caller is paused. */
const MAX_QUEUED_REQUESTS = 16;
/** Catalogue names of the errors after which the connection is closed. */
const FATAL_ERROR_NAMES = new Set([
  'KeyWithdrawn',
  'KeyRejected',
  'InstanceStopping',
  'ProtocolViolation',
]);
const ABORTED_TRANSACTION_ERROR = { code: '25P02', message: 'current transaction is aborted' };
/** Maximum length of the messages up to a Sync together, in bytes. */
const MAX_REQUEST_BYTES = 32 * 1024 * 1024;
const LATE_KEY_REASON =
  'heatherledge.idempotency_key came after the first statement of its transaction';
/** Statements that the proxy keeps for a session, which have to stand alone in a request. */
const SESSION_STATEMENT_KINDS = new Set([
  'set-proxy',
  'show-proxy',
  'set-session',
  'reset-session',
  'discard',
]);

/** Runs the requests of a logged-in caller one after another. */
export class CallerSession {
  private readonly reads: ReadExecutor;

  private readonly transactions: TransactionExecutor;

  private readonly parameters: ProxyParameters;

  private readonly local: LocalStatements;

  /** Messages of the waiting requests. */
  private queue: (readonly Frame[])[] = [];

  /** Messages of the extended protocol since the last Sync. */
  private extendedFrames: Frame[] = [];

  private extendedBytes = 0;

  private running = false;

  private ended = false;

  /** Time of the login or of the end of the last request. */
  private lastActiveAt: Milliseconds;

  constructor(
    private readonly context: ServingContext,
    readonly state: CallerState,
    private readonly transport: SessionTransport,
    readonly instance: InstanceId,
  ) {
    const leases = new LeaseSource(context, state);
    this.reads = new ReadExecutor(context, state, leases, transport);
    this.transactions = new TransactionExecutor(context, state, leases, transport);
    this.parameters = new ProxyParameters(state, context.codec, instance);
    this.local = new LocalStatements(state, this.parameters, this.transactions, transport);
    this.lastActiveAt = context.clock.now();
  }

  /**
   * Handles a message of the caller.
   *
   * @param frame - the message; it is copied if it is kept
   */
  receive(frame: Frame): void {
    switch (frame.type) {
      case FrontendCode.Query:
        this.enqueue([copyFrame(frame)]);
        break;
      case FrontendCode.Sync:
        this.extendedFrames.push(copyFrame(frame));
        this.enqueue(this.extendedFrames);
        this.extendedFrames = [];
        this.extendedBytes = 0;
        break;
      case FrontendCode.Parse:
      case FrontendCode.Bind:
      case FrontendCode.Describe:
      case FrontendCode.Execute:
      case FrontendCode.Close:
        this.addExtendedFrame(frame);
        break;
      case FrontendCode.Flush:
        this.abort(ProxyError.create(featureRefused, { reason: 'Flush without Sync' }));
        break;
      case FrontendCode.Terminate:
        this.end();
        this.transport.closeAfterFlush();
        break;
      default:
        this.abort(ProxyError.create(protocolViolation, { reason: 'unexpected message' }));
    }
  }

  /**
   * Applies the parameters of the startup packet.
   *
   * @param parameters - its parameters by name
   * @throws ProxyError if one of them cannot be applied
   */
  applyStartupParameters(parameters: ReadonlyMap<string, string>): void {
    for (const parameter of listStartupParameters(parameters)) {
      this.local.applyStartupParameter(parameter);
    }
  }

  /** @returns whether no request is running or queued and no transaction is open */
  get isIdle(): boolean {
    return !this.running && this.queue.length === 0 && this.transactions.status === 'idle';
  }

  /**
   * Ends the session if it is idle.
   *
   * @param minIdleMs - time without activity before the session is ended, in milliseconds; a caller
   *   that was active more recently may be about to send a request
   */
  stop(minIdleMs: number): void {
    const isQuiet = this.context.clock.now() - this.lastActiveAt >= minIdleMs;
    if (this.isIdle && isQuiet) this.abort(ProxyError.create(instanceStopping, undefined));
  }

  /** Ends the session if its key is no longer valid, unless a request is running. */
  recheckKey(): void {
    if (this.running || this.ended) return;
    try {
      this.checkKey();
    } catch (error) {
      if (error instanceof ProxyError && FATAL_ERROR_NAMES.has(error.entry.name)) this.abort(error);
    }
  }

  /** Cancels the statement of the open transaction, as requested on another connection. */
  cancel(): void {
    this.transactions.cancel();
  }

  /** Discards queued requests and the open transaction, because the connection has ended. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.queue = [];
    this.transactions.abandon();
  }

  private addExtendedFrame(frame: Frame): void {
    if (this.ended) return;
    this.extendedFrames.push(copyFrame(frame));
    this.extendedBytes += frame.bytes.length;
    if (this.extendedBytes <= MAX_REQUEST_BYTES) return;
    this.extendedFrames = [];
    const sizes = { sizeBytes: this.extendedBytes, limitBytes: MAX_REQUEST_BYTES };
    this.abort(ProxyError.create(messageTooLarge, sizes));
  }

  private enqueue(frames: readonly Frame[]): void {
    if (this.ended) return;
    this.queue.push(frames);
    if (this.queue.length >= MAX_QUEUED_REQUESTS) this.transport.setPaused(true);
    if (!this.running) void this.runQueue();
  }

  private async runQueue(): Promise<void> {
    this.running = true;
    for (;;) {
      const frames = this.queue.shift();
      if (frames === undefined || this.ended) break;
      await this.runRequest(frames);
      if (this.queue.length === 0) this.transport.setPaused(false);
    }
    this.running = false;
    this.lastActiveAt = this.context.clock.now();
  }

  private async runRequest(frames: readonly Frame[]): Promise<void> {
    const startedAt = this.context.clock.now();
    try {
      this.checkKey();
      if (this.transactions.status === 'idle') this.state.saveParameters();
      await this.dispatchRequest(createRequest(frames, this.state.statements));
    } catch (error) {
      await this.handleError(error);
    }
    if (this.ended) return;
    this.sendPosition();
    this.transport.write(createReadyForQuery(this.transactions.status));
    this.context.recordRequestDuration(this.context.clock.now() - startedAt);
  }

  /** Checks the key again for each request, so that a withdrawal takes effect in open sessions. */
  private checkKey(): void {
    const { keyDigest, organisation } = this.state;
    if (keyDigest === undefined) return;
    const record = this.context.settings().keys.get(keyDigest);
    if (record === undefined || record.withdrawn) throw ProxyError.create(keyWithdrawn, undefined);
    if (record.organisation !== organisation) throw ProxyError.create(keyRejected, undefined);
    if (!this.context.allowsKeys()) throw ProxyError.create(settingsStale, undefined);
  }

  private async dispatchRequest(request: CallerRequest): Promise<void> {
    if (!request.isReadable) {
      throw ProxyError.create(featureRefused, { reason: 'text that is not UTF-8' });
    }
    const classes = request.texts.flatMap((text) => this.context.classifier.classify(text));
    const refusedStatement = classes.find((item) => item.kind === 'refused');
    if (refusedStatement?.kind === 'refused') {
      throw ProxyError.create(featureRefused, { reason: refusedStatement.feature });
    }
    if (classes.length > 1 && classes.some(({ kind }) => SESSION_STATEMENT_KINDS.has(kind))) {
      throw ProxyError.create(featureRefused, { reason: 'SET together with other statements' });
    }
    const single = classes.length === 1 ? classes[0] : undefined;
    if (classes.length === 0) await this.runWithoutStatement(request);
    else if (single === undefined || !isLocal(single)) {
      const marked = markRequest(request, classes);
      await this.runWithComments(request, async () => this.runAtMember(marked, classes));
    } else if (single.kind === 'begin') {
      await this.runWithComments(request, async () => this.local.run(request, single));
    } else await this.local.run(request, single);
  }

  /** Runs a function with the parameters that comments of a request set, which hold for it only. */
  private async runWithComments(request: CallerRequest, run: () => Promise<void>): Promise<void> {
    const { idempotencyKey, maxAgeMs } = this.parameters.parseComments(request.texts);
    const previous = this.state.takeParameters();
    try {
      this.state.maxAgeMs = maxAgeMs ?? previous.maxAgeMs;
      if (idempotencyKey === undefined) this.state.idempotencyKey = previous.idempotencyKey;
      else if (this.transactions.status === 'idle') this.state.idempotencyKey = idempotencyKey;
      else if (!this.transactions.useIdempotencyKey(idempotencyKey)) {
        throw ProxyError.create(parameterRejected, { reason: LATE_KEY_REASON });
      }
      await run();
    } finally {
      this.state.maxAgeMs = previous.maxAgeMs;
      if (idempotencyKey !== undefined) this.state.idempotencyKey = previous.idempotencyKey;
    }
  }

  /**
   * Runs a request that only prepares, describes or closes statements. It also needs a member, but does
   * not count towards the rate limit.
   */
  private async runWithoutStatement(request: CallerRequest): Promise<void> {
    if (this.transactions.status === 'idle') await this.reads.run(request);
    else await this.transactions.runInTransaction(request);
  }

  private async runAtMember(
    request: CallerRequest,
    classes: readonly StatementClass[],
  ): Promise<void> {
    if (this.transactions.isLost) {
      this.transport.write(createErrorResponse(ABORTED_TRANSACTION_ERROR));
      return;
    }
    if (this.state.keyDigest !== undefined) {
      await this.context.limits.admit(this.state.organisation);
    }
    const isRead = classes.every(({ kind }) => kind === 'read' || kind === 'invalid');
    if (this.transactions.status !== 'idle') await this.transactions.runInTransaction(request);
    else if (isRead && this.state.idempotencyKey === undefined) await this.reads.run(request);
    else await this.transactions.runOutsideTransaction(request);
  }

  private sendPosition(): void {
    if (this.state.takeUnreportedPosition() === undefined) return;
    const positionToken = this.parameters.sealPosition();
    if (positionToken !== undefined) {
      this.transport.write(
        createParameterStatus(`${PROXY_PARAMETER_PREFIX}position`, positionToken),
      );
    }
  }

  private async handleError(error: unknown): Promise<void> {
    if (error instanceof ProxyError) {
      if (FATAL_ERROR_NAMES.has(error.entry.name)) {
        this.abort(error);
        return;
      }
      await this.transactions.markFailed();
      this.context.countError(error.entry.name);
      this.transport.write(formatError(error, 'ERROR'));
      return;
    }
    await this.transactions.markFailed();
    const fields =
      error instanceof UpstreamFailure
        ? error.fields
        : { code: 'XX000', message: error instanceof Error ? error.message : 'internal error' };
    this.context.countError('Upstream');
    this.transport.write(createErrorResponse({ code: fields.code, message: fields.message }));
  }

  /** Sends an error to the caller and closes the connection. */
  private abort(error: ProxyError): void {
    if (this.ended) return;
    this.context.countError(error.entry.name);
    this.transport.write(formatError(error, 'FATAL'));
    this.end();
    this.transport.closeAfterFlush();
  }
}

/**
 * Formats an error of the catalogue with its outcome and hint.
 *
 * @param error - the error
 * @param severity - FATAL if the connection is closed after it
 * @returns an ErrorResponse message
 */
export function formatError(error: ProxyError, severity: 'ERROR' | 'FATAL'): Buffer {
  const { sqlState: code, outcome, hint } = error.entry;
  const message = outcome === 'not-run' ? `${error.message} (not run)` : error.message;
  return createErrorResponse({ severity, code, message, detail: `outcome: ${outcome}`, hint });
}

/** Copies a frame, so that a queued request does not keep the larger receive buffer in memory. */
function copyFrame(frame: Frame): Frame {
  return { type: frame.type, bytes: Buffer.from(frame.bytes) };
}

/** Marks a request if one of its statements may leave session parameters on its connection. */
function markRequest(request: CallerRequest, classes: readonly StatementClass[]): CallerRequest {
  const changesParameters = classes.some(
    (item) => 'changesParameters' in item && item.changesParameters === true,
  );
  return changesParameters ? { ...request, changesParameters } : request;
}

function isLocal(statement: StatementClass): boolean {
  return !['read', 'write', 'invalid', 'refused'].includes(statement.kind);
}
