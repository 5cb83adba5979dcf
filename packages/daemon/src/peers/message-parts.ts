import * as z from 'zod';
import type { Envelope } from './peer-messages.js';

/** A longer message is sent in parts, so that those of others wait for one part of it at most. */
export const MAX_PART_BYTES = 128 * 1024;
/** Largest message that is sent or accepted in parts. */
export const MAX_PEER_MESSAGE_BYTES = 32 * 1024 * 1024;
/** Limit of all messages together that one link has begun to send in parts. */
const MAX_UNSENT_BYTES = 64 * 1024 * 1024;
/** Limit of all incomplete messages of all links together at a receiver. */
const MAX_INCOMPLETE_BYTES = 48 * 1024 * 1024;
/** An incomplete message of which nothing has arrived for this long is discarded. */
const INCOMPLETE_MESSAGE_TTL_MS = 5000;

/** The numbers of an envelope, which tell what becomes of a message that is not delivered. */
export type EnvelopeNumbers = Pick<Envelope, 'ask' | 'answer'>;

const envelopeNumbers = { ask: z.number().optional(), answer: z.number().optional() };

/** Frames that carry parts of messages; instances of earlier versions do not know them. */
const partFrameSchema = z.discriminatedUnion('frame', [
  z.object({
    frame: z.literal('part'),
    /** Number of the message among those that the link's end sends in parts. */
    message: z.int(),
    /** Length of the whole message. */
    total: z.int().positive().max(MAX_PEER_MESSAGE_BYTES),
    /** Bytes of the message before this part. */
    offset: z.int().nonnegative(),
    bytes: z.custom<Uint8Array>((value) => value instanceof Uint8Array && value.length > 0),
    ...envelopeNumbers,
  }),
  /** Sent by the sender of a message: no further parts of it follow. */
  z.object({ frame: z.literal('parts.cancelled'), message: z.int() }),
  /** Sent by the receiver of a message: it was not accepted, and nothing of it was handled. */
  z.object({ frame: z.literal('parts.refused'), message: z.int(), ...envelopeNumbers }),
]);

/** A frame that carries a part of a message, or what becomes of such a message. */
export type PartFrame = z.infer<typeof partFrameSchema>;

/**
 * @param message - a decoded frame
 * @returns the frame, or undefined if it is a message or malformed; messages are told apart without a full
 *   check, since nearly all frames are messages
 */
export function decodePartFrame(message: unknown): PartFrame | undefined {
  if (typeof message !== 'object' || message === null || !('frame' in message)) return undefined;
  return partFrameSchema.safeParse(message).data;
}

type Part = Extract<PartFrame, { frame: 'part' }>;

interface OutgoingMessage {
  readonly number: number;
  readonly envelope: Envelope;
  readonly bytes: Buffer;
  offset: number;
}

/** The messages that one end of a link sends in parts, one part of each in turn. */
export class OutgoingParts {
  private queue: OutgoingMessage[] = [];

  private unsentBytes = 0;

  private nextNumber = 1;

  private isWriting = false;

  /**
   * @param write - writes a frame, and calls back once the socket has taken it
   * @param onSent - called when all parts of a message are handed to the socket
   */
  constructor(
    private readonly write: (frame: PartFrame, onWritten: () => void) => void,
    private readonly onSent: (envelope: Envelope) => void,
  ) {}

  /**
   * Starts to send a message.
   *
   * @returns false if it is too large, alone or together with those that are being sent
   */
  add(envelope: Envelope, bytes: Buffer): boolean {
    if (bytes.length > MAX_PEER_MESSAGE_BYTES) return false;
    if (this.unsentBytes + bytes.length > MAX_UNSENT_BYTES) return false;
    this.queue.push({ number: this.nextNumber, envelope, bytes, offset: 0 });
    this.nextNumber += 1;
    this.unsentBytes += bytes.length;
    this.writeNext();
    return true;
  }

  /**
   * Stops sending a request.
   *
   * @returns whether a part of it was still to be sent, so that the receiver has not handled it
   */
  cancel(ask: number): boolean {
    const message = this.queue.find(({ envelope }) => envelope.ask === ask);
    if (message === undefined) return false;
    this.remove(message);
    this.write({ frame: 'parts.cancelled', message: message.number }, () => {});
    return true;
  }

