import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { InstanceId } from '@heatherledge/core';
import { toBrand } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { WebSocket } from 'ws';
import type { LinkMemory } from './link-memory.js';
import {
  decodePartFrame,
  type EnvelopeNumbers,
  IncomingParts,
  type IncompleteMessageMemory,
  MAX_PART_BYTES,
  OutgoingParts,
  type PartFrame,
} from './message-parts.js';
import {
  type Envelope,
  envelopeNumbersSchema,
  envelopeSchema,
  type Hello,
  helloSchema,
  MESSAGE_PARTS_FEATURE,
  PEER_PROTOCOL_VERSION,
  SUPPORTED_FEATURES,
} from './peer-messages.js';

/** Largest frame accepted from a peer; a larger one closes the link. */
export const MAX_PEER_FRAME_BYTES = 8 * 1024 * 1024;
/** Largest first message; it is decoded before the sender is known to hold the fleet's secret. */
const MAX_HELLO_BYTES = 4096;
const HANDSHAKE_TIMEOUT_MS = 2000;

/** Receives the events of links. */
export interface PeerLinkListener {
  /** The handshake is done; messages can be sent. */
  onReady(link: PeerLink): void;
  onMessage(link: PeerLink, envelope: Envelope): void;
  /** A part of a message arrived. */
  onPart(link: PeerLink): void;
  /** A message was handed to the socket as a whole. */
  onSent(envelope: Envelope): void;
  /** A message was not sent, or not handled by the receiver, as it is too large; the link stays open. */
  onTooLarge(link: PeerLink, numbers: EnvelopeNumbers): void;
  /** A message's body did not match the schema; the link stays open. */
  onUndecodable(link: PeerLink, kind: string): void;
  /** A frame was malformed or not authenticated, or the handshake timed out; the link is closed. */
  onRefused(reason: string, peer: InstanceId | undefined): void;
  onClosed(link: PeerLink): void;
}

/** The local end of a link. */
export interface PeerLinkIdentity {
  readonly self: InstanceId;
  /** The fleet's secret. */
  readonly secret: string;
  /** Optional parts of the protocol that this instance supports; all by default. */
  readonly features?: readonly string[];
}

const packr = new Packr({ useRecords: false });

/**
 * One end of a WebSocket connection between two instances. Each end proves possession of the
 * fleet's secret before messages are exchanged.
 */
export class PeerLink {
  /** The other instance, as stated in its hello; authenticated before {@link isReady} is true. */
  peer: InstanceId | undefined;

  /** Optional parts of the protocol that the other instance supports. */
  features: readonly string[] = [];

  bytesSent = 0;

  bytesReceived = 0;

  private readonly nonce = randomBytes(16).toString('hex');

  private ready = false;

  private peerNonce: string | undefined;

  private readonly handshakeTimer: NodeJS.Timeout;

  private readonly outgoing: OutgoingParts;

  private readonly incoming: IncomingParts;

  /**
   * @param socket - open or opening connection
   * @param identity - this instance and the fleet's secret
   * @param listener - receives the link's events
   * @param isInitiator - whether this instance opened the connection
   * @param memory - memory for the incomplete messages of all links
   * @param held - counts what the link holds; undefined if it is not limited
   */
  constructor(
    private readonly socket: WebSocket,
    private readonly identity: PeerLinkIdentity,
    private readonly listener: PeerLinkListener,
    private readonly isInitiator: boolean,
    memory: IncompleteMessageMemory,
    private readonly held?: LinkMemory,
  ) {
    this.outgoing = new OutgoingParts(
      (frame, onWritten) => this.writePart(frame, onWritten),
      (envelope) => listener.onSent(envelope),
    );
    this.incoming = new IncomingParts(memory, (message, numbers) =>
      this.writePart({ frame: 'parts.refused', message, ...numbers }),
    );
    if (held !== undefined) held.onExceeded = (reason) => this.refuse(reason);
    this.handshakeTimer = setTimeout(
      () => this.refuse('handshake took too long'),
      HANDSHAKE_TIMEOUT_MS,
    );
    socket.on('message', (data) => this.receive(data as Buffer));
    socket.on('error', () => socket.terminate());
    socket.on('close', () => {
      clearTimeout(this.handshakeTimer);
      this.incoming.close();
      listener.onClosed(this);
    });
    if (isInitiator) socket.on('open', () => this.sendHello());
  }

  /** Whether the handshake is done and the socket is open. */
  get isReady(): boolean {
    return this.ready && this.socket.readyState === WebSocket.OPEN;
  }

