/** Carries the log between stand-in members over WebSocket, and applies it on replicas. */
import type { LogPosition, MemberId, Milliseconds } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import type { MemberConfig, MemberFaults, PeerMember } from './member-config.js';
import type { LogAck, LogBatch, ReplicaLog, ResumeRequest } from './replica-log.js';
import type { Change } from './sql/table-store.js';

type LinkMessage =
  | { readonly kind: 'resume'; readonly request: ResumeRequest }
  | { readonly kind: 'batch'; readonly batch: LogBatch<Change> }
  | { readonly kind: 'ack'; readonly ack: LogAck };

/** What the link tells the member. */
export interface ReplicationListener {
  /** The log grew, or was cut before it grew. */
  onReceived(truncated: boolean): void;
  /** A replica has answered. */
  onAck(): void;
}

interface Follower {
  readonly socket: WebSocket;
  sentTo: LogPosition;
}

const HEARTBEAT_MS = 50;
const RECONNECT_MS = 100;
/** A link without a message for this long is replaced. */
const SILENCE_MS = 1000;

/** Both ends of replication at one member. */
export class ReplicationLink {
  private readonly packr = new Packr();

  private readonly followers = new Map<MemberId, Follower>();

  private server: WebSocketServer | undefined;

  private upstream: WebSocket | undefined;

  private upstreamId: MemberId | undefined;

  private lastHeard = 0;

  private lastTry = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly config: MemberConfig,
    private readonly log: ReplicaLog<Change>,
    private readonly faults: MemberFaults,
    private readonly listener: ReplicationListener,
  ) {}

  /** Starts to serve replicas and to follow a primary. */
  async start(): Promise<void> {
    const { host, replicationPort: port } = this.config;
    const server = new WebSocketServer({ host, port });
    this.server = server;
    server.on('connection', (socket) => this.serve(socket));
    await new Promise((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.timer = setInterval(() => this.tick(), HEARTBEAT_MS);
  }

  /** Ends all links. */
  stop(): void {
    clearInterval(this.timer);
    this.upstream?.terminate();
    for (const { socket } of this.followers.values()) socket.terminate();
    this.server?.close();
  }

  /** Sends what is new, with a new question, to all replicas. */
  flush(): void {
    if (!this.log.isPrimary || this.faults.isolated) return;
    for (const follower of this.followers.values()) {
      const batch = this.log.createBatch(follower.sentTo);
      follower.sentTo = this.log.position;
      this.send(follower.socket, { kind: 'batch', batch });
    }
  }

  private tick(): void {
    if (this.log.isPrimary) {
      this.log.startRound();
      this.flush();
    } else {
      this.dropFollowers();
    }
    this.followSource();
  }

  private dropFollowers(): void {
    for (const { socket } of this.followers.values()) socket.terminate();
    this.followers.clear();
  }

  private serve(socket: WebSocket): void {
    socket.on('error', () => socket.terminate());
    socket.on('message', (data) => {
      if (this.faults.isolated) return;
      const message = this.packr.unpack(data as Buffer) as LinkMessage;
      if (message.kind === 'resume') this.acceptFollower(socket, message.request);
      if (message.kind === 'ack') {
        this.log.noteAck(message.ack, readMonotonicMs());
        this.listener.onAck();
      }
    });
  }

  private acceptFollower(socket: WebSocket, request: ResumeRequest): void {
    const from = this.log.resolveResume(request);
    if (from === undefined) {
      socket.terminate();
      return;
    }
    this.followers.set(request.member, { socket, sentTo: from });
    socket.on('close', () => {
      if (this.followers.get(request.member)?.socket === socket) {
        this.followers.delete(request.member);
      }
    });
    this.flush();
  }

  private followSource(): void {
    const source = this.log.isPrimary ? undefined : this.log.currentSource;
    const silent = Date.now() - this.lastHeard > SILENCE_MS;
    if (this.upstream !== undefined && (source !== this.upstreamId || silent)) {
      this.upstream.terminate();
      this.upstream = undefined;
    }
    if (this.upstream !== undefined || source === undefined || this.faults.isolated) return;
    if (Date.now() - this.lastTry < RECONNECT_MS) return;
    const peer = this.config.peers.find(({ id }) => id === source);
    if (peer !== undefined) this.connect(peer);
  }

  private connect(peer: PeerMember): void {
    this.lastTry = Date.now();
    this.lastHeard = Date.now();
    const socket = new WebSocket(`ws://${peer.host}:${peer.replicationPort}`);
    this.upstream = socket;
    this.upstreamId = peer.id;
    socket.on('open', () => {
      const request = this.log.createResume();
      if (request !== undefined) this.send(socket, { kind: 'resume', request });
    });
    socket.on('message', (data) => this.takeBatch(socket, data as Buffer));
    const drop = (): void => {
      if (this.upstream === socket) this.upstream = undefined;
    };
    socket.on('error', drop);
    socket.on('close', drop);
  }

  private takeBatch(socket: WebSocket, data: Buffer): void {
    if (this.faults.isolated) return;
    this.lastHeard = Date.now();
    const message = this.packr.unpack(data) as LinkMessage;
    if (message.kind !== 'batch') return;
    const { receiveLagMs } = this.faults;
    if (receiveLagMs === 0) {
      this.receive(socket, message.batch);
      return;
    }
    this.answerAtOnce(socket, message.batch);
    setTimeout(() => this.receive(socket, message.batch), receiveLagMs);
  }

  private receive(socket: WebSocket, batch: LogBatch<Change>): void {
    const result = this.log.receive(batch);
    if (result === undefined) return;
    this.send(socket, { kind: 'ack', ack: result.ack });
    this.listener.onReceived(result.truncated);
  }

  /** A lagging replica still tells that it obeys, with the position that it has. */
  private answerAtOnce(socket: WebSocket, batch: LogBatch<Change>): void {
    if (this.log.currentTerm !== batch.term) return;
    const { position } = this.log;
    const ack = { member: this.config.id, term: batch.term, position, round: batch.round };
    this.send(socket, { kind: 'ack', ack });
  }

  private send(socket: WebSocket, message: LinkMessage): void {
    if (socket.readyState === WebSocket.OPEN) socket.send(this.packr.pack(message));
  }
}

/** @returns the process's monotonic clock in milliseconds */
export function readMonotonicMs(): Milliseconds {
  return performance.now() as Milliseconds;
}
