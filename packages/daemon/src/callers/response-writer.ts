import {
  BackendCode,
  type ErrorFields,
  type Frame,
  parseCommandTag,
  parseErrorResponse,
} from '@heatherledge/wire';
import type { ResponseSink } from '../upstreams/upstream-connection.js';
import type { UpstreamRequest } from './request-rewriter.js';

/** SQLSTATE with which a read-only member refuses a write. */
export const READ_ONLY_SQLSTATE = '25006';

/** Destination of a response. */
export interface CallerOutput {
  /**
   * @param bytes - messages to send
   * @returns false if the writer should wait for the output to drain before it writes more
   */
  write(bytes: Buffer): boolean;
  /** @returns a promise that resolves when more can be written or the caller has disconnected */
  waitForDrain(): Promise<void>;
}

/**
 * Bytes of a response that are buffered before any is forwarded. Until then the request can be run
 * again at another member without the caller seeing it.
 */
const MAX_BUFFERED_RESPONSE_BYTES = 16_384;

/**
 * Forwards one response of a member to the caller. The last CommandComplete, and all of a response
 * that fits the buffer, is held until {@link ResponseWriter.complete}, because a statement must not be
 * reported as done before its outcome is certain.
 */
export class ResponseWriter implements ResponseSink {
  /** Fields of the member's error response, if any; also set if the error is hidden from the caller. */
  failure: ErrorFields | undefined;

  /** Whether an error response was hidden from the caller, who has received nothing. */
  hasHiddenError = false;

  /** Command tag of the last statement. */
  lastTag = '';

  /** Last CommandComplete, which reports the statement as done and is not forwarded yet. */
  private heldCompletion: Buffer | undefined;

  private buffered: Buffer[] = [];

  private bufferedBytes = 0;

  private outputWriteCount = 0;

  private parseCompleteCount = 0;

  private closeCompleteCount = 0;

  private isAbandoned = false;

  private isForwardingBlocked = false;

  /**
   * @param output - destination of the response
   * @param request - request that the member responds to
   * @param hidesReadOnlyError - whether a read-only error is hidden from the caller if nothing has
   * been forwarded
   */
  constructor(
    private readonly output: CallerOutput,
    private readonly request: UpstreamRequest,
    private readonly hidesReadOnlyError: boolean,
  ) {}

  /** @returns whether any part of the response has been sent to the caller */
  get hasForwarded(): boolean {
    return this.outputWriteCount > 0;
  }

  writeFrame(frame: Frame): boolean {
    if (this.isAbandoned || this.isHidden(frame)) return true;
    if (frame.type === BackendCode.ErrorMessage) {
      this.failure = parseErrorResponse(frame.bytes);
      const isHidden = this.hidesReadOnlyError && this.failure.code === READ_ONLY_SQLSTATE;
      this.hasHiddenError = isHidden && !this.hasForwarded;
      if (this.hasHiddenError) return true;
    }
    this.forwardHeldCompletion();
    if (frame.type === BackendCode.CommandComplete) {
      this.lastTag = parseCommandTag(frame.bytes);
      this.heldCompletion = Buffer.from(frame.bytes);
      return true;
    }
    return this.forward(frame.bytes);
  }

  async waitForDrain(): Promise<void> {
    await this.output.waitForDrain();
  }

  /**
   * Buffers the response until {@link ResponseWriter.unblockForwarding}, because the data may turn out
   * to be too stale. The buffer can then grow beyond `MAX_BUFFERED_RESPONSE_BYTES`. Has no effect once
   * a part of the response has been forwarded, or on {@link ResponseWriter.complete}.
   */
  blockForwarding(): void {
    this.isForwardingBlocked = true;
  }

  /** Allows forwarding again. */
  unblockForwarding(): void {
    this.isForwardingBlocked = false;
  }

  /** Forwards the rest of the response, with the held CommandComplete. */
  complete(): void {
    this.forwardHeldCompletion();
    this.flush();
  }

  /** Discards what has not been forwarded; messages that arrive later are still accepted. */
  discardUnforwarded(): void {
    this.heldCompletion = undefined;
    this.buffered = [];
    this.bufferedBytes = 0;
  }

  /**
   * Discards what has not been forwarded and every later message, because the caller gets an error or
   * another member's response instead.
   */
  discardAll(): void {
    this.isAbandoned = true;
    this.discardUnforwarded();
  }

  private forwardHeldCompletion(): void {
    if (this.heldCompletion === undefined) return;
    const bytes = this.heldCompletion;
    this.heldCompletion = undefined;
    this.forward(bytes);
  }

  private forward(bytes: Buffer): boolean {
    if (this.hasForwarded) {
      this.outputWriteCount += 1;
      return this.output.write(bytes);
    }
    this.buffered.push(Buffer.from(bytes));
    this.bufferedBytes += bytes.length;
    if (this.bufferedBytes <= MAX_BUFFERED_RESPONSE_BYTES) return true;
    return this.isForwardingBlocked ? false : this.flush();
  }

  private flush(): boolean {
    if (this.buffered.length === 0) return true;
    const bytes = Buffer.concat(this.buffered);
    this.buffered = [];
    this.bufferedBytes = 0;
    this.outputWriteCount += 1;
    return this.output.write(bytes);
  }

  /**
   * Whether a message is hidden from the caller. Counts the ParseComplete and CloseComplete messages,
   * because the request lists by their order which of them are hidden.
   */
  private isHidden({ type }: Frame): boolean {
    if (type === BackendCode.ParameterStatus) return true;
    if (type === BackendCode.ParseComplete) {
      this.request.onParsed?.(this.parseCompleteCount);
      this.parseCompleteCount += 1;
      return this.request.hideParse[this.parseCompleteCount - 1] ?? false;
    }
    if (type === BackendCode.CloseComplete) {
      this.closeCompleteCount += 1;
      return this.request.hideClose[this.closeCompleteCount - 1] ?? false;
    }
    return false;
  }
}
