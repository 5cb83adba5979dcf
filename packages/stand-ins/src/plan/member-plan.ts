/** Settings of stand-in members, from the operators' settings of their group. */
import { type MemberId, toBrand } from '@heatherledge/core';
import type { MemberConfig } from '../member/member-config.js';

/** Replication is served on a member's port plus this. */
const REPLICATION_PORT_OFFSET = 100;
const CONNECT_MS = 12;
const RESERVED_CONNECTIONS = 6;
const DEFAULT_CONNECTIONS = 16;

/** A group as the operators' settings have it. */
export interface PlannedGroup {
  readonly members: readonly {
    readonly id: string;
    readonly host: string;
    readonly port: number;
  }[];
  readonly connectionsPerMember?: number;
}

/**
 * @param group - a group of the settings
 * @returns settings of its stand-in members
 */
export function createMemberConfigs(group: PlannedGroup): MemberConfig[] {
  const all = group.members.map((member) => ({
    id: toBrand<MemberId>(member.id),
    host: member.host,
    port: member.port,
    replicationPort: member.port + REPLICATION_PORT_OFFSET,
  }));
  return all.map((member) => ({
    ...member,
    peers: all.filter(({ id }) => id !== member.id),
    connectionLimit: group.connectionsPerMember ?? DEFAULT_CONNECTIONS,
    reservedConnections: RESERVED_CONNECTIONS,
    connectMs: CONNECT_MS,
  }));
}
