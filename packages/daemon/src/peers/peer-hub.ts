/** Talks to other instances: opens links when they are needed, matches answers to questions. */
import type { InstanceId, InstanceRecord } from '@heatherledge/core';
import { WebSocket, WebSocketServer } from 'ws';
import {
  PEER_FRAME_LIMIT_BYTES,
  PeerLink,
  type PeerLinkIdentity,
  type PeerLinkListener,
} from './peer-link.js';
import type { Envelope, PeerBody, PeerBodyOf, PeerKind } from './peer-messages.js';

/** Answers a message; undefined if there is nothing to answer. */
export type PeerHandler<Kind extends PeerKind> = (
  body: PeerBodyOf<Kind>,
  from: InstanceId,
) => Promise<PeerBody | undefined> | PeerBody | undefined;

/** Finds out where an instance is. */
export type PeerResolver = (id: InstanceId) => InstanceRecord | undefined;

/** Where the hub listens. */
export interface PeerAddress {
  readonly host: string;
  readonly port: number;
}

/** Counts for metrics and the state dump. */
export interface PeerCounts {
  bytesSent: number;
  bytesReceived: number;
  messagesSent: number;
  messagesReceived: number;
  refused: number;
}

interface Question {
  readonly to: InstanceId;
  readonly resolve: (body: PeerBody | undefined) => void;
  readonly timer: NodeJS.Timeout;
}

/** A link over which nothing was sent or received for this long is closed. */
const IDLE_LINK_MS = 60_000;
const SWEEP_MS = 15_000;
/** Questions in a row without an answer after which a link is replaced. */
const SILENT_QUESTIONS = 2;

interface LinkUse {
  link: PeerLink;
  usedAt: number;
  unanswered: number;
  /** Messages sent before the link is ready. */
  backlog: Envelope[];
}

/** Most messages kept for a link that is being opened. */
const BACKLOG_LIMIT = 64;

/** Owns all links of one instance. */
export class PeerHub implements PeerLinkListener {
  readonly counts: PeerCounts = {
    bytesSent: 0,
    bytesReceived: 0,
    messagesSent: 0,
    messagesReceived: 0,
    refused: 0,
  };

  private readonly handlers = new Map<PeerKind, PeerHandler<never>>();

  private readonly links = new Map<InstanceId, LinkUse>();

  private readonly accepted = new Set<PeerLink>();

  private readonly questions = new Map<number, Question>();

  private readonly refusedAt = new Map<InstanceId, number>();

  private nextQuestion = 1;

  private server: WebSocketServer | undefined;

