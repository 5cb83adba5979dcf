/** One authenticated WebSocket between two instances. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { InstanceId } from '@heatherledge/core';
import { toBrand } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import {
  type Envelope,
  envelopeSchema,
  type Hello,
  helloSchema,
  PEER_PROTOCOL_VERSION,
} from './peer-messages.js';

/** Largest frame that a peer may send. */
export const PEER_FRAME_LIMIT_BYTES = 8 * 1024 * 1024;
/** A frame with more elements than this in one array or map is refused by the schemas. */
const HANDSHAKE_TIMEOUT_MS = 2000;

/** What a link tells its owner. */
export interface PeerLinkListener {
  onReady(link: PeerLink): void;
  onMessage(link: PeerLink, envelope: Envelope): void;
  /** A frame that is malformed or not authenticated; the link is closed. */
  onRefused(reason: string): void;
  onClosed(link: PeerLink): void;
}

/** Who a link belongs to. */
export interface PeerLinkIdentity {
  readonly self: InstanceId;
  readonly secret: string;
}

const packr = new Packr({ useRecords: false });

/** One end of a link; both ends prove that they know the secret before anything else is read. */
export class PeerLink {
  peer: InstanceId | undefined;

  bytesSent = 0;

  bytesReceived = 0;

  private readonly nonce = randomBytes(16).toString('hex');

  private ready = false;

  private peerNonce: string | undefined;

  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly socket: WebSocket,
    private readonly identity: PeerLinkIdentity,
    private readonly listener: PeerLinkListener,
    private readonly isInitiator: boolean,
  ) {
    this.timer = setTimeout(() => this.refuse('handshake took too long'), HANDSHAKE_TIMEOUT_MS);
    socket.on('message', (data) => this.receive(data as Buffer));
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      clearTimeout(this.timer);
      listener.onClosed(this);
    });
    if (isInitiator) socket.on('open', () => this.sendHello());
  }

  /** @returns whether messages can be sent now */
  get isReady(): boolean {
    return this.ready && this.socket.readyState === WebSocket.OPEN;
  }

  /**
   * @param envelope - message to send
   */
  send(envelope: Envelope): void {
    if (this.isReady) this.write(packr.pack(envelope));
  }

  /** Ends the link at once. */
  close(): void {
    this.socket.terminate();
  }

  private write(bytes: Buffer): void {
    this.bytesSent += bytes.length;
    this.socket.send(bytes);
  }

  private receive(data: Buffer): void {
    this.bytesReceived += data.length;
    const message = unpackSafely(data);
    if (!this.ready) {
      this.receiveHello(message);
      return;
    }
    const envelope = envelopeSchema.safeParse(message);
    if (!envelope.success) this.refuse('malformed message');
    else this.listener.onMessage(this, envelope.data);
  }

  private receiveHello(message: unknown): void {
    const parsed = helloSchema.safeParse(message);
    if (!parsed.success) {
      this.refuse('malformed hello');
      return;
    }
    const hello = parsed.data;
    if (this.peerNonce === undefined) {
      this.peer = toBrand<InstanceId>(hello.instance);
      this.peerNonce = hello.nonce;
    }
    if (!this.isInitiator && hello.proof === undefined) {
      this.sendHello();
      return;
    }
    if (!this.checkProof(hello)) {
      this.refuse('proof does not match');
      return;
    }
    if (this.isInitiator) this.sendHello();
    this.becomeReady();
  }

  private becomeReady(): void {
    this.ready = true;
    clearTimeout(this.timer);
    this.listener.onReady(this);
  }

  private sendHello(): void {
    const proof =
      this.peerNonce === undefined
        ? undefined
        : this.createProof(this.isInitiator, this.identity.self, this.peerNonce);
    const hello: Hello = {
      version: PEER_PROTOCOL_VERSION,
      instance: this.identity.self,
      nonce: this.nonce,
      proof,
    };
    this.write(packr.pack(hello));
  }

  private checkProof(hello: Hello): boolean {
    if (hello.proof === undefined || hello.instance !== this.peer) return false;
    const expected = this.createProof(!this.isInitiator, hello.instance, this.nonce);
    return timingSafeEqual(Buffer.from(hello.proof), Buffer.from(expected));
  }

  /** The role is part of what is proved, so that a proof cannot be sent back to its maker. */
  private createProof(byInitiator: boolean, instance: string, nonce: string): string {
    const mac = createHmac('sha256', this.identity.secret);
    mac.update(`${byInitiator ? 'initiator' : 'acceptor'}\0${instance}\0${nonce}`);
    return mac.digest('hex');
  }

  private refuse(reason: string): void {
    this.listener.onRefused(reason);
    this.socket.terminate();
  }
}

function unpackSafely(data: Buffer): unknown {
  try {
    return packr.unpack(data) as unknown;
  } catch {
    return undefined;
  }
}
