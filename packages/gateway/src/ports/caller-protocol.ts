/** What the gateway exchanges with callers, whatever protocol they speak. */
import type { TermPosition } from '@heatherledge/core';

/** Whether a statement or prepared statement changes data. */
export type Access = 'read' | 'write';

/** One statement of a caller. */
export type CallerStatement =
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit'; readonly text: string }
  | { readonly kind: 'rollback' }
  /** A read or write; members are given `text` as it came. */
  | { readonly kind: 'data'; readonly access: Access; readonly text: string }
  | { readonly kind: 'set'; readonly name: string; readonly value: string }
  | {
      readonly kind: 'prepare';
      readonly name: string;
      readonly access: Access;
      readonly shape: string;
    }
  /** Runs a prepared statement; `args` follow its name as they came. */
  | { readonly kind: 'execute'; readonly name: string; readonly args: string }
  | { readonly kind: 'deallocate'; readonly name: string };

/** What a caller sends. */
export type CallerMessage =
  | { readonly kind: 'start'; readonly database: string; readonly key: string | undefined }
  | { readonly kind: 'query'; readonly requestId: string; readonly statement: CallerStatement }
  | { readonly kind: 'terminate' }
  | { readonly kind: 'malformed'; readonly reason: string };

/** Why a request was not answered with success. */
export type ErrorCode =
  /** Not run: no member could take it in time. */
  | 'busy'
  /** Not run, or rolled back as a whole. */
  | 'aborted'
  /** Not run: no log held what the read must see. */
  | 'lagging'
  /** Not run: the member is not the primary. */
  | 'read-only'
  /** Not run: the member is not the one that was meant. */
  | 'wrong-member'
  /** Not run: a member's connections are all in use. */
  | 'connection-limit'
  /** Not run: no prepared statement has the name. */
  | 'unknown-name'
  /** Not run: the message could not be read, or does not fit the session's state. */
  | 'malformed'
  /** Not run: no route has the database's name. */
  | 'unknown-database'
  /** Not run: the key is not valid, or not known to be valid any more. */
  | 'key-rejected'
  /** Run without success. */
  | 'failed'
  /** The statement's time ran out; it may have run. */
  | 'timeout'
  /** A write or commit was sent and its outcome is unknown. */
  | 'in-doubt';

/** An error and a text for people. */
export interface WireError {
  readonly code: ErrorCode;
  readonly text: string;
}

/** Whether a session is inside a transaction. */
export type TransactionState = 'idle' | 'open' | 'failed';

/** The whole answer to one statement, or to the start of a session. */
export interface StatementReply {
  readonly rows: readonly string[];
  /** A member's signature, or undefined where the gateway answers by itself. */
  readonly signature: string | undefined;
  readonly error: WireError | undefined;
  readonly state: TransactionState;
  readonly mark: TermPosition | undefined;
}

/** Takes what one caller sends. */
export interface CallerHandler {
  onMessage(message: CallerMessage): void;
  onClosed(): void;
}

/** One caller's connection. */
export interface CallerChannel {
  /** @param reply - whole answer to the start of the session */
  sendStarted(reply: StatementReply): void;
  /** @param reply - whole answer to a statement */
  sendReply(reply: StatementReply): void;
  /** Sends an error that ends the connection. */
  sendFinalError(error: WireError): void;
  /** Ends the connection after what was sent. */
  close(): void;
}

/** Accepts callers. */
export interface CallerListener {
  /**
   * @param onCaller - called for each new connection; returns who takes its messages
   */
  start(onCaller: (channel: CallerChannel) => CallerHandler): Promise<void>;
  /** Accepts no more; open connections stay. */
  stop(): void;
}
