import type { LogPosition, MemberId, Milliseconds } from '@heatherledge/core';
import { Packr } from 'msgpackr';
import { WebSocket, WebSocketServer } from 'ws';
import type { MemberConfig, MemberFaults, PeerMember } from './member-config.js';
import type { LogAck, LogBatch, ReplicaLog, ResumeRequest } from './replica-log.js';
import type { TableChange } from './sql/table-store.js';

type LinkMessage =
  | { readonly kind: 'resume'; readonly request: ResumeRequest }
  | { readonly kind: 'batch'; readonly batch: LogBatch<TableChange> }
  | { readonly kind: 'ack'; readonly ack: LogAck };

/** Events of the replication link. */
export interface ReplicationListener {
  /**
   * A batch was added to the log.
   *
   * @param truncated - whether own entries were dropped first
   */
  onReceived(truncated: boolean): void;
  /** A replica's ack was recorded. */
  onAck(): void;
}

interface ConnectedReplica {
  readonly socket: WebSocket;
  /** End of the log that was sent on this socket. */
  sentPosition: LogPosition;
}

const HEARTBEAT_INTERVAL_MS = 50;
const MIN_RECONNECT_INTERVAL_MS = 100;
/** A connection to the primary that brings no message for this long is replaced. */
const LINK_IDLE_TIMEOUT_MS = 1000;

/** Replication over WebSocket: a primary sends its log, a replica receives it. */
export class ReplicationLink {
  private readonly packr = new Packr();

  private readonly replicas = new Map<MemberId, ConnectedReplica>();

  private server: WebSocketServer | undefined;

  private upstream: WebSocket | undefined;

  private upstreamId: MemberId | undefined;

  private lastReceivedAt = 0;

  private lastConnectAt = 0;

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly config: MemberConfig,
    private readonly log: ReplicaLog<TableChange>,
    private readonly faults: MemberFaults,
    private readonly listener: ReplicationListener,
  ) {}

  /** Listens for replicas and starts the heartbeat, which also connects to the source. */
  async start(): Promise<void> {
    const { host, replicationPort: port } = this.config;
    const server = new WebSocketServer({ host, port });
    this.server = server;
    server.on('connection', (socket) => this.acceptSocket(socket));
    await new Promise((resolve, reject) => {
      server.once('listening', resolve);
      server.once('error', reject);
    });
    this.timer = setInterval(() => this.runHeartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  /** Closes all connections. */
  stop(): void {
    clearInterval(this.timer);
    this.upstream?.terminate();
    for (const { socket } of this.replicas.values()) socket.terminate();
    this.server?.close();
  }

  /** Sends the entries not sent yet, and the current round, to all replicas. */
  flush(): void {
    if (!this.log.isPrimary || this.faults.isolated) return;
    for (const replica of this.replicas.values()) {
      const batch = this.log.createBatch(replica.sentPosition);
      replica.sentPosition = this.log.position;
      this.send(replica.socket, { kind: 'batch', batch });
    }
  }

  private runHeartbeat(): void {
    if (this.log.isPrimary) {
      this.log.startRound();
      this.flush();
    } else {
      this.closeReplicas();
    }
    this.updateUpstream();
  }

  private closeReplicas(): void {
    for (const { socket } of this.replicas.values()) socket.terminate();
    this.replicas.clear();
  }

  private acceptSocket(socket: WebSocket): void {
    socket.on('error', () => socket.terminate());
    socket.on('message', (data) => {
      if (this.faults.isolated) return;
      const message = this.packr.unpack(data as Buffer) as LinkMessage;
      if (message.kind === 'resume') this.addReplica(socket, message.request);
      if (message.kind === 'ack') {
        this.log.recordAck(message.ack, readMonotonicMs());
        this.listener.onAck();
      }
    });
  }

  private addReplica(socket: WebSocket, request: ResumeRequest): void {
    const from = this.log.resolveResumePosition(request);
    if (from === undefined) {
      socket.terminate();
      return;
    }
    this.replicas.set(request.member, { socket, sentPosition: from });
    socket.on('close', () => {
      if (this.replicas.get(request.member)?.socket === socket) {
        this.replicas.delete(request.member);
      }
    });
    this.flush();
  }

  private updateUpstream(): void {
    const source = this.log.isPrimary ? undefined : this.log.currentSource;
    const isIdle = Date.now() - this.lastReceivedAt > LINK_IDLE_TIMEOUT_MS;
    if (this.upstream !== undefined && (source !== this.upstreamId || isIdle)) {
      this.upstream.terminate();
      this.upstream = undefined;
    }
    if (this.upstream !== undefined || source === undefined || this.faults.isolated) return;
    if (Date.now() - this.lastConnectAt < MIN_RECONNECT_INTERVAL_MS) return;
    const peer = this.config.peers.find(({ id }) => id === source);
    if (peer !== undefined) this.connect(peer);
  }

  private connect(peer: PeerMember): void {
    this.lastConnectAt = Date.now();
    this.lastReceivedAt = Date.now();
    const socket = new WebSocket(`ws://${peer.host}:${peer.replicationPort}`);
    this.upstream = socket;
    this.upstreamId = peer.id;
    socket.on('open', () => {
      const request = this.log.createResumeRequest();
      if (request !== undefined) this.send(socket, { kind: 'resume', request });
    });
    socket.on('message', (data) => this.handleUpstreamMessage(socket, data as Buffer));
    const onDisconnect = (): void => {
      if (this.upstream === socket) this.upstream = undefined;
    };
    socket.on('error', onDisconnect);
    socket.on('close', onDisconnect);
  }

  private handleUpstreamMessage(socket: WebSocket, data: Buffer): void {
    if (this.faults.isolated) return;
    this.lastReceivedAt = Date.now();
    const message = this.packr.unpack(data) as LinkMessage;
    if (message.kind !== 'batch') return;
    const { receiveLagMs } = this.faults;
    if (receiveLagMs === 0) {
      this.receiveBatch(socket, message.batch);
      return;
    }
    this.sendCurrentAck(socket, message.batch);
    setTimeout(() => this.receiveBatch(socket, message.batch), receiveLagMs);
  }

  private receiveBatch(socket: WebSocket, batch: LogBatch<TableChange>): void {
    const result = this.log.receive(batch);
    if (result === undefined) return;
    this.send(socket, { kind: 'ack', ack: result.ack });
    this.listener.onReceived(result.truncated);
  }

  /** Acknowledges a delayed batch's term and round at once, with the position held so far. */
  private sendCurrentAck(socket: WebSocket, batch: LogBatch<TableChange>): void {
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
