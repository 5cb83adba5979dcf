import type { Clock, Milliseconds, OrganisationId } from '@heatherledge/core';
import type { TransactionState, WireError } from '../ports/caller-protocol.js';
import type {
  MemberChannel,
  MemberCommand,
  MemberConnector,
  MemberHandler,
  MemberReply,
  MemberTarget,
} from '../ports/member-protocol.js';

/** How a command to a member ended. */
export type ExchangeResult =
  | { readonly kind: 'answered'; readonly reply: MemberReply; readonly sentAt: Milliseconds }
  /** The connection ended or the timeout passed before the reply was complete. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** False only if the command is certain not to have left this process. */
      readonly wasSent: boolean;
      /** Error that the member sent before it closed the connection. */
      readonly code?: WireError['code'] | undefined;
    };

interface PendingCommand {
  readonly sentAt: Milliseconds;
  readonly resolve: (result: ExchangeResult) => void;
}

/** Prepares a statement at a member. */
export type PrepareCommand = Extract<MemberCommand, { kind: 'prepare' }>;

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

/** A prepared statement under the name that all sessions share at members. */
export interface PreparedStatement {
  readonly memberName: string;
  readonly access: 'read' | 'write';
  readonly shape: string;
}

/** One connection to a member: sends commands and matches the replies to them. */
export class MemberConnection implements MemberHandler {
  readonly organisation: OrganisationId | undefined;

  isOpen = false;

  isClosed = false;

  /** State of the transaction in the last reply. */
  transactionState: TransactionState = 'idle';

  /** When the connection was last returned to its pool. */
  idleSince: Milliseconds;

  private readonly channel: MemberChannel;

  private readonly pendingCommands: PendingCommand[] = [];

  private values: ReadonlyMap<string, string> = new Map();

  private readonly preparedNames = new Set<string>();

  constructor(
    connector: MemberConnector,
    readonly target: MemberTarget,
    private readonly listener: MemberConnectionListener,
    private readonly clock: Clock,
  ) {
    this.organisation = target.organisation;
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
   * Sends a statement, preceded by the commands that set up the session's state at the member.
   *
   * @param session - values that the member must have
   * @param prepared - statement that must be prepared, if any
   * @param command - the statement
   * @param timeoutMs - maximum wait, in milliseconds
   * @returns how the statement ended
   */
  async exchangeInSession(
    session: SessionState,
    prepared: PreparedStatement | undefined,
    command: MemberCommand,
    timeoutMs: number,
  ): Promise<ExchangeResult> {
    for (const setup of this.createSetup(session, prepared)) this.sendSetup(setup);
    return this.exchange(command, timeoutMs);
  }

  /** @returns whether the values at the member are those of the session */
  hasValues(session: SessionState): boolean {
    if (session.values.size !== this.values.size) return false;
    for (const [name, value] of session.values) if (this.values.get(name) !== value) return false;
    return true;
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
    this.channel.close();
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

  /** Creates the commands that set up the session's state, and records that state as set up. */
  private createSetup(
    session: SessionState,
    prepared: PreparedStatement | undefined,
  ): MemberCommand[] {
    const setup: MemberCommand[] = [];
    const needsReset = [...this.values.keys()].some((name) => !session.values.has(name));
    if (needsReset) {
      setup.push({ kind: 'reset' });
      this.values = new Map();
      this.preparedNames.clear();
    }
    for (const [name, value] of session.values) {
      if (this.values.get(name) !== value) setup.push({ kind: 'set', name, value });
    }
    this.values = new Map(session.values);
    if (prepared !== undefined && !this.preparedNames.has(prepared.memberName)) {
      const { memberName: name, access, shape } = prepared;
      const command: PrepareCommand = { kind: 'prepare', name, access, shape };
      setup.push(command);
      this.listener.onPrepare(this, command);
      this.preparedNames.add(name);
    }
    return setup;
  }

  /**
   * Sends a command that sets up the session's state. The connection is dropped if it fails, since the
   * state is then unknown.
   */
  private sendSetup(command: MemberCommand): void {
    const resolve = (result: ExchangeResult): void => {
      if (result.kind === 'answered' && result.reply.error !== undefined) {
        this.destroy(`refused ${command.kind}: ${result.reply.error.code}`);
      }
    };
    this.pendingCommands.push({ sentAt: this.clock.now(), resolve });
    this.channel.send([command]);
  }

  private failPendingCommands(reason: string, code?: WireError['code']): void {
    for (const command of this.pendingCommands.splice(0)) {
      command.resolve({ kind: 'lost', reason, wasSent: true, code });
    }
  }
}