  private sweepTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly identity: PeerLinkIdentity,
    private readonly resolvePeer: PeerResolver,
  ) {}

  /**
   * Starts to listen.
   *
   * @param address - where
   * @throws the system's error if the address is taken
   */
  async start(address: PeerAddress): Promise<void> {
    const server = new WebSocketServer({ ...address, maxPayload: PEER_FRAME_LIMIT_BYTES });
    this.server = server;
    server.on('connection', (socket) => {
      this.accepted.add(new PeerLink(socket, this.identity, this, false));
    });
    await new Promise((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.sweepTimer = setInterval(() => this.sweep(), SWEEP_MS);
  }

  /** Ends all links. */
  stop(): void {
    clearInterval(this.sweepTimer);
    for (const { link } of this.links.values()) link.close();
    for (const link of this.accepted) link.close();
    this.server?.close();
    for (const id of [...this.questions.keys()]) this.settle(id, undefined);
  }

  /**
   * Registers who answers a kind of message.
   *
   * @param kind - kind of message
   * @param handler - answers it
   */
  handle<Kind extends PeerKind>(kind: Kind, handler: PeerHandler<Kind>): void {
    this.handlers.set(kind, handler as unknown as PeerHandler<never>);
  }

  /**
   * Sends a message that wants no answer; it may be lost.
   *
   * @param to - who
   * @param body - what
   */
  tell(to: InstanceId, body: PeerBody): void {
    this.post(to, { body });
  }

  /**
   * Asks an instance.
   *
   * @param to - whom
   * @param body - the question
   * @param timeoutMs - longest wait, in milliseconds
   * @returns the answer, or undefined if none came in time
   */
  async ask(to: InstanceId, body: PeerBody, timeoutMs: number): Promise<PeerBody | undefined> {
    const ask = this.nextQuestion;
    this.nextQuestion += 1;
    return new Promise((resolve) => {
      const timer = setTimeout(() => this.giveUp(ask, to), timeoutMs);
      this.questions.set(ask, { to, resolve, timer });
      if (!this.post(to, { ask, body })) this.settle(ask, undefined);
    });
  }

  /**
   * Tells whether an instance's machine has just refused a connection: no process of it runs there,
   * and one that starts again knows nothing of before.
   *
   * @param id - the instance
   * @param withinMs - how recent the refusal must be, in milliseconds
   */
  isRefusing(id: InstanceId, withinMs: number): boolean {
    return performance.now() - (this.refusedAt.get(id) ?? -Infinity) < withinMs;
  }

  onReady(link: PeerLink): void {
    const use = link.peer === undefined ? undefined : this.links.get(link.peer);
    if (use?.link !== link) return;
    for (const envelope of use.backlog.splice(0)) this.write(link, envelope);
  }

  onMessage(link: PeerLink, envelope: Envelope): void {
    this.counts.messagesReceived += 1;
    const use = link.peer === undefined ? undefined : this.links.get(link.peer);
    if (use !== undefined) {
      use.unanswered = 0;
      use.usedAt = performance.now();
    }
    if (envelope.answer !== undefined) this.settle(envelope.answer, envelope.body);
    else void this.dispatch(link, envelope);
  }

  onRefused(): void {
    this.counts.refused += 1;
  }

  onClosed(link: PeerLink): void {
    this.counts.bytesSent += link.bytesSent;
    this.counts.bytesReceived += link.bytesReceived;
    this.accepted.delete(link);
    for (const [id, use] of this.links) {
      if (use.link !== link) continue;
      this.links.delete(id);
      // Nothing that was asked over this link can be answered any more.
      for (const [ask, { to }] of this.questions) if (to === id) this.settle(ask, undefined);
    }
  }

  /** @returns bytes sent and received so far, open links included */
  get bytes(): { sent: number; received: number } {
    let { bytesSent: sent, bytesReceived: received } = this.counts;
    for (const link of [...this.accepted, ...[...this.links.values()].map((use) => use.link)]) {
      sent += link.bytesSent;
      received += link.bytesReceived;
    }
    return { sent, received };
  }

  private async dispatch(link: PeerLink, envelope: Envelope): Promise<void> {
    const handler = this.handlers.get(envelope.body.kind);
    if (handler === undefined || link.peer === undefined) return;
    const answer = await handler(envelope.body as never, link.peer);
    if (envelope.ask !== undefined) {
      this.write(link, { answer: envelope.ask, body: answer ?? { kind: 'done' } });
    }
  }

  private post(to: InstanceId, envelope: Envelope): boolean {
    const use = this.links.get(to) ?? this.connect(to);
    if (use === undefined) return false;
    use.usedAt = performance.now();
    if (use.link.isReady) this.write(use.link, envelope);
    else if (use.backlog.length < BACKLOG_LIMIT) use.backlog.push(envelope);
    return true;
  }

  private connect(to: InstanceId): LinkUse | undefined {
    const record = this.resolvePeer(to);
    if (record === undefined || record.state === 'dead') return undefined;
    const socket = new WebSocket(`ws://${record.host}:${record.peerPort}`, {
      maxPayload: PEER_FRAME_LIMIT_BYTES,
      handshakeTimeout: 1000,
      perMessageDeflate: false,
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.refusedAt.set(to, performance.now());
    });
    const link = new PeerLink(socket, this.identity, this, true);
    const use = { link, usedAt: performance.now(), unanswered: 0, backlog: [] };
    this.links.set(to, use);
    return use;
  }

  private write(link: PeerLink, envelope: Envelope): void {
    this.counts.messagesSent += 1;
    link.send(envelope);
  }

  private giveUp(ask: number, to: InstanceId): void {
    this.settle(ask, undefined);
    const use = this.links.get(to);
    if (use === undefined) return;
    use.unanswered += 1;
    if (use.unanswered < SILENT_QUESTIONS) return;
    // The link may have gone silent for good while new ones work.
    this.links.delete(to);
    use.link.close();
  }

  private settle(ask: number, body: PeerBody | undefined): void {
    const question = this.questions.get(ask);
    if (question === undefined) return;
    this.questions.delete(ask);
    clearTimeout(question.timer);
    question.resolve(body);
  }

  private sweep(): void {
    const oldest = performance.now() - IDLE_LINK_MS;
    for (const { link, usedAt } of this.links.values()) if (usedAt < oldest) link.close();
  }
}
