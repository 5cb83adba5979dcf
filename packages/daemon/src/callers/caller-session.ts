/** One caller's session after it has logged in: requests one after another. */
import {
  featureRefused,
  type InstanceId,
  instanceStopping,
  keyRejected,
  keyWithdrawn,
  type Milliseconds,
  parameterRejected,
  positionRejected,
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
import { parseComment } from '../sql/commenter.js';
import { PROXY_PREFIX, type StatementClass } from '../sql/classify.js';
import { UpstreamFailure } from '../upstreams/upstream-connection.js';
import type { CallerOutput } from './answer-writer.js';
import type { CallerState } from './caller-state.js';
import { LeaseSource } from './lease-source.js';
import { ReadExecutor } from './read-executor.js';
import {
  createExtendedUnit,
  createLocalAnswer,
  createSimpleUnit,
  type RequestUnit,
} from './request-unit.js';
import type { ServingContext } from './serving-context.js';
import { TransactionExecutor } from './transaction-executor.js';

/** What a session needs of its connection. */
export interface SessionPort extends CallerOutput {
  /** Stops or resumes reading from the caller. */
  setPaused(paused: boolean): void;
  /** Ends the connection after what was written. */
  finish(): void;
}

/** Requests that may wait before reading from the caller pauses. */
const MOST_QUEUED_UNITS = 16;
/** Errors after which the caller must connect again. */
const FATAL_ERRORS = new Set([
  'KeyWithdrawn',
  'KeyRejected',
  'InstanceStopping',
  'ProtocolViolation',
]);
const ABORTED_STATE = { code: '25P02', message: 'current transaction is aborted' };
const LONGEST_KEY_LENGTH = 200;
const OLDEST_AGE_MS = 86_400_000;

/** Serves the requests of one caller in order. */
export class CallerSession {
  private readonly reads: ReadExecutor;

  private readonly transactions: TransactionExecutor;

  private queue: RequestUnit[] = [];

  private collected: Frame[] = [];

  private running = false;

  private ended = false;

  private heardAt: Milliseconds;

  constructor(
    private readonly context: ServingContext,
    readonly state: CallerState,
    private readonly port: SessionPort,
    readonly instance: InstanceId,
  ) {
    const leases = new LeaseSource(context, state);
    this.reads = new ReadExecutor(context, state, leases, port);
    this.transactions = new TransactionExecutor(context, state, leases, port);
    this.heardAt = context.clock.now();
  }

  /**
   * Takes a message of the caller.
   *
   * @param frame - the message
   */
  receive(frame: Frame): void {
    switch (frame.type) {
      case FrontendCode.Query:
        this.enqueue(createSimpleUnit(copyFrame(frame)));
        break;
      case FrontendCode.Sync:
        this.collected.push(copyFrame(frame));
        this.enqueue(createExtendedUnit(this.collected, this.state.statements));
        this.collected = [];
        break;
      case FrontendCode.Parse:
      case FrontendCode.Bind:
      case FrontendCode.Describe:
      case FrontendCode.Execute:
      case FrontendCode.Close:
        this.collected.push(copyFrame(frame));
        break;
      case FrontendCode.Flush:
        this.fail(ProxyError.create(featureRefused, { reason: 'Flush without Sync' }));
        break;
      case FrontendCode.Terminate:
        this.end();
        this.port.finish();
        break;
      default:
        this.fail(ProxyError.create(protocolViolation, { reason: 'unexpected message' }));
    }
  }

  /** @returns whether the caller waits for nothing and has no transaction open */
  get isIdle(): boolean {
    return !this.running && this.queue.length === 0 && this.transactions.status === 'idle';
  }

  /**
   * Ends the session if it is between requests.
   *
   * @param quietMs - a caller that was heard within this time may be about to send a request
   */
  stop(quietMs: number): void {
    const isQuiet = this.context.clock.now() - this.heardAt >= quietMs;
    if (this.isIdle && isQuiet) this.fail(ProxyError.create(instanceStopping, undefined));
  }

  /** Ends the session if its key is no longer in force; a running request is left to finish. */
  recheckKey(): void {
    if (this.running || this.ended) return;
    try {
      this.checkKey();
    } catch (error) {
      if (error instanceof ProxyError && FATAL_ERRORS.has(error.entry.name)) this.fail(error);
    }
  }

  /** Cancels what runs, as the caller asked on another connection. */
  cancel(): void {
    this.transactions.cancel();
  }

  /** Lets go of everything because the caller has gone. */
  end(): void {
    if (this.ended) return;
    this.ended = true;
    this.queue = [];
    this.transactions.abandon();
  }

  private enqueue(unit: RequestUnit): void {
    if (this.ended) return;
    this.queue.push(unit);
    if (this.queue.length >= MOST_QUEUED_UNITS) this.port.setPaused(true);
    if (!this.running) void this.runQueue();
  }

  private async runQueue(): Promise<void> {
    this.running = true;
    for (;;) {
      const unit = this.queue.shift();
      if (unit === undefined || this.ended) break;
      await this.runUnit(unit);
      if (this.queue.length === 0) this.port.setPaused(false);
    }
    this.running = false;
    this.heardAt = this.context.clock.now();
  }

  private async runUnit(unit: RequestUnit): Promise<void> {
    const startedAt = this.context.clock.now();
    try {
      this.checkKey();
      await this.dispatch(unit);
    } catch (error) {
      await this.report(error);
    }
    if (this.ended) return;
    this.tellPosition();
    this.port.write(createReadyForQuery(this.transactions.status));
    this.context.observeRequest(this.context.clock.now() - startedAt);
  }

  /** The key is looked up again for each request, so that a withdrawal reaches running sessions. */
  private checkKey(): void {
    const { keyDigest, organisation } = this.state;
    if (keyDigest === undefined) return;
    const record = this.context.settings().keys.get(keyDigest);
    if (record === undefined || record.withdrawn) throw ProxyError.create(keyWithdrawn, undefined);
    if (record.organisation !== organisation) throw ProxyError.create(keyRejected, undefined);
    if (!this.context.allowsKeys()) throw ProxyError.create(settingsStale, undefined);
  }

  private async dispatch(unit: RequestUnit): Promise<void> {
    const classes = unit.texts.flatMap((text) => this.context.classifier.classify(text));
    this.applyComments(unit);
    const refused = classes.find((item) => item.kind === 'refused');
    if (refused?.kind === 'refused') {
      throw ProxyError.create(featureRefused, { reason: refused.feature });
    }
    const only = classes.length === 1 ? classes[0] : undefined;
    if (classes.length === 0) await this.runWithoutStatement(unit);
    else if (only !== undefined && isLocal(only)) await this.runLocally(unit, only);
    else await this.runAtMember(unit, classes);
  }

  private applyComments(unit: RequestUnit): void {
    for (const text of unit.texts) {
      const { idempotencyKey, maxAgeMs } = parseComment(text);
      if (idempotencyKey !== undefined) this.setParameter('idempotency_key', idempotencyKey);
      if (maxAgeMs !== undefined) this.setParameter('max_age_ms', maxAgeMs);
    }
  }

  /** Messages that only prepare or close are answered by a member as well, outside of limits. */
  private async runWithoutStatement(unit: RequestUnit): Promise<void> {
    if (this.transactions.status === 'idle') await this.reads.run(unit);
    else await this.transactions.runInside(unit);
  }

  private async runAtMember(unit: RequestUnit, classes: readonly StatementClass[]): Promise<void> {
    if (this.transactions.isLost) {
      this.port.write(createErrorResponse(ABORTED_STATE));
      return;
    }
    if (this.state.keyDigest !== undefined) {
      await this.context.limits.admit(this.state.organisation);
    }
    const isRead = classes.every(({ kind }) => kind === 'read' || kind === 'invalid');
    if (this.transactions.status !== 'idle') await this.transactions.runInside(unit);
    else if (isRead && this.state.idempotencyKey === undefined) await this.reads.run(unit);
    else await this.transactions.runAlone(unit);
  }

  private async runLocally(unit: RequestUnit, statement: StatementClass): Promise<void> {
    switch (statement.kind) {
      case 'begin':
        if (this.transactions.status === 'idle') this.transactions.begin(unit.texts[0] ?? 'BEGIN');
        this.answer(unit, 'BEGIN');
        break;
      case 'commit':
        this.answer(unit, await this.transactions.commit());
        break;
      case 'rollback':
        await this.transactions.rollback();
        this.answer(unit, 'ROLLBACK');
        break;
      case 'set-proxy':
        this.setParameter(statement.name, statement.value);
        this.answer(unit, 'SET');
        break;
      case 'show-proxy':
        this.show(unit, statement.name);
        break;
      case 'set-session':
        this.state.parameters.set(statement.name, statement.text);
        this.answer(unit, 'SET');
        break;
      default:
        this.state.parameters.clear();
        this.answer(unit, 'RESET');
    }
  }

  private answer(unit: RequestUnit, tag: string): void {
    this.port.write(createLocalAnswer(unit, tag));
  }

  private show(unit: RequestUnit, name: string): void {
    const { maxAgeMs, idempotencyKey } = this.state;
    const values: Record<string, string> = {
      position: this.sealPosition() ?? '',
      max_age_ms: maxAgeMs === undefined ? '' : String(maxAgeMs),
      idempotency_key: idempotencyKey ?? '',
      instance: this.instance,
    };
    const value = values[name];
    if (value === undefined) throw createParameterError(name, 'is not a parameter of the proxy');
    const row = { column: `${PROXY_PREFIX}${name}`, value };
    this.port.write(createLocalAnswer(unit, 'SHOW', row));
  }

  /**
   * Sets one of the proxy's parameters.
   *
   * @param name - name without its prefix
   * @param value - value as text
   * @throws ProxyError if the value is impossible
   */
  setParameter(name: string, value: string): void {
    if (name === 'position') this.setPosition(value);
    else if (name === 'max_age_ms') this.state.maxAgeMs = parseAge(value);
    else if (name === 'idempotency_key') this.setKey(value);
    else throw createParameterError(name, 'is not a parameter of the proxy');
  }

  private setPosition(token: string): void {
    if (token === '') return;
    const { organisation, group } = this.state;
    const position = this.context.codec.decode(organisation, group, token);
    if (position === undefined) throw ProxyError.create(positionRejected, undefined);
    this.state.advance(position);
  }

  private setKey(key: string): void {
    if (key.length > LONGEST_KEY_LENGTH) {
      throw createParameterError('idempotency_key', `is longer than ${LONGEST_KEY_LENGTH}`);
    }
    this.state.idempotencyKey = key === '' ? undefined : key;
  }

  private tellPosition(): void {
    if (this.state.takeUntoldPosition() === undefined) return;
    const sealed = this.sealPosition();
    if (sealed !== undefined) {
      this.port.write(createParameterStatus(`${PROXY_PREFIX}position`, sealed));
    }
  }

  private sealPosition(): string | undefined {
    const { organisation, group, position } = this.state;
    return position && this.context.codec.encode(organisation, group, position);
  }

  private async report(error: unknown): Promise<void> {
    if (error instanceof ProxyError) {
      if (FATAL_ERRORS.has(error.entry.name)) {
        this.fail(error);
        return;
      }
      await this.transactions.fail();
      this.context.countError(error.entry.name);
      this.port.write(formatError(error, 'ERROR'));
      return;
    }
    await this.transactions.fail();
    const fields =
      error instanceof UpstreamFailure
        ? error.fields
        : { code: 'XX000', message: error instanceof Error ? error.message : 'internal error' };
    this.context.countError('Upstream');
    this.port.write(createErrorResponse({ code: fields.code, message: fields.message }));
  }

  private fail(error: ProxyError): void {
    if (this.ended) return;
    this.context.countError(error.entry.name);
    this.port.write(formatError(error, 'FATAL'));
    this.end();
    this.port.finish();
  }
}

/**
 * @param error - an error of the catalogue
 * @param severity - FATAL if the connection is closed after it
 * @returns ErrorResponse
 */
export function formatError(error: ProxyError, severity: 'ERROR' | 'FATAL'): Buffer {
  const { sqlState: code, outcome, hint } = error.entry;
  const message = outcome === 'not-run' ? `${error.message} (not run)` : error.message;
  return createErrorResponse({ severity, code, message, detail: `outcome: ${outcome}`, hint });
}

/** Frames are parts of a larger buffer that must not be kept alive by waiting requests. */
function copyFrame(frame: Frame): Frame {
  return { type: frame.type, bytes: Buffer.from(frame.bytes) };
}

function isLocal(statement: StatementClass): boolean {
  return !['read', 'write', 'invalid', 'refused'].includes(statement.kind);
}

function createParameterError(name: string, problem: string): ProxyError {
  return ProxyError.create(parameterRejected, { reason: `${PROXY_PREFIX}${name} ${problem}` });
}

function parseAge(value: string): number | undefined {
  if (value === '') return undefined;
  const age = Number(value);
  if (!Number.isFinite(age) || age < 0 || age > OLDEST_AGE_MS) {
    throw createParameterError('max_age_ms', `must be from 0 to ${OLDEST_AGE_MS}`);
  }
  return age;
}
