/** Orders to members over reserved connections, by the members' SQL functions. */
import type {
  MemberId,
  MemberOrder,
  MemberPort,
  MemberRecord,
  OrderResponse,
} from '@heatherledge/core';
import { waitWithTimeout } from '../runtime/system-clock.js';
import { ConnectionLost, UpstreamConnection } from './upstream-connection.js';

/** User name whose connections a member reserves. */
export const CONTROL_USER = 'heatherledge_control';

/** Keeps one control connection to each member of a group. */
export class MemberControl implements MemberPort {
  private readonly connections = new Map<MemberId, Promise<UpstreamConnection>>();

  private members = new Map<MemberId, MemberRecord>();

  private readonly open = new Set<UpstreamConnection>();

  private closedBytes = 0;

  /** @param members - the group's members */
  configure(members: readonly MemberRecord[]): void {
    this.members = new Map(members.map((member) => [member.id, member]));
    for (const id of this.connections.keys()) if (!this.members.has(id)) this.drop(id);
  }

  async send(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderResponse | 'refused' | 'silent'> {
    const answer = await waitWithTimeout(
      this.ask(member, order, timeoutMs),
      timeoutMs,
      'silent' as const,
    );
    // A connection that did not answer may have been lost track of; the next order gets a new one.
    if (typeof answer === 'string') this.drop(member);
    return answer;
  }

  /** @returns bytes sent to members and received from them so far */
  get bytes(): number {
    return [...this.open].reduce((sum, connection) => sum + connection.bytes, this.closedBytes);
  }

  /** Ends all connections. */
  close(): void {
    for (const id of [...this.connections.keys()]) this.drop(id);
  }

  private async ask(
    member: MemberId,
    order: MemberOrder,
    timeoutMs: number,
  ): Promise<OrderResponse | 'refused' | 'silent'> {
    try {
      const connection = await this.connect(member, timeoutMs);
      return await connection.ask<OrderResponse>(formatOrder(order));
    } catch (error) {
      return error instanceof ConnectionLost && error.refused ? 'refused' : 'silent';
    }
  }

  private async connect(member: MemberId, timeoutMs: number): Promise<UpstreamConnection> {
    const known = this.connections.get(member);
    if (known !== undefined) return known;
    const record = this.members.get(member);
    if (record === undefined) throw new ConnectionLost('no such member');
    const { host, port } = record;
    const address = { host, port, user: CONTROL_USER, database: 'postgres' };
    const opening = UpstreamConnection.open(address, timeoutMs);
    this.connections.set(member, opening);
    const connection = await opening;
    this.open.add(connection);
    return connection;
  }

  private drop(member: MemberId): void {
    const connection = this.connections.get(member);
    this.connections.delete(member);
    connection?.then(
      (open) => {
        this.closedBytes += open.bytes;
        this.open.delete(open);
        open.close();
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
 * @param text - any text
 * @returns it as an SQL literal
 */
export function quoteLiteral(text: string): string {
  return `'${text.replaceAll("'", "''")}'`;
}
