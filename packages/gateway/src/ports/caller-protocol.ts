import type { TermPosition } from '@heatherledge/core';

/** Whether a statement reads or changes data. */
export type Access = 'read' | 'write';

/** One statement of a caller. */
export type CallerStatement =
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit'; readonly text: string }
  | { readonly kind: 'rollback' }
  /** A read or write; `text` is forwarded to members unchanged. */
  | { readonly kind: 'data'; readonly access: Access; readonly text: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      /** Definition of the statement, forwarded unchanged. */
      readonly shape: string;
    }
  /**
   * Runs a prepared statement; `args` is the text after its name, with the blank before it, forwarded
   * unchanged.
   */
  | { readonly kind: 'execute'; readonly name: string; readonly args: string }
  | { readonly kind: 'deallocate'; readonly name: string };

/** A message from a caller, whatever protocol it uses. */
export type CallerMessage =
  | { readonly kind: 'start'; readonly database: string; readonly key: string | undefined }
  | { readonly kind: 'query'; readonly requestId: string; readonly statement: CallerStatement }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'malformed'; readonly reason: string };

/** Why a request did not succeed. */
export type ErrorCode =
  /** Not run: no member could run it in time. */
  | 'busy'
  /** Not run, or rolled back as a whole. */
  | 'aborted'
  /** Not run: no available member's log held the position that the read requires. */
  | 'lagging'
  /** Not run: the member is not the primary. */
  | 'read-only'
  /** Not run: the connection led to another member than the requested one. */
  | 'wrong-member'
  /** Not run: the member has reached its connection limit. */
  | 'connection-limit'
  /** Not run: no prepared statement has the name. */
  | 'unknown-name'
  /** Not run: the message could not be decoded, or is not allowed in the session's state. */
  | 'malformed'
  /** Not run: no route has the database's name. */
  | 'unknown-database'
  /** Not run: the key is not valid, or no longer known to be valid. */
  | 'key-rejected'
  /** Run, and failed. */
  | 'failed'
  /** The statement's timeout passed; it may have run. */
  | 'timeout'
  /** A write or commit was sent and its outcome is unknown. */
  | 'in-doubt';

/** An error code with a text that explains it. */
export interface WireError {
  readonly code: ErrorCode;
  readonly text: string;
}

/** Whether a session is inside a transaction. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The complete reply to one statement, or to the start of a session. */
export interface StatementReply {
  readonly rows: readonly string[];
  /** The member's signature; undefined in replies of the gateway itself. */
  readonly signature: string | undefined;
  readonly error: WireError | undefined;
  readonly state: TransactionState;
  /** Log position of the member when it replied; undefined in replies of the gateway itself. */
  readonly mark: TermPosition | undefined;
}

/** Handles the messages of one caller. */
export interface CallerHandler {
  onMessage(message: CallerMessage): void;
  onClosed(): void;
}

/** A connection to a caller. */
export interface CallerChannel {
  /** Whether messages were received that the handler has not been given yet. */
  readonly hasWaitingMessages: boolean;
  /** Reports the memory that the session's state holds; counted with that of the connection. */
  setStateBytes(bytes: number): void;
  /** Sends the reply to the start of the session. */
  sendStarted(reply: StatementReply): void;
  /** Sends the reply to a statement. */
  sendReply(reply: StatementReply): void;
  /** Sends an error and closes the connection. */
  sendFinalError(error: WireError): void;
  /** Closes the connection after everything has been sent. */
  close(): void;
}

/** Accepts callers. */
export interface CallerListener {
  /**
   * Starts to accept callers.
   *
   * @param onCaller - called for each new connection; returns the handler of its messages
   */
  start(onCaller: (channel: CallerChannel) => CallerHandler): Promise<void>;
  /** Stops accepting callers; open connections stay open. */
  stop(): void;
}