  /**
   * Sends a message; drops it if the link is not ready. One that is too large is reported to the listener.
   *
   * @param envelope - message to send
   */
  send(envelope: Envelope): void {
    if (!this.isReady) return;
    const bytes = packr.pack(envelope);
    const isInParts =
      bytes.length > MAX_PART_BYTES && this.features.includes(MESSAGE_PARTS_FEATURE);
    if (!isInParts && bytes.length <= MAX_PEER_FRAME_BYTES) {
      this.write(bytes);
      this.listener.onSent(envelope);
    } else if (!isInParts || !this.outgoing.add(envelope, bytes)) {
      this.listener.onTooLarge(this, envelope);
    }
  }

  /**
   * Stops sending a request.
   *
   * @param ask - number of the request
   * @returns whether a part of it was still to be sent, so that the other instance has not handled it
   */
  cancel(ask: number): boolean {
    return this.outgoing.cancel(ask);
  }

  /** Closes the connection at once, without a closing handshake. */
  close(): void {
    this.socket.terminate();
  }

  private write(bytes: Buffer, onWritten?: () => void): void {
    this.bytesSent += bytes.length;
    this.socket.send(bytes, () => onWritten?.());
  }

  private writePart(frame: PartFrame, onWritten?: () => void): void {
    if (this.isReady) this.write(packr.pack(frame), onWritten);
  }

  private receive(data: Buffer): void {
    this.held?.recordMessage();
    this.bytesReceived += data.length;
    if (!this.ready && data.length > MAX_HELLO_BYTES) {
      this.refuse('the first message is too long');
      return;
    }
    const message = decodeFrame(data);
    if (!this.ready) {
      this.receiveHello(message);
      return;
    }
    const frame = decodePartFrame(message);
    if (frame !== undefined) this.receivePart(frame);
    else this.receiveMessage(message);
  }

  private receivePart(frame: PartFrame): void {
    this.listener.onPart(this);
    if (frame.frame === 'parts.cancelled') this.incoming.discard(frame.message);
    else if (frame.frame === 'parts.refused') {
      this.outgoing.discard(frame.message);
      this.listener.onTooLarge(this, frame);
    } else {
      const result = this.incoming.take(frame);
      if (result.kind === 'malformed') this.refuse('malformed part of a message');
      else if (result.kind === 'complete') this.receiveMessage(decodeFrame(result.bytes));
    }
  }

  private receiveMessage(message: unknown): void {
    const envelope = envelopeSchema.safeParse(message);
    if (envelope.success) this.listener.onMessage(this, envelope.data);
    else this.handleUndecodable(message);
  }

  /**
   * Handles a message that does not match the schema. A well-formed envelope with an unknown body may
   * come from a later version: a request is answered as unsupported, so that the link stays usable
   * for everything else. Any other message closes the link.
   */
  private handleUndecodable(message: unknown): void {
    const numbers = envelopeNumbersSchema.safeParse(message);
    if (!numbers.success) {
      this.refuse('malformed message');
      return;
    }
    const { ask, answer, body } = numbers.data;
    this.listener.onUndecodable(this, body.kind);
    if (answer !== undefined) {
      // The request was handled, with an outcome that is not known here.
      this.listener.onMessage(this, { answer, body: { kind: 'failed' } });
    } else if (ask !== undefined) this.send({ answer: ask, body: { kind: 'unsupported' } });
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
      this.features = hello.features ?? [];
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
    this.finishHandshake();
  }

  private finishHandshake(): void {
    this.ready = true;
    this.held?.recordReady();
    clearTimeout(this.handshakeTimer);
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
      features: [...(this.identity.features ?? SUPPORTED_FEATURES)],
    };
    this.write(packr.pack(hello));
  }

  private checkProof(hello: Hello): boolean {
    if (hello.proof === undefined || hello.instance !== this.peer) return false;
    const expected = this.createProof(!this.isInitiator, hello.instance, this.nonce);
    return timingSafeEqual(Buffer.from(hello.proof), Buffer.from(expected));
  }

  /** The MAC covers the role, so that a proof cannot be reflected to the instance that made it. */
  private createProof(isInitiator: boolean, instance: string, nonce: string): string {
    const mac = createHmac('sha256', this.identity.secret);
    mac.update(`${isInitiator ? 'initiator' : 'acceptor'}\0${instance}\0${nonce}`);
    return mac.digest('hex');
  }

  private refuse(reason: string): void {
    this.listener.onRefused(reason, this.peer);
    this.socket.terminate();
  }
}

/** @returns the decoded value, or undefined if the bytes are malformed */
function decodeFrame(data: Buffer): unknown {
  try {
    return packr.unpack(data) as unknown;
  } catch {
    return undefined;
  }
}
