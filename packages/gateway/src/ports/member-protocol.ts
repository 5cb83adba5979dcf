/** What the gateway exchanges with members. */
import type {
  GroupId,
  TermPosition,
  MemberEntry,
  ReportedRole,
  OrganisationId,
  Term,
} from '@heatherledge/core';
import type { Access, TransactionState, WireError } from './caller-protocol.js';

/** One command to a member. */
export type MemberCommand =
  /** A caller's read, write or commit, with its own id. */
  | {
      readonly kind: 'forward';
      readonly requestId: string;
      readonly text: string;
      /** The member refuses unless its log holds this place. */
      readonly waitFor: TermPosition | undefined;
    }
  | {
      readonly kind: 'begin';
      readonly readOnly: boolean;
      readonly waitFor: TermPosition | undefined;
    }
  | { readonly kind: 'rollback' }
  /** Drops session values and prepared statements. */
  | { readonly kind: 'reset' }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  | { readonly kind: 'status' }
  /** A replica receives nothing more until it is resumed, promoted or restarted. */
  | { readonly kind: 'pause'; readonly term: Term }
  | { readonly kind: 'resume' }
  /** A primary of a lower term becomes a replica. */
  | { readonly kind: 'step-down'; readonly term: Term };

/** The whole answer to one command. */
export interface MemberReply {
  readonly rows: readonly string[];
  readonly signature: string | undefined;
  readonly error: WireError | undefined;
  readonly state: TransactionState;
  /** Place that the member's log held when it answered. */
  readonly mark: TermPosition | undefined;
}

/** What a member tells of itself. */
export interface MemberStatus {
  readonly role: ReportedRole;
  readonly term: Term;
  /** Place up to which it has received the log. */
  readonly received: TermPosition;
  /** Term up to which it promised to receive nothing; 0 if none. */
  readonly heldTerm: Term;
}

/** Takes what one connection to a member gives. */
export interface MemberHandler {
  /** The member accepted the connection. */
  onOpen(mark: TermPosition | undefined): void;
  /** Answers come in the order of the commands. */
  onReply(reply: MemberReply): void;
  /**
   * @param error - why the member refused the connection, if it did
   */
  onClosed(error: WireError | undefined): void;
}

/** One connection to a member. */
export interface MemberChannel {
  /** @param commands - sent together, answered one by one */
  send(commands: readonly MemberCommand[]): void;
  /** Ends the session in good order. */
  close(): void;
  /** Drops the connection and whatever is still on its way. */
  destroy(): void;
}

/** Whom to connect to, and for whom. */
export interface MemberTarget {
  readonly entry: MemberEntry;
  readonly group: GroupId;
  /** Undefined on routes that are open to all. */
  readonly organisation: OrganisationId | undefined;
}

/** Opens connections to members. */
export interface MemberConnector {
  open(target: MemberTarget, handler: MemberHandler): MemberChannel;
  /**
   * @param rows - rows of an answer to `status`
   * @returns what they say, or undefined if they cannot be read
   */
  decodeStatus(rows: readonly string[]): MemberStatus | undefined;
}
