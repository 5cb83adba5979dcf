import type { Clock, Milliseconds, OrganisationId, TermPosition } from '@heatherledge/core';
import type { TransactionState, WireError } from '../ports/caller-protocol.js';
import type {
  MemberChannel,
  MemberCommand,
  MemberConnector,
  MemberHandler,
  MemberReply,
  MemberStatement,
  MemberTarget,
  PrepareCommand,
} from '../ports/member-protocol.js';
import type { ExchangeResult } from './exchange-result.js';
import { PreparedNames } from './prepared-names.js';
import type { PreparedStatement } from './prepared-statement.js';
import { createSetupCommands } from './session-setup.js';

export type { ExchangeResult } from './exchange-result.js';

interface PendingCommand {
  readonly sentAt: Milliseconds;
  readonly resolve: (result: ExchangeResult) => void;
}

/** Receives the events of a connection. */
export interface MemberConnectionListener {
  onOpen(connection: MemberConnection): void;
  onClosed(connection: MemberConnection, error: WireError | undefined): void;
  /** Called for every complete reply, errors included: each shows that the member is alive. */
  onReply(
    connection: MemberConnection,
    exchange: Extract<ExchangeResult, { kind: 'answered' }>,
  ): void;
  /** Called when a statement is prepared at the member. */
  onPrepare(connection: MemberConnection, command: PrepareCommand): void;
}

/** Session values that a member keeps for a connection. */
export interface SessionState {
  readonly values: ReadonlyMap<string, string>;
}

/** Numbers the connections of the process. */
let lastNumber = 0;

/** One connection to a member: sends commands and matches the replies to them. */
export class MemberConnection implements MemberHandler {
  readonly organisation: OrganisationId | undefined;

  /** Identifies the connection in the log. */
  readonly number: number;

  isOpen = false;

  isClosed = false;

  /** Whether this instance closed a connection that worked, as one that is not needed. */
  isOrderlyClosed = false;

  /** State of the transaction in the last reply. */
  transactionState: TransactionState = 'idle';

  /** When the connection was last returned to its pool. */
  idleSince: Milliseconds;

  private readonly channel: MemberChannel;

  private readonly pendingCommands: PendingCommand[] = [];

  private values: ReadonlyMap<string, string> = new Map();

  private readonly preparedNames = new PreparedNames();

  /** Resolves when the member has replied to the setup of a statement. */
  private pendingSetup: Promise<ExchangeResult> | undefined;

  constructor(
    connector: MemberConnector,
    readonly target: MemberTarget,
    private readonly listener: MemberConnectionListener,
    private readonly clock: Clock,
  ) {
    this.organisation = target.organisation;
    lastNumber += 1;
    this.number = lastNumber;
    this.idleSince = clock.now();
    this.channel = connector.open(target, this);
  }

