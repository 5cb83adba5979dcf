/** Passes a member's answer on to the caller, holding back what must not be said too early. */
import {
  BackendCode,
  type ErrorFields,
  type Frame,
  parseCommandTag,
  parseErrorResponse,
} from '@heatherledge/wire';
import type { AnswerSink } from '../upstreams/upstream-connection.js';
import type { UpstreamRequest } from './request-unit.js';

/** SQLSTATE of a member that takes no writes. */
export const READ_ONLY_STATE = '25006';

/** Where an answer goes. */
export interface CallerOutput {
  /**
   * @param bytes - what to send
   * @returns false if more should wait until the output has drained
   */
  write(bytes: Buffer): boolean;
  /** @returns a promise that resolves when more can be sent, or the caller has gone */
  drained(): Promise<void>;
}

/** Bytes of an answer that are kept back, so that a request can be run again elsewhere unseen. */
const KEPT_BACK_BYTES = 16_384;

/** Takes one answer. Its end, and all of a small one, waits until {@link AnswerWriter.complete}. */
export class AnswerWriter implements AnswerSink {
  /** What the member refused, if it did. */
  failure: ErrorFields | undefined;

  /** Command tag of the last statement. */
  lastTag = '';

  /** Last CommandComplete, which says that the statement is done. */
  private held: Buffer | undefined;

  private kept: Buffer[] = [];

  private keptBytes = 0;

  private forwarded = 0;

  private parseCount = 0;

  private closeCount = 0;

  private abandoned = false;

  private gated = false;

  constructor(
    private readonly output: CallerOutput,
    private readonly request: UpstreamRequest,
    private readonly hidesReadOnly: boolean,
  ) {}

  /** @returns whether the caller has been sent any part of the answer */
  get hasForwarded(): boolean {
    return this.forwarded > 0;
  }

  take(frame: Frame): boolean {
    if (this.abandoned || this.isHidden(frame)) return true;
    if (frame.type === BackendCode.ErrorMessage) {
      this.failure = parseErrorResponse(frame.bytes);
      const isHidden = this.hidesReadOnly && this.failure.code === READ_ONLY_STATE;
      if (isHidden && !this.hasForwarded) return true;
    }
    this.keepHeld();
    if (frame.type === BackendCode.CommandComplete) {
      this.lastTag = parseCommandTag(frame.bytes);
      this.held = Buffer.from(frame.bytes);
      return true;
    }
    return this.keep(frame.bytes);
  }

  async drained(): Promise<void> {
    await this.output.drained();
  }

  /** Passes nothing on until {@link AnswerWriter.openGate}, since it may turn out to be too old. */
  closeGate(): void {
    this.gated = true;
  }

  /** Lets the answer pass. */
  openGate(): void {
    this.gated = false;
  }

  /** Lets the caller see the whole answer. */
  complete(): void {
    this.keepHeld();
    this.flush();
  }

  /** Forgets what the caller has not seen; it is told something else. */
  discard(): void {
    this.held = undefined;
    this.kept = [];
    this.keptBytes = 0;
  }

  /** Passes nothing more on, because the caller is given another answer. */
  abandon(): void {
    this.abandoned = true;
    this.discard();
  }

  private keepHeld(): void {
    if (this.held === undefined) return;
    const bytes = this.held;
    this.held = undefined;
    this.keep(bytes);
  }

  private keep(bytes: Buffer): boolean {
    if (this.hasForwarded) {
      this.forwarded += 1;
      return this.output.write(bytes);
    }
    this.kept.push(Buffer.from(bytes));
    this.keptBytes += bytes.length;
    if (this.keptBytes <= KEPT_BACK_BYTES) return true;
    return this.gated ? false : this.flush();
  }

  private flush(): boolean {
    if (this.kept.length === 0) return true;
    const bytes = Buffer.concat(this.kept);
    this.kept = [];
    this.keptBytes = 0;
    this.forwarded += 1;
    return this.output.write(bytes);
  }

  private isHidden({ type }: Frame): boolean {
    if (type === BackendCode.ParameterStatus) return true;
    if (type === BackendCode.ParseComplete) {
      this.parseCount += 1;
      return this.request.hideParse[this.parseCount - 1] ?? false;
    }
    if (type === BackendCode.CloseComplete) {
      this.closeCount += 1;
      return this.request.hideClose[this.closeCount - 1] ?? false;
    }
    return false;
  }
}
