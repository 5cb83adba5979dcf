import type { InstanceId, InstanceRecord } from '@heatherledge/core';
import { WebSocket, WebSocketServer } from 'ws';
import {
  MAX_PEER_FRAME_BYTES,
  PeerLink,
  type PeerLinkIdentity,
  type PeerLinkListener,
} from './peer-link.js';
import type { Envelope, PeerBody, PeerBodyOf, PeerMessageKind } from './peer-messages.js';

/** Handles messages of one kind. A request without a result is answered with `done`. */
export type PeerHandler<Kind extends PeerMessageKind> = (
  body: PeerBodyOf<Kind>,
  from: InstanceId,
) => Promise<PeerBody | undefined> | PeerBody | undefined;

/** Finds the record of an instance; undefined if it is unknown. */
export type PeerResolver = (id: InstanceId) => InstanceRecord | undefined;

/** Address that the hub listens on. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Counters for metrics and the state dump; bytes are added when a link closes. */
export interface PeerCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
  /** Links closed because of a malformed or unauthenticated frame, or a handshake timeout. */
  refused: number;
}

/** A request that waits for its response. */
interface PendingRequest {
  readonly to: InstanceId;
  readonly resolve: (body: PeerBody | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

const LINK_IDLE_TIMEOUT_MS = 60_000;
const IDLE_CHECK_INTERVAL_MS = 15_000;
/** Requests in a row without a response after which a link is replaced. */
const MAX_UNANSWERED_REQUESTS = 2;

/** A link that this instance opened. */
interface OutboundLink {
  link: PeerLink;
  /** Time of the last message in either direction. */
  usedAt: number;
  /** Requests in a row that timed out. */
  unanswered: number;
  /** Messages to be sent once the handshake is done. */
  backlog: Envelope[];
}

/** Messages buffered for a link that is being opened; further ones are dropped. */
const MAX_BACKLOG_MESSAGES = 64;

/**
 * Exchanges messages with other instances: opens links on demand, closes idle ones and matches
 * responses to requests.
 */
export class PeerHub implements PeerLinkListener {
  readonly counts: PeerCounts = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
    refused: 0,
  };

  private readonly handlers = new Map<PeerMessageKind, PeerHandler<never>>();

  private readonly links = new Map<InstanceId, OutboundLink>();

  /** Links that other instances opened. */
  private readonly accepted = new Set<PeerLink>();

  private readonly pendingRequests = new Map<number, PendingRequest>();

  /** Times at which instances' hosts last refused a connection. */
  private readonly refusedAt = new Map<InstanceId, number>();

  private nextRequestId = 1;

  private server: WebSocketServer | undefined;

  private idleCheckTimer: NodeJS.Timeout | undefined;

  /**
   * @param identity - this instance and the fleet's secret
   * @param resolvePeer - finds the address of an instance
   */
  constructor(
    private readonly identity: PeerLinkIdentity,
    private readonly resolvePeer: PeerResolver,
  ) {}

  /**
   * Starts listening.
   *
   * @param address - address to listen on
   * @throws the system's error if the address is in use
   */
  async start(address: PeerAddress): Promise<void> {
    const server = new WebSocketServer({ ...address, maxPayload: MAX_PEER_FRAME_BYTES });
    this.server = server;
    server.on('connection', (socket) => {
      this.accepted.add(new PeerLink(socket, this.identity, this, false));
    });
    await new Promise((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.idleCheckTimer = setInterval(() => this.closeIdleLinks(), IDLE_CHECK_INTERVAL_MS);
  }

  /** Closes all links and stops listening; pending requests resolve to undefined. */
  stop(): void {
    clearInterval(this.idleCheckTimer);
    for (const { link } of this.links.values()) link.close();
    for (const link of this.accepted) link.close();
    this.server?.close();
    for (const id of [...this.pendingRequests.keys()]) this.resolveRequest(id, undefined);
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
    this.post(to, { body });
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
    const requestId = this.nextRequestId;
    this.nextRequestId += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.expireRequest(requestId, to), timeoutMs);
      this.pendingRequests.set(requestId, { to, resolve, timer });
      if (!this.post(to, { ask: requestId, body })) this.resolveRequest(requestId, undefined);
    });
  }

