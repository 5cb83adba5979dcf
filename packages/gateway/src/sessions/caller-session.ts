import { type Clock, createKeyDigest, type KeyDigest, type Milliseconds } from '@heatherledge/core';
import { createPreparedStatement } from '../members/prepared-statement.js';
import type {
  CallerChannel,
  CallerHandler,
  CallerMessage,
  CallerStatement,
  ErrorCode,
  StatementReply,
  TransactionState,
  WireError,
} from '../ports/caller-protocol.js';
import { Admission, type AdmissionServices } from './admission.js';
import { MutableCallerState } from './mutable-caller-state.js';
import { ReadExecutor } from './read-executor.js';
import {
  createErrorReply,
  createLocalReply,
  type DataStatement,
  type SessionServices,
} from './session-context.js';
import { Transaction } from './transaction.js';
import { WriteExecutor } from './write-executor.js';

/**
 * Maximum wait of a new session for the first settings; callers abandon a session that has not
 * started within 2 s.
 */
const MAX_SETTINGS_WAIT_MS = 1500;
/** Maximum number of unhandled messages of one caller; the session is closed beyond it. */
const MAX_QUEUED_MESSAGES = 64;

/** Services of a caller's session. */
export interface CallerSessionServices extends SessionServices, AdmissionServices {
  readonly onEnd: (session: CallerSession) => void;
}

interface QueuedMessage {
  readonly message: CallerMessage;
  readonly arrivedAt: Milliseconds;
}

type QueryMessage = Extract<CallerMessage, { kind: 'query' }>;

/** Handles one caller's messages in order and sends a reply to each; holds the session's state. */
export class CallerSession implements CallerHandler {
  private readonly queue: QueuedMessage[] = [];

  private isRunning = false;

  private isClosed = false;

  private isDraining = false;

  /**
   * Whether a draining session may be closed: set by the first reply to a statement, or at the
   * start of the drain for a session that was open then.
   */
  private mayCloseWhenIdle = false;

  private database: string | undefined;

  private key: KeyDigest | undefined;

  private readonly state = new MutableCallerState();

  private transaction: Transaction | undefined;

  private readonly admission: Admission;

  private readonly reads: ReadExecutor;

  private readonly writes: WriteExecutor;

  private readonly clock: Clock;

  constructor(
    private readonly channel: CallerChannel,
    private readonly services: CallerSessionServices,
  ) {
    this.clock = services.clock;
    this.admission = new Admission(services);
    this.reads = new ReadExecutor(services);
    this.writes = new WriteExecutor(services);
  }

  onMessage(message: CallerMessage): void {
    if (this.isClosed) return;
    this.queue.push({ message, arrivedAt: this.clock.now() });
    if (this.queue.length > MAX_QUEUED_MESSAGES) this.close();
    if (!this.isRunning) void this.handleQueue();
  }

  onClosed(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.transaction?.rollback();
    this.services.onEnd(this);
  }

  /**
   * Closes the session as soon as no transaction is open and every message has its reply.
   *
   * @param isNew - whether the caller has just connected; the session then stays open until it has
   * replied to one statement
   */
  closeWhenIdle(isNew: boolean): void {
    this.isDraining = true;
    if (!isNew) this.mayCloseWhenIdle = true;
    this.closeIfIdle();
  }

  /** Rolls back an open transaction, so that the session can be closed. */
  abortTransaction(): void {
    this.transaction?.abort('the instance is stopping');
  }

  /**
   * Rolls back an open transaction that changed allowed regions do not permit any more. A statement that is
   * under way ends first; the next one is refused.
   */
  checkRegions(): void {
    if (!this.isRunning) this.transaction?.checkRegions();
  }

  private async handleQueue(): Promise<void> {
    this.isRunning = true;
    while (this.queue.length > 0 && !this.isClosed) {
      try {
        await this.handleMessage(this.queue.shift() as QueuedMessage);
      } catch (error) {
        // The state of this session is not known any more; other sessions are not affected.
        this.services.log.warn('session.failed', {
          database: this.database,
          reason: String(error),
        });
        this.close();
      }
    }
    this.isRunning = false;
    this.closeIfIdle();
  }

  private closeIfIdle(): void {
    if (!this.isDraining || this.isClosed || this.isRunning) return;
    if (this.queue.length > 0 || this.channel.hasWaitingMessages) return;
    if (this.transaction === undefined && this.mayCloseWhenIdle) this.close();
  }

  private close(): void {
    this.channel.close();
    this.onClosed();
  }

  private async handleMessage({ message, arrivedAt }: QueuedMessage): Promise<void> {
    switch (message.kind) {
      case 'start':
        await this.start(message.database, message.key);
        return;
      case 'query':
        await this.handleQuery(message, arrivedAt);
        return;
      case 'terminate':
        this.close();
        return;
      case 'malformed':
        this.closeWithError({ code: 'malformed', text: message.reason });
    }
  }

  private async start(database: string, key: string | undefined): Promise<void> {
    if (this.database !== undefined) {
      this.closeWithError({ code: 'malformed', text: 'the session has started already' });
      return;
    }
    this.database = database;
    this.key = key === undefined ? undefined : createKeyDigest(key);
    // A newly started instance has its settings soon; a refusal would delay the caller far longer.
    await this.services.view.waitForSettings(MAX_SETTINGS_WAIT_MS);
    if (this.isClosed) return;
    const grant = this.admission.resolveGrant(database, this.key);
    if ('code' in grant) this.closeWithError(grant);
    else this.channel.sendStarted(createLocalReply('idle'));
  }

  private closeWithError(error: WireError): void {
    const { code, text } = error;
    this.services.log.info('session.refused', { database: this.database, code, reason: text });
    this.channel.sendFinalError(error);
    this.onClosed();
  }