  /** Stops sending a message that the receiver has refused. */
  discard(number: number): void {
    const message = this.queue.find((other) => other.number === number);
    if (message !== undefined) this.remove(message);
  }

  private remove(message: OutgoingMessage): void {
    this.queue = this.queue.filter((other) => other !== message);
    this.unsentBytes -= message.bytes.length;
  }

  private writeNext(): void {
    if (this.isWriting) return;
    const message = this.queue.shift();
    if (message === undefined) return;
    const { number, envelope, bytes, offset } = message;
    const { ask, answer } = envelope;
    const part = bytes.subarray(offset, offset + MAX_PART_BYTES);
    message.offset += part.length;
    const isLast = message.offset === bytes.length;
    if (isLast) this.unsentBytes -= bytes.length;
    else this.queue.push(message);
    this.isWriting = true;
    const total = bytes.length;
    const frame = { frame: 'part' as const, message: number, total, offset, bytes: part };
    this.write({ ...frame, ask, answer }, () => {
      this.isWriting = false;
      this.writeNext();
    });
    if (isLast) this.onSent(envelope);
  }
}

/** Memory for the incomplete messages of all links of an instance. */
export class IncompleteMessageMemory {
  private usedBytes = 0;

  /** @returns false if the memory does not suffice */
  reserve(bytes: number): boolean {
    if (this.usedBytes + bytes > MAX_INCOMPLETE_BYTES) return false;
    this.usedBytes += bytes;
    return true;
  }

  /** Releases reserved memory. */
  release(bytes: number): void {
    this.usedBytes -= bytes;
  }
}

interface IncomingMessage {
  readonly bytes: Buffer;
  receivedBytes: number;
  readonly timer: NodeJS.Timeout;
}

/** What a part brings: a whole message, nothing yet, or a violation of the protocol. */
export type PartResult =
  | { readonly kind: 'complete'; readonly bytes: Buffer }
  | { readonly kind: 'incomplete' | 'malformed' };

/** The messages that one end of a link receives in parts. */
export class IncomingParts {
  private readonly messages = new Map<number, IncomingMessage>();

  /**
   * @param memory - memory for the incomplete messages of all links
   * @param onRefused - called when a message is not accepted or is discarded
   */
  constructor(
    private readonly memory: IncompleteMessageMemory,
    private readonly onRefused: (message: number, numbers: EnvelopeNumbers) => void,
  ) {}

  /** Takes a part. Further parts of a message that was refused or discarded are ignored. */
  take(part: Part): PartResult {
    const { message: number, total, offset, bytes } = part;
    const message = offset === 0 ? this.begin(part) : this.messages.get(number);
    if (message === undefined) return { kind: 'incomplete' };
    const isNext = offset === message.receivedBytes && total === message.bytes.length;
    if (!isNext || offset + bytes.length > total) return { kind: 'malformed' };
    message.bytes.set(bytes, offset);
    message.receivedBytes += bytes.length;
    message.timer.refresh();
    if (message.receivedBytes < total) return { kind: 'incomplete' };
    this.discard(number);
    return { kind: 'complete', bytes: message.bytes };
  }

  /** Discards an incomplete message. */
  discard(number: number): void {
    const message = this.messages.get(number);
    if (message === undefined) return;
    clearTimeout(message.timer);
    this.messages.delete(number);
    this.memory.release(message.bytes.length);
  }

  /** Discards all incomplete messages. */
  close(): void {
    for (const number of this.messages.keys()) this.discard(number);
  }

  private begin({ message: number, total, ask, answer }: Part): IncomingMessage | undefined {
    const known = this.messages.get(number);
    if (known !== undefined) return known;
    if (!this.memory.reserve(total)) {
      this.onRefused(number, { ask, answer });
      return undefined;
    }
    const timer = setTimeout(() => {
      this.discard(number);
      this.onRefused(number, { ask, answer });
    }, INCOMPLETE_MESSAGE_TTL_MS);
    const message = { bytes: Buffer.allocUnsafeSlow(total), receivedBytes: 0, timer };
    this.messages.set(number, message);
    return message;
  }
}
