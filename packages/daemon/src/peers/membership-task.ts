/** Runs the membership protocol over UDP, with authenticated datagrams. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import { createSocket, type Socket } from 'node:dgram';
import {
  type Clock,
  type InstanceRecord,
  Membership,
  type MembershipMessage,
  type MembershipDatagram,
  type MembershipTimings,
} from '@heatherledge/core';
import { Packr } from 'msgpackr';
import * as z from 'zod';

const MAC_BYTES = 16;
const STEP_MS = 150;

const recordSchema = z.object({
  id: z.string(),
  failureDomain: z.string(),
  host: z.string(),
  peerPort: z.number().int().min(1).max(65_535),
  incarnation: z.number(),
  state: z.enum(['alive', 'suspect', 'leaving', 'dead']),
});

const messageSchema = z.object({
  kind: z.enum(['ping', 'ack', 'ping-request']),
  from: z.string(),
  sequence: z.number(),
  target: z.string().optional(),
  gossip: z.array(recordSchema).max(32),
});

const packr = new Packr({ useRecords: false });

/** Owns the socket and the knowledge of other instances. */
export class MembershipTask {
  readonly membership: Membership;

  /** Bytes sent, for metrics. */
  bytesSent = 0;

  /** Datagrams refused, for metrics. */
  refused = 0;

  private readonly socket: Socket = createSocket('udp4');

  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly self: InstanceRecord,
    private readonly secret: string,
    private readonly clock: Clock,
    timings: MembershipTimings,
    random: () => number,
    private readonly onChange: () => void,
  ) {
    this.membership = new Membership(self, timings, random);
  }

  /** Starts to listen and to ping. */
  async start(): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(this.self.peerPort, this.self.host, resolve);
    });
    this.socket.on('error', () => {});
    this.socket.on('message', (bytes) => this.receive(bytes));
    this.timer = setInterval(() => this.step(), STEP_MS);
  }

  /** Tells the others that this instance leaves. */
  announceLeaving(): void {
    this.send(this.membership.announceLeaving());
  }

  /** Ends pings and closes the socket. */
  stop(): void {
    clearInterval(this.timer);
    this.socket.close();
  }

  private step(): void {
    this.send(this.membership.step(this.clock.now()));
    if (this.membership.takeChange()) this.onChange();
  }

  private receive(bytes: Buffer): void {
    const message = this.open(bytes);
    if (message === undefined) {
      this.refused += 1;
      return;
    }
    this.send(this.membership.handleMessage(message, this.clock.now()));
  }

  private send(datagrams: readonly MembershipDatagram[]): void {
    for (const { to, message } of datagrams) {
      const bytes = this.seal(message);
      this.bytesSent += bytes.length;
      this.socket.send(bytes, to.peerPort, to.host, () => {});
    }
  }

  private seal(message: MembershipMessage): Buffer {
    const body = packr.pack(message);
    return Buffer.concat([this.sign(body), body]);
  }

  private open(bytes: Buffer): MembershipMessage | undefined {
    if (bytes.length <= MAC_BYTES) return undefined;
    const body = bytes.subarray(MAC_BYTES);
    if (!timingSafeEqual(bytes.subarray(0, MAC_BYTES), this.sign(body))) return undefined;
    try {
      const parsed = messageSchema.safeParse(packr.unpack(body));
      return parsed.success ? (parsed.data as unknown as MembershipMessage) : undefined;
    } catch {
      return undefined;
    }
  }

  private sign(body: Buffer): Buffer {
    return createHmac('sha256', this.secret).update(body).digest().subarray(0, MAC_BYTES);
  }
}