  /**
   * Sends one command.
   *
   * @param command - the command
   * @param timeoutMs - maximum wait for the whole reply, in milliseconds; the connection is destroyed
   * after that, since a late reply could be matched to another command
   * @returns how it ended
   */
  async exchange(command: MemberCommand, timeoutMs: number): Promise<ExchangeResult> {
    // A statement that waits for its setup goes first, so that a rollback does not overtake it.
    if (this.pendingSetup !== undefined) await this.pendingSetup;
    if (this.isClosed) return { kind: 'lost', reason: 'the connection is closed', wasSent: false };
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.destroy('no answer in time'), Math.max(1, timeoutMs));
      const settle = (result: ExchangeResult): void => {
        clearTimeout(timer);
        resolve(result);
      };
      this.pendingCommands.push({ sentAt: this.clock.now(), resolve: settle });
      this.channel.send([command]);
    });
  }

  /**
   * Sends a command after the commands that set up the session's values at the member.
   *
   * @param session - values that the member must have
   * @param command - the command
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns how the command ended; not sent if the member has not confirmed the values
   */
  async exchangeInSession(
    session: SessionState,
    command: MemberCommand,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    return this.exchangeAfterSetup(this.createSetup(session), [], command, timeoutMs);
  }

  /**
   * Sends a caller's statement after the commands that set up the session's values and prepare the
   * statement at the member.
   *
   * @param session - values that the member must have
   * @param statement - the statement
   * @param waitFor - log position that the member must have reached, if any
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns how the statement ended; not sent if the member has not confirmed the values
   */
  async runInSession(
    session: SessionState,
    { requestId, text, prepared }: MemberStatement,
    waitFor: TermPosition | undefined,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    if (prepared === undefined) {
      const command: MemberCommand = { kind: 'forward', requestId, text, waitFor };
      return this.exchangeInSession(session, command, timeoutMs);
    }
    // The values come first: a reset also removes the prepared statements.
    const setup = this.createSetup(session);
    const { name, removal, preparation } = this.preparedNames.resolve(prepared);
    const command: MemberCommand = { kind: 'execute', requestId, name, args: text, waitFor };
    const result = await this.exchangeAfterSetup(
      [...setup, ...removal],
      preparation,
      command,
      timeoutMs,
    );
    if (result.kind === 'lost' || result.reply.error?.code !== 'unknown-name') return result;
    this.discard('does not know a statement that was prepared');
    return { kind: 'lost', reason: 'the member lost a prepared statement', wasSent: false };
  }

  /**
   * Sends a command once the member has confirmed its setup.
   *
   * @param setup - commands without which the command would run in another state
   * @param preparation - commands without which the member refuses the command; sent together with it
   * @param command - the command
   * @param timeoutMs - maximum wait for all replies, in milliseconds
   */
  private async exchangeAfterSetup(
    setup: readonly MemberCommand[],
    preparation: readonly PrepareCommand[],
    command: MemberCommand,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    const startedAt = this.clock.now();
    const last = setup.at(-1);
    if (last !== undefined) {
      for (const other of setup.slice(0, -1)) this.sendSetup(other);
      this.pendingSetup = this.exchange(last, timeoutMs);
      const result = await this.pendingSetup;
      this.pendingSetup = undefined;
      if (result.kind === 'lost') return { ...result, wasSent: false };
      const { error } = result.reply;
      if (error !== undefined) return this.dropAfterRefusal(last, error.code);
    }
    for (const prepare of preparation) {
      this.listener.onPrepare(this, prepare);
      this.sendSetup(prepare);
    }
    return this.exchange(command, timeoutMs - (this.clock.now() - startedAt));
  }

  /** @returns whether the values at the member are those of the session */
  hasValues(session: SessionState): boolean {
    if (session.values.size !== this.values.size) return false;
    for (const [name, value] of session.values) if (this.values.get(name) !== value) return false;
    return true;
  }

  /** @returns number of commands that a statement takes, with those that set it up */
  countCommands(session: SessionState, prepared: PreparedStatement | undefined): number {
    const setup = createSetupCommands(this.values, session.values);
    const isReset = setup[0]?.kind === 'reset';
    const needsPrepare = prepared && (isReset || !this.preparedNames.has(prepared));
    return setup.length + (needsPrepare === true ? 2 : 1);
  }

  /** Length of the values at the member; their texts stay in memory as long as the connection. */
  get valueBytes(): number {
    let bytes = 0;
    for (const [name, value] of this.values) bytes += name.length + value.length;
    return bytes;
  }

  /** @returns when the oldest command without a reply was sent */
  get oldestSentAt(): Milliseconds | undefined {
    return this.pendingCommands[0]?.sentAt;
  }

  /** Closes the connection in an orderly way. */
  close(): void {
    this.isOrderlyClosed = true;
    this.channel.close();
  }

  /**
   * Drops a connection that cannot be used further although it works, which says nothing about the member.
   *
   * @param reason - why; part of the error that callers receive
   */
  discard(reason: string): void {
    this.isOrderlyClosed = true;
    this.destroy(reason);
  }

  /**
   * Drops the connection and fails its pending commands.
   *
   * @param reason - why; part of the error that callers receive
   */
  destroy(reason: string): void {
    this.failPendingCommands(reason);
    this.channel.destroy();
  }

  onOpen(): void {
    this.isOpen = true;
    this.listener.onOpen(this);
  }

  onReply(reply: MemberReply): void {
    const command = this.pendingCommands.shift();
    if (command === undefined) {
      this.destroy('received a reply without a pending command');
      return;
    }
    this.transactionState = reply.state;
    const result = { kind: 'answered' as const, reply, sentAt: command.sentAt };
    this.listener.onReply(this, result);
    command.resolve(result);
  }

  onClosed(error: WireError | undefined): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.failPendingCommands(error?.text ?? 'the connection was closed', error?.code);
    this.listener.onClosed(this, error);
  }

  /** Creates the commands that set up the session's values, and records the values as set up. */
  private createSetup(session: SessionState): MemberCommand[] {
    const setup = createSetupCommands(this.values, session.values);
    if (setup[0]?.kind === 'reset') this.preparedNames.clear();
    this.values = new Map(session.values);
    return setup;
  }

  /** Sends a command that sets up the session's state without waiting for its reply. */
  private sendSetup(command: MemberCommand): void {
    const resolve = (result: ExchangeResult): void => {
      if (result.kind === 'answered' && result.reply.error !== undefined) {
        this.dropAfterRefusal(command, result.reply.error.code);
      }
    };
    this.pendingCommands.push({ sentAt: this.clock.now(), resolve });
    this.channel.send([command]);
  }

  /** Drops the connection, whose state is unknown after the member refused to set it up. */
  private dropAfterRefusal(command: MemberCommand, code: WireError['code']): ExchangeResult {
    const reason = `refused ${command.kind}: ${code}`;
    this.discard(reason);
    return { kind: 'lost', reason, wasSent: false };
  }

  private failPendingCommands(reason: string, code?: WireError['code']): void {
    for (const command of this.pendingCommands.splice(0)) {
      command.resolve({ kind: 'lost', reason, wasSent: true, code });
    }
  }
}
