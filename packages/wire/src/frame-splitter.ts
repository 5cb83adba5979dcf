/** Splits a PostgreSQL byte stream into whole messages without parsing their bodies. */

/** Bytes of a message header: one type byte and a four byte length. */
export const FRAME_HEADER_BYTES = 5;

/** One protocol message: its type byte and all of its bytes, header included. */
export interface Frame {
  readonly type: number;
  readonly bytes: Buffer;
}

/** Raised when a peer announces a message larger than allowed, or an impossible length. */
export class FrameLengthError extends Error {
  constructor(
    readonly announcedBytes: number,
    readonly limitBytes: number,
  ) {
    super(`message of ${announcedBytes} bytes; the limit is ${limitBytes}`);
    this.name = 'FrameLengthError';
  }
}

/** Collects chunks of a stream and hands out the messages completed by them. */
export class FrameSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** @param limitBytes - largest message accepted, in bytes */
  constructor(private readonly limitBytes: number) {}

  /**
   * Adds received bytes.
   *
   * @param chunk - bytes in the order in which they arrived
   * @returns the messages that are now whole, oldest first
   * @throws FrameLengthError if a message's announced length is out of bounds
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

  /** @returns how many bytes wait for the rest of their message */
  get pendingBytes(): number {
    return this.pending.length;
  }

  private readSize(offset: number): number | undefined {
    if (this.pending.length - offset < FRAME_HEADER_BYTES) return undefined;
    const length = this.pending.readInt32BE(offset + 1);
    if (length < 4 || length > this.limitBytes) {
      throw new FrameLengthError(length, this.limitBytes);
    }
    return length + 1;
  }
}
