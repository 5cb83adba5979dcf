import type { InstanceId } from '@heatherledge/core';
import { WebSocket } from 'ws';
import type { LinkMemory } from './link-memory.js';
import { LinkServer } from './link-server.js';
import { type EnvelopeNumbers, IncompleteMessageMemory } from './message-parts.js';
import {
  MAX_PEER_FRAME_BYTES,
  PeerLink,
  type PeerLinkIdentity,
  type PeerLinkListener,
} from './peer-link.js';
import type { Envelope, PeerBody, PeerMessageKind } from './peer-messages.js';
import {
  createPeerCounts,
  type ExchangeOptions,
  formatPeerUrl,
  type PeerAddress,
  type PeerHandler,
  type PeerHubLimits,
  type PeerProblemListener,
  type PeerResolver,
} from './peer-hub-types.js';
import { OutboundLink, type OutboundLinkListener, type QueuedEnvelope } from './outbound-link.js';
import { type PeerExchange, PendingRequests } from './pending-requests.js';

const LINK_IDLE_TIMEOUT_MS = 60_000;
const IDLE_CHECK_INTERVAL_MS = 15_000;
/**
 * Exchanges messages with other instances: opens links on demand, closes idle ones and matches
 * responses to requests.
 */
export class PeerHub implements PeerLinkListener, OutboundLinkListener {
  readonly counts = createPeerCounts();

  private readonly handlers = new Map<PeerMessageKind, PeerHandler<never>>();

  private readonly links = new Map<InstanceId, OutboundLink>();

  /** Links that other instances opened. */
  private readonly accepted = new Set<PeerLink>();

  private readonly pendingRequests = new PendingRequests();

  private readonly incompleteMessages = new IncompleteMessageMemory();

  private readonly linkClosedListeners: ((link: PeerLink) => void)[] = [];

  private server: LinkServer | undefined;

  private idleCheckTimer: NodeJS.Timeout | undefined;

  /**
   * @param identity - this instance and the fleet's secret
   * @param resolvePeer - finds the address of an instance
   * @param onProblem - receives messages that could not be decoded or handled
   * @param limits - limits of what other instances make this one hold; none by default
   */
  constructor(
    private readonly identity: PeerLinkIdentity,
    private readonly resolvePeer: PeerResolver,
    private readonly onProblem: PeerProblemListener = () => {},
    private readonly limits?: PeerHubLimits,
  ) {}

  /**
   * Starts listening.
   *
   * @param address - address to listen on; port 0 stands for any free one
   * @returns the port
   * @throws the system's error if the address is in use
   */
  async start(address: PeerAddress): Promise<number> {
    this.server = new LinkServer(this.limits, (socket, held) => {
      this.accepted.add(this.createLink(socket, false, held));
    });
    const port = await this.server.start(address);
    this.idleCheckTimer = setInterval(() => this.closeIdleLinks(), IDLE_CHECK_INTERVAL_MS);
    return port;
  }

  /** Closes all links and stops listening; pending requests resolve to undefined. */
  stop(): void {
    clearInterval(this.idleCheckTimer);
    for (const { link } of this.links.values()) link.close();
    for (const link of this.accepted) link.close();
    this.server?.stop();
    this.pendingRequests.loseAll();
  }

  /**
   * Sets the handler of a kind of message.
   *
   * @param kind - kind of message
   * @param handler - called for each message of the kind; its result is the response
   */
  handle<Kind extends PeerMessageKind>(kind: Kind, handler: PeerHandler<Kind>): void {
    this.handlers.set(kind, handler as unknown as PeerHandler<never>);
  }

