import type { PeerLink } from './peer-link.js';
import type { Envelope } from './peer-messages.js';

/** Messages buffered for a link that is being opened; further ones are dropped. */
const MAX_BACKLOG_MESSAGES = 64;
/** Requests in a row without a response after which a silent link is replaced. */
const MAX_UNANSWERED_REQUESTS = 2;
/**
 * Silence after which a link may be replaced, which ends the requests under way on it; the other
 * instance may only have been suspended for a moment.
 */
const MIN_LINK_SILENCE_MS = 1000;

/** A message, and the optional part of the protocol that its receiver must support. */
export interface QueuedEnvelope {
  readonly envelope: Envelope;
  readonly feature: string | undefined;
}

/** Receives what becomes of a link's messages. */
export interface OutboundLinkListener {
  /** A message was not sent, since the receiver does not support it. */
  onUnsupported(envelope: Envelope): void;
}

/** A link that this instance opened, with the messages that wait for its handshake. */
export class OutboundLink {
  /** Time of the last message in either direction. */
  usedAt = performance.now();

  private heardAt = performance.now();

  /** Requests in a row that timed out. */
  private unanswered = 0;

  private backlog: QueuedEnvelope[] = [];

  constructor(
    readonly link: PeerLink,
    private readonly listener: OutboundLinkListener,
  ) {}

  /**
   * Sends a message, once the link is open.
   *
   * @returns false if it is not sent: too many messages wait, or the receiver does not support it
   */
  post(queued: QueuedEnvelope): boolean {
    this.usedAt = performance.now();
    if (this.link.isReady) return this.write(queued);
    if (this.backlog.length >= MAX_BACKLOG_MESSAGES) return false;
    this.backlog.push(queued);
    return true;
  }

  /** Sends the messages that wait for the handshake. */
  flush(): void {
    for (const queued of this.backlog.splice(0)) this.write(queued);
  }

  /**
   * Removes a request that still waits for the handshake.
   *
   * @param ask - number of the request
   * @returns whether it was waiting
   */
  cancel(ask: number): boolean {
    const { length } = this.backlog;
    this.backlog = this.backlog.filter(({ envelope }) => envelope.ask !== ask);
    return this.backlog.length < length;
  }

  /** Records a message of the other instance. */
  recordHeard(): void {
    this.usedAt = performance.now();
    this.heardAt = this.usedAt;
    this.unanswered = 0;
  }

  /**
   * Records that a request was not answered in time.
   *
   * @returns whether the link is to be replaced: it may be dead without having been closed
   */
  recordUnanswered(): boolean {
    this.unanswered += 1;
    const isSilent = performance.now() - this.heardAt >= MIN_LINK_SILENCE_MS;
    return isSilent && this.unanswered >= MAX_UNANSWERED_REQUESTS;
  }

  private write({ envelope, feature }: QueuedEnvelope): boolean {
    if (feature !== undefined && !this.link.features.includes(feature)) {
      this.listener.onUnsupported(envelope);
      return false;
    }
    this.link.send(envelope);
    return true;
  }
}
