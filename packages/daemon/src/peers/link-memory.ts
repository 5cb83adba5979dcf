import type { Socket } from 'node:net';
import type { MemoryBudget } from '@heatherledge/core';

/** Bytes without a whole message that a connection may send before its handshake is done. */
const MAX_HANDSHAKE_BYTES = 64 * 1024;

/** Counts what a link holds: the bytes of a frame that has not arrived as a whole, and those not sent. */
export class LinkMemory {
  private incompleteBytes = 0;

  private isReady = false;

  private readonly account;

  /** Closes the link; set by it. */
  onExceeded: (reason: string) => void = () => {};

  /**
   * @param socket - connection that an instance opened
   * @param budget - memory of all links
   * @param onReady - called when the handshake is done
   */
  constructor(
    private readonly socket: Socket,
    budget: MemoryBudget,
    private readonly onReady: () => void,
  ) {
    this.account = budget.open(
      () => this.onExceeded('the links hold too much'),
      `${socket.remoteAddress}`,
    );
    // Before the listener that decodes frames, so that what it reports as a message is not counted again.
    socket.prependListener('data', (chunk: Buffer) => this.receive(chunk));
    socket.once('close', () => this.account.close());
  }

  /** Whether the other instance has begun a frame that it has not ended. */
  get isExpecting(): boolean {
    return this.incompleteBytes > 0;
  }

  /** Records that the handshake is done. */
  recordReady(): void {
    this.isReady = true;
    this.onReady();
  }

  /** Records that a whole message has arrived; the end of its last chunk is not counted. */
  recordMessage(): void {
    this.incompleteBytes = 0;
    this.account.setOutstandingSince(undefined);
    this.account.use(this.socket.writableLength);
  }

  private receive(chunk: Buffer): void {
    if (this.incompleteBytes === 0) this.account.setOutstandingSince(performance.now());
    this.incompleteBytes += chunk.length;
    if (!this.isReady && this.incompleteBytes > MAX_HANDSHAKE_BYTES) {
      this.onExceeded('too much was sent before the handshake');
      return;
    }
    this.account.use(this.incompleteBytes + this.socket.writableLength);
  }
}
