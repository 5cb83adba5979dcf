import type {
  MemberId,
  MemberOrder,
  MemberPort,
  MemberRecord,
  OrderResponse,
} from '@heatherledge/core';
import { waitWithTimeout } from '../runtime/system-clock.js';
import { ConnectionLost, UpstreamConnection } from './upstream-connection.js';

/** User name for which members reserve connections. */
export const CONTROL_USER = 'heatherledge_control';

/**
 * Sends orders to the members of a group as calls of their SQL functions, over one reserved
 * connection to each.
 */
export class MemberControl implements MemberPort {
  private readonly connections = new Map<MemberId, Promise<UpstreamConnection>>();

  private members = new Map<MemberId, MemberRecord>();

  private readonly openConnections = new Set<UpstreamConnection>();

  private closedBytes = 0;

  /**
   * Sets the group's members, and closes connections to others.
   *
   * @param members - the group's members
   */
  configure(members: readonly MemberRecord[]): void {
    this.members = new Map(members.map((member) => [member.id, member]));
    for (const id of this.connections.keys()) if (!this.members.has(id)) this.closeConnection(id);
  }

  async send(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderResponse | 'refused' | 'silent'> {
    const response = await waitWithTimeout(
      this.sendOrder(member, order, timeoutMs),
      timeoutMs,
      'silent' as const,
    );
    // A device on the path may have dropped the connection's state; the next order opens a new one.
    if (typeof response === 'string') this.closeConnection(member);
    return response;
  }

  /** @returns bytes exchanged with members, over closed connections too */
  get bytesTransferred(): number {
    return [...this.openConnections].reduce(
      (sum, connection) => sum + connection.bytesTransferred,
      this.closedBytes,
    );
  }

  /** Closes all connections. */
  close(): void {
    for (const id of [...this.connections.keys()]) this.closeConnection(id);
  }

  private async sendOrder(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderResponse | 'refused' | 'silent'> {
    try {
      const connection = await this.connect(member, timeoutMs);
      return await connection.callFunction<OrderResponse>(formatOrder(order));
    } catch (error) {
      return error instanceof ConnectionLost && error.refused ? 'refused' : 'silent';
    }
  }

  private async connect(member: MemberId, timeoutMs: number): Promise<UpstreamConnection> {
    const existing = this.connections.get(member);
    if (existing !== undefined) return existing;
    const record = this.members.get(member);
    if (record === undefined) throw new ConnectionLost('no such member');
    const { host, port } = record;
    const address = { host, port, user: CONTROL_USER, database: 'postgres' };
    const opening = UpstreamConnection.open(address, timeoutMs);
    this.connections.set(member, opening);
    const connection = await opening;
    this.openConnections.add(connection);
    return connection;
  }

  private closeConnection(member: MemberId): void {
    const connection = this.connections.get(member);
    this.connections.delete(member);
    connection?.then(
      (opened) => {
        this.closedBytes += opened.bytesTransferred;
        this.openConnections.delete(opened);
        opened.close();
      },
      () => {},
    );
  }
}

function formatOrder(order: MemberOrder): string {
  switch (order.kind) {
    case 'status':
      return 'heatherledge.status()';
    case 'fence':
      return `heatherledge.fence(${order.ballot.term}, ${quoteLiteral(order.ballot.by)})`;
    case 'promote':
      return `heatherledge.promote(${order.ballot.term}, ${quoteLiteral(order.ballot.by)})`;
    case 'follow':
      return `heatherledge.follow(${order.term}, ${quoteLiteral(order.primary)})`;
    default:
      return `heatherledge.quiesce(${order.term}, ${order.forMs})`;
  }
}

/**
 * @param text - text to quote
 * @returns the text as an SQL string literal, whatever `standard_conforming_strings` is
 */
export function quoteLiteral(text: string): string {
  const quoted = `'${text.replaceAll("'", "''")}'`;
  return quoted.includes('\\') ? `E${quoted.replaceAll('\\', '\\\\')}` : quoted;
}