  private async handleQuery(query: QueryMessage, arrivedAt: Milliseconds): Promise<void> {
    if (this.database === undefined) {
      this.closeWithError({ code: 'malformed', text: 'the session has not started' });
      return;
    }
    const reply = await this.resolveReply(query, arrivedAt);
    if (this.isClosed) return;
    this.recordStatement(query, reply, arrivedAt);
    this.channel.sendReply(reply);
    this.mayCloseWhenIdle = true;
    // Another instance may still reach the store: callers without a transaction are disconnected,
    // so that they can connect there.
    if (reply.error !== undefined && this.isStale && this.transaction === undefined) this.close();
  }

  /** Whether the store's last confirmation is too old to serve requests with a key. */
  private get isStale(): boolean {
    return !this.services.memberRegistry.confirmation.mayServeKeyedRequests(this.clock.now());
  }

  private async resolveReply(
    query: QueryMessage,
    arrivedAt: Milliseconds,
  ): Promise<StatementReply> {
    const { statement, requestId } = query;
    if (
      this.transaction?.isFailed &&
      statement.kind !== 'rollback' &&
      statement.kind !== 'commit'
    ) {
      return this.transaction.createFailureReply();
    }
    switch (statement.kind) {
      case 'begin':
        return this.begin(statement.readOnly, arrivedAt);
      case 'commit':
        return this.commit(requestId, statement.text, arrivedAt);
      case 'rollback':
        this.transaction?.rollback();
        this.transaction = undefined;
        return createLocalReply('idle');
      case 'set':
      case 'prepare':
      case 'deallocate':
        return this.updateState(statement);
      case 'data': {
        const { access, text } = statement;
        return this.execute({ requestId, access, text, prepared: undefined, arrivedAt });
      }
      case 'execute':
        return this.executePrepared(requestId, statement, arrivedAt);
    }
  }

  private get transactionState(): TransactionState {
    if (this.transaction === undefined) return 'idle';
    return this.transaction.isFailed ? 'failed' : 'open';
  }

  private updateState(
    statement: Extract<CallerStatement, { kind: 'set' | 'prepare' | 'deallocate' }>,
  ): StatementReply {
    if (statement.kind === 'set') {
      this.state.setValue(statement.name, statement.value);
    } else if (statement.kind === 'prepare') {
      const { name, access, shape } = statement;
      this.state.setPrepared(name, createPreparedStatement(access, shape, name.length));
    } else if (!this.state.removePrepared(statement.name)) {
      return this.createRefusal('unknown-name', 'no prepared statement has this name');
    }
    this.channel.setStateBytes(this.state.heldBytes);
    return createLocalReply(this.transactionState);
  }

  private async executePrepared(
    requestId: string,
    statement: Extract<CallerStatement, { kind: 'execute' }>,
    arrivedAt: Milliseconds,
  ): Promise<StatementReply> {
    const prepared = this.state.prepared.get(statement.name);
    if (prepared === undefined) {
      return this.createRefusal('unknown-name', 'no prepared statement has this name');
    }
    const { access } = prepared;
    return this.execute({ requestId, access, text: statement.args, prepared, arrivedAt });
  }

  private async execute(statement: DataStatement): Promise<StatementReply> {
    if (this.transaction !== undefined) return this.transaction.execute(statement);
    const grant = await this.admission.admit(this.database, this.key);
    if ('code' in grant) return createErrorReply(grant.code, grant.text, 'idle');
    return statement.access === 'read'
      ? this.reads.execute(grant, this.state, statement)
      : this.writes.execute(grant, this.state, statement);
  }

  private async begin(readOnly: boolean, arrivedAt: Milliseconds): Promise<StatementReply> {
    if (this.transaction !== undefined) {
      return this.createRefusal('malformed', 'a transaction is open already');
    }
    const grant = await this.admission.admit(this.database, this.key);
    if ('code' in grant) return createErrorReply(grant.code, grant.text, 'idle');
    if (this.isClosed) return createLocalReply('idle');
    const idleTimeoutMs =
      this.services.view.settings?.transactionIdleMs ?? grant.route.statementTimeoutMs;
    this.transaction = new Transaction(
      grant,
      this.state,
      readOnly,
      arrivedAt,
      this.services,
      idleTimeoutMs,
    );
    return createLocalReply('open');
  }

  private async commit(
    requestId: string,
    text: string,
    arrivedAt: Milliseconds,
  ): Promise<StatementReply> {
    const { transaction } = this;
    if (transaction === undefined) return this.createRefusal('malformed', 'no transaction is open');
    const reply = await transaction.commit(requestId, text, arrivedAt);
    this.transaction = undefined;
    return reply;
  }

  private createRefusal(code: ErrorCode, text: string): StatementReply {
    return createErrorReply(code, text, this.transactionState);
  }

  private recordStatement(
    query: QueryMessage,
    reply: StatementReply,
    arrivedAt: Milliseconds,
  ): void {
    const { view, metrics, log, memberRegistry } = this.services;
    const route = view.settings?.routesByDatabase.get(this.database ?? '');
    const ms = Math.round(this.clock.now() - arrivedAt);
    const outcome = reply.error?.code ?? 'served';
    const consistency = route?.consistency ?? 'none';
    metrics.statements.inc({ consistency, outcome });
    metrics.latencySeconds.observe({ consistency }, ms / 1000);
    const fields = {
      request: query.requestId,
      statement: query.statement.kind,
      route: route?.name,
      outcome,
      ms,
      settings: view.settings?.version,
      confirmationAgeMs: Math.round(memberRegistry.confirmation.resolveAge(this.clock.now())),
    };
    if (reply.error === undefined) log.info('statement.served', fields);
    else log.warn('statement.refused', { ...fields, reason: reply.error.text });
  }
}
