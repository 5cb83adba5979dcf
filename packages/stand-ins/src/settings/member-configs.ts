import { type MemberId, toBrand } from '@heatherledge/core';
import type { MemberConfig } from '../member/member-config.js';

/** Offset of the replication port from the member's port. */
const REPLICATION_PORT_OFFSET = 100;
/** Delay before a new connection to a member is ready. */
const CONNECT_DELAY_MS = 12;
const RESERVED_CONNECTIONS = 6;
const DEFAULT_CONNECTION_LIMIT = 16;

/** A group in the operators' settings: the fields that stand-in members need. */
export interface MemberGroupSettings {
  readonly members: readonly {
    readonly id: string;
    readonly host: string;
    readonly port: number;
  }[];
  readonly connectionsPerMember?: number;
}

/**
 * Creates the settings of a group's stand-in members.
 *
 * @param group - the group in the operators' settings
 * @returns settings by member, in the group's order
 */
export function createMemberConfigs(group: MemberGroupSettings): MemberConfig[] {
  const addresses = group.members.map((member) => ({
    id: toBrand<MemberId>(member.id),
    host: member.host,
    port: member.port,
    replicationPort: member.port + REPLICATION_PORT_OFFSET,
  }));
  return addresses.map((member) => ({
    ...member,
    peers: addresses.filter(({ id }) => id !== member.id),
    connectionLimit: group.connectionsPerMember ?? DEFAULT_CONNECTION_LIMIT,
    reservedConnections: RESERVED_CONNECTIONS,
    connectMs: CONNECT_DELAY_MS,
  }));
}