  /**
   * Checks whether an instance's host refused a connection recently. No process of the instance was
   * running there then, and one that starts later has none of the earlier state.
   *
   * @param id - instance to check
   * @param withinMs - maximum age of the refusal, in milliseconds
   */
  isRefusing(id: InstanceId, withinMs: number): boolean {
    return performance.now() - (this.refusedAt.get(id) ?? -Infinity) < withinMs;
  }

  onReady(link: PeerLink): void {
    const outbound = link.peer === undefined ? undefined : this.links.get(link.peer);
    if (outbound?.link !== link) return;
    for (const envelope of outbound.backlog.splice(0)) this.write(link, envelope);
  }

  onMessage(link: PeerLink, envelope: Envelope): void {
    this.counts.messagesReceived += 1;
    const outbound = link.peer === undefined ? undefined : this.links.get(link.peer);
    if (outbound !== undefined) {
      outbound.unanswered = 0;
      outbound.usedAt = performance.now();
    }
    if (envelope.answer !== undefined) this.resolveRequest(envelope.answer, envelope.body);
    else void this.dispatch(link, envelope);
  }

  onRefused(): void {
    this.counts.refused += 1;
  }

  onClosed(link: PeerLink): void {
    this.counts.bytesSent += link.bytesSent;
    this.counts.bytesReceived += link.bytesReceived;
    this.accepted.delete(link);
    for (const [id, outbound] of this.links) {
      if (outbound.link !== link) continue;
      this.links.delete(id);
      // Responses to requests sent over this link can no longer arrive.
      for (const [requestId, { to }] of this.pendingRequests) {
        if (to === id) this.resolveRequest(requestId, undefined);
      }
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
    const handler = this.handlers.get(envelope.body.kind);
    if (handler === undefined || link.peer === undefined) return;
    const response = await handler(envelope.body as never, link.peer);
    if (envelope.ask !== undefined) {
      this.write(link, { answer: envelope.ask, body: response ?? { kind: 'done' } });
    }
  }

  /** @returns false if the instance is unknown or dead, so that the message was not sent */
  private post(to: InstanceId, envelope: Envelope): boolean {
    const outbound = this.links.get(to) ?? this.openLink(to);
    if (outbound === undefined) return false;
    outbound.usedAt = performance.now();
    if (outbound.link.isReady) this.write(outbound.link, envelope);
    else if (outbound.backlog.length < MAX_BACKLOG_MESSAGES) outbound.backlog.push(envelope);
    return true;
  }

  private openLink(to: InstanceId): OutboundLink | undefined {
    const record = this.resolvePeer(to);
    if (record === undefined || record.state === 'dead') return undefined;
    const socket = new WebSocket(`ws://${record.host}:${record.peerPort}`, {
      maxPayload: MAX_PEER_FRAME_BYTES,
      handshakeTimeout: 1000,
      perMessageDeflate: false,
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.refusedAt.set(to, performance.now());
    });
    const link = new PeerLink(socket, this.identity, this, true);
    const outbound = { link, usedAt: performance.now(), unanswered: 0, backlog: [] };
    this.links.set(to, outbound);
    return outbound;
  }

  private write(link: PeerLink, envelope: Envelope): void {
    this.counts.messagesSent += 1;
    link.send(envelope);
  }

  private expireRequest(requestId: number, to: InstanceId): void {
    this.resolveRequest(requestId, undefined);
    const outbound = this.links.get(to);
    if (outbound === undefined) return;
    outbound.unanswered += 1;
    if (outbound.unanswered < MAX_UNANSWERED_REQUESTS) return;
    // This connection may be dead without having been closed, while a new one would work.
    this.links.delete(to);
    outbound.link.close();
  }

  private resolveRequest(requestId: number, body: PeerBody | undefined): void {
    const pending = this.pendingRequests.get(requestId);
    if (pending === undefined) return;
    this.pendingRequests.delete(requestId);
    clearTimeout(pending.timer);
    pending.resolve(body);
  }

  private closeIdleLinks(): void {
    const idleSince = performance.now() - LINK_IDLE_TIMEOUT_MS;
    for (const { link, usedAt } of this.links.values()) if (usedAt < idleSince) link.close();
  }
}
