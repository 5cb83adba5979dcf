import type {
  GroupId,
  TermPosition,
  MemberEndpoint,
  ReportedRole,
  OrganisationId,
  Term,
} from '@heatherledge/core';
import type { PreparedStatement } from '../members/prepared-statement.js';
import type { Access, TransactionState, WireError } from './caller-protocol.js';

/** A caller's read, write or commit as it is sent to a member. */
export interface MemberStatement {
  readonly requestId: string;
  /** The statement as received; for a prepared one the text after its name, with the blank before it. */
  readonly text: string;
  readonly prepared: PreparedStatement | undefined;
}

/** A command to a member. */
export type MemberCommand =
  /** A caller's read, write or commit, with the caller's request id. */
  | {
      readonly kind: 'forward';
      readonly requestId: string;
      readonly text: string;
      /** The member refuses the command unless its log holds this position. */
      readonly waitFor: TermPosition | undefined;
    }
  /** Runs a statement that is prepared on the connection, with the caller's request id. */
  | {
      readonly kind: 'execute';
      readonly requestId: string;
      readonly name: string;
      /** The text after the name, with the blank before it; forwarded unchanged. */
      readonly args: string;
      readonly waitFor: TermPosition | undefined;
    }
  | {
      readonly kind: 'begin';
      readonly readOnly: boolean;
      readonly waitFor: TermPosition | undefined;
    }
  | { readonly kind: 'rollback' }
  /** Removes the connection's session values and prepared statements. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      /** Definition of the statement, forwarded unchanged. */
      readonly shape: string;
    }
  | { readonly kind: 'deallocate'; readonly name: string }
  | { readonly kind: 'status' }
  /** Makes a replica receive no more log entries until it is resumed, promoted or restarted. */
  | { readonly kind: 'pause'; readonly term: Term }
  | { readonly kind: 'resume' }
  /** Makes a primary of a lower term a replica. */
  | { readonly kind: 'step-down'; readonly term: Term };

/** Prepares a statement at a member. */
export type PrepareCommand = Extract<MemberCommand, { kind: 'prepare' }>;

/** The complete reply to one command. */
export interface MemberReply {
  readonly rows: readonly string[];
  readonly signature: string | undefined;
  readonly error: WireError | undefined;
  readonly state: TransactionState;
  /** Log position of the member at the time of the reply. */
  readonly mark: TermPosition | undefined;
}

/** The status that a member reports. */
export interface MemberStatus {
  readonly role: ReportedRole;
  readonly term: Term;
  /** Log position up to which it has received the log. */
  readonly received: TermPosition;
  /** Term up to which it has promised to receive no log entries; 0 if none. */
  readonly heldTerm: Term;
}

/** Handles the events of one connection to a member. */
export interface MemberHandler {
  /**
   * Called when the member has accepted the connection.
   *
   * @param logPosition - the member's log position, if it reported one
   */
  onOpen(logPosition: TermPosition | undefined): void;
  /** Called for each reply, in the order of the commands. */
  onReply(reply: MemberReply): void;
  /**
   * Called when the connection has ended.
   *
   * @param error - why the member refused the connection, if it did
   */
  onClosed(error: WireError | undefined): void;
}

/** A connection to a member. */
export interface MemberChannel {
  /**
   * Sends commands.
   *
   * @param commands - sent together; each gets its own reply
   */
  send(commands: readonly MemberCommand[]): void;
  /** Closes the connection in an orderly way. */
  close(): void;
  /** Closes the connection at once; commands and replies in transit are lost. */
  destroy(): void;
}

/** The member to connect to, and the organisation that the connection serves. */
export interface MemberTarget {
  readonly entry: MemberEndpoint;
  readonly group: GroupId;
  /** Undefined for callers without a valid key, which public routes admit. */
  readonly organisation: OrganisationId | undefined;
}

/** Opens connections to members. */
export interface MemberConnector {
  open(target: MemberTarget, handler: MemberHandler): MemberChannel;
  /** @returns whether the protocol can express the names of a target; opening it fails otherwise */
  mayOpen(target: MemberTarget): boolean;
  /** @returns whether a statement is short enough to be sent with a log position to wait for */
  mayWaitForPosition(statement: MemberStatement): boolean;
  /**
   * Decodes the reply to a `status` command.
   *
   * @param rows - rows of the reply
   * @returns the status, or undefined if the rows are malformed
   */
  decodeStatus(rows: readonly string[]): MemberStatus | undefined;
}