  /**
   * Sends a message without waiting for a response; the message may be lost.
   *
   * @param to - receiving instance
   * @param body - message
   */
  send(to: InstanceId, body: PeerBody): void {
    this.post(to, { envelope: { body }, feature: undefined });
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param to - receiving instance
   * @param body - request
   * @param timeoutMs - maximum wait for the response, in milliseconds
   * @returns the response, or undefined after a timeout, if the instance is unknown, or if the
   *   link closes
   */
  async request(to: InstanceId, body: PeerBody, timeoutMs: number): Promise<PeerBody | undefined> {
    const exchange = await this.exchange(to, body, timeoutMs);
    return exchange.kind === 'answered' ? exchange.body : undefined;
  }

  /**
   * Sends a request and waits for its response.
   *
   * @param to - receiving instance
   * @param body - request
   * @param timeoutMs - maximum wait for the response, in milliseconds
   * @param options - what the request needs of its link
   * @returns the response, or whether the request may have been received without one
   */
  async exchange(
    to: InstanceId,
    body: PeerBody,
    timeoutMs: number,
    { feature, connectTimeoutMs }: ExchangeOptions = {},
  ): Promise<PeerExchange> {
    const { id, exchange } = this.pendingRequests.add(to, timeoutMs, (expired) =>
      this.expireRequest(expired, to),
    );
    if (!this.post(to, { envelope: { ask: id, body }, feature })) this.pendingRequests.lose(id);
    else if (connectTimeoutMs !== undefined && this.links.get(to)?.link.isReady === false) {
      setTimeout(() => this.cancelUnsent(id, to), connectTimeoutMs);
    }
    return exchange;
  }

  /** Sends a message over all open links, without opening others; it may be lost. */
  broadcast(body: PeerBody): void {
    const links = [...this.accepted, ...[...this.links.values()].map(({ link }) => link)];
    for (const link of links) if (link.isReady) link.send({ body });
  }

  /** Adds a listener that is called when a link that another instance opened has closed. */
  onLinkClosed(listener: (link: PeerLink) => void): void {
    this.linkClosedListeners.push(listener);
  }

  onReady(link: PeerLink): void {
    const outbound = link.peer === undefined ? undefined : this.links.get(link.peer);
    if (outbound?.link === link) outbound.flush();
  }

  onMessage(link: PeerLink, envelope: Envelope): void {
    this.counts.messagesReceived += 1;
    this.onPart(link);
    if (envelope.answer !== undefined) this.pendingRequests.answer(envelope.answer, envelope.body);
    else void this.dispatch(link, envelope);
  }

  onPart(link: PeerLink): void {
    const outbound = link.peer === undefined ? undefined : this.links.get(link.peer);
    // A message over the other instance's link says nothing about the link from here.
    if (outbound?.link === link) outbound.recordHeard();
  }

  onUndecodable(link: PeerLink, kind: string): void {
    this.onProblem({ peer: link.peer, kind, reason: 'the message does not match its schema' });
  }

  onRefused(reason: string, peer: InstanceId | undefined): void {
    this.counts.refused += 1;
    this.onProblem({ peer, kind: undefined, reason });
  }

  onClosed(link: PeerLink): void {
    this.counts.bytesSent += link.bytesSent;
    this.counts.bytesReceived += link.bytesReceived;
    if (this.accepted.delete(link)) {
      for (const listener of this.linkClosedListeners) listener(link);
    }
    for (const [id, outbound] of this.links) {
      if (outbound.link !== link) continue;
      this.links.delete(id);
      // Responses to requests sent over this link can no longer arrive.
      this.pendingRequests.loseAll(id);
    }
  }

  /** @returns bytes sent and received so far, open links included */
  get bytes(): { sent: number; received: number } {
    let { bytesSent: sent, bytesReceived: received } = this.counts;
    for (const link of [
      ...this.accepted,
      ...[...this.links.values()].map((outbound) => outbound.link),
    ]) {
      sent += link.bytesSent;
      received += link.bytesReceived;
    }
    return { sent, received };
  }

  private async dispatch(link: PeerLink, envelope: Envelope): Promise<void> {
    if (link.peer === undefined) return;
    const handler = this.handlers.get(envelope.body.kind);
    let response: PeerBody | undefined =
      handler === undefined ? { kind: 'unsupported' } : undefined;
    try {
      response ??= await handler?.(envelope.body as never, link.peer, link);
    } catch (error) {
      this.onProblem({ peer: link.peer, kind: envelope.body.kind, reason: String(error) });
      response = { kind: 'failed' };
    }
    if (envelope.ask !== undefined) {
      link.send({ answer: envelope.ask, body: response ?? { kind: 'done' } });
    }
  }

  onSent({ ask }: Envelope): void {
    this.counts.messagesSent += 1;
    if (ask !== undefined) this.pendingRequests.markSent(ask);
  }

  onTooLarge(link: PeerLink, { ask, answer }: EnvelopeNumbers): void {
    this.onProblem({ peer: link.peer, kind: undefined, reason: 'a message is too large' });
    if (ask !== undefined) this.pendingRequests.refuse(ask);
    // The request was handled, with an outcome that cannot be sent.
    if (answer !== undefined) link.send({ answer, body: { kind: 'failed' } });
  }

  onUnsupported({ ask }: Envelope): void {
    if (ask !== undefined) this.pendingRequests.lose(ask);
  }

  /** @returns false if the message cannot be sent: the instance is unknown, dead or too old */
  private post(to: InstanceId, queued: QueuedEnvelope): boolean {
    return (this.links.get(to) ?? this.openLink(to))?.post(queued) ?? false;
  }

  private openLink(to: InstanceId): OutboundLink | undefined {
    const record = this.resolvePeer(to);
    if (record === undefined || record.state === 'dead') return undefined;
    const url = formatPeerUrl(record);
    if (url === undefined) {
      this.onProblem({ peer: to, kind: undefined, reason: 'the address names no host' });
      return undefined;
    }
    const socket = new WebSocket(url, {
      maxPayload: MAX_PEER_FRAME_BYTES,
      handshakeTimeout: 1000,
      perMessageDeflate: false,
    });
    const outbound = new OutboundLink(this.createLink(socket, true), this);
    this.links.set(to, outbound);
    return outbound;
  }

  private createLink(socket: WebSocket, isInitiator: boolean, held?: LinkMemory): PeerLink {
    return new PeerLink(socket, this.identity, this, isInitiator, this.incompleteMessages, held);
  }

  /** Ends a request that still waits for its link, so that it is not sent once the link opens. */
  private cancelUnsent(requestId: number, to: InstanceId): void {
    if (this.links.get(to)?.cancel(requestId)) this.pendingRequests.lose(requestId);
  }

  private expireRequest(requestId: number, to: InstanceId): void {
    this.cancelUnsent(requestId, to);
    const outbound = this.links.get(to);
    if (outbound?.link.cancel(requestId)) this.pendingRequests.refuse(requestId);
    this.pendingRequests.lose(requestId);
    if (outbound === undefined || !outbound.recordUnanswered()) return;
    this.links.delete(to);
    outbound.link.close();
    this.pendingRequests.loseAll(to);
  }

  private closeIdleLinks(): void {
    const idleSince = performance.now() - LINK_IDLE_TIMEOUT_MS;
    for (const { link, usedAt } of this.links.values()) if (usedAt < idleSince) link.close();
  }
}
