/** Size of a message header: a type byte and a length of four bytes. */
export const FRAME_HEADER_BYTES = 5;

/** One protocol message: its type byte, and all of its bytes including the header. */
export interface Frame {
  readonly type: number;
  readonly bytes: Buffer;
}

/** Thrown if a message header announces a length that is invalid or above the limit. */
export class FrameLengthError extends Error {
  constructor(
    readonly announcedBytes: number,
    readonly limitBytes: number,
  ) {
    super(`message of ${announcedBytes} bytes; the limit is ${limitBytes}`);
    this.name = 'FrameLengthError';
  }
}

/** Splits a PostgreSQL byte stream into whole messages without parsing their bodies. */
export class FrameSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** @param limitBytes - maximum length that a message header may announce */
  constructor(private readonly limitBytes: number) {}

  /**
   * Adds received bytes and returns the messages that they complete.
   *
   * @param chunk - next bytes of the stream
   * @returns the completed messages, oldest first
   * @throws FrameLengthError if a header announces a length out of bounds
   */
  push(chunk: Buffer): Frame[] {
    this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
    const frames: Frame[] = [];
    let offset = 0;
    for (;;) {
      const size = this.readSize(offset);
      if (size === undefined || this.pending.length - offset < size) break;
      const bytes = this.pending.subarray(offset, offset + size);
      frames.push({ type: bytes[0] ?? 0, bytes });
      offset += size;
    }
    this.pending = this.pending.subarray(offset);
    return frames;
  }

  /** Number of buffered bytes that belong to an incomplete message. */
  get pendingBytes(): number {
    return this.pending.length;
  }

  /** @returns size of the message at an offset, or undefined if its header is incomplete */
  private readSize(offset: number): number | undefined {
    if (this.pending.length - offset < FRAME_HEADER_BYTES) return undefined;
    const length = this.pending.readInt32BE(offset + 1);
    if (length < 4 || length > this.limitBytes) {
      throw new FrameLengthError(length, this.limitBytes);
    }
    return length + 1;
  }
}
