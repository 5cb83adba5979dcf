/** Settings of one stand-in member. */
import type { MemberId } from '@heatherledge/core';

/** Another member of the group and where it serves replication. */
export interface PeerMember {
  readonly id: MemberId;
  readonly host: string;
  readonly replicationPort: number;
}

/** Settings of one stand-in member. */
export interface MemberConfig {
  readonly id: MemberId;
  readonly host: string;
  readonly port: number;
  readonly replicationPort: number;
  readonly peers: readonly PeerMember[];
  /** Connections that callers' sessions may hold. */
  readonly connectionLimit: number;
  /** Connections kept for orders to the member. */
  readonly reservedConnections: number;
  /** Time that a new connection takes, in milliseconds. */
  readonly connectMs: number;
  /** File in which the member keeps its log and promise; without one it forgets at its end. */
  readonly dataFile?: string;
}

/** Faults that a test switches on. */
export interface MemberFaults {
  /** Delay until received entries count as received, in milliseconds. */
  receiveLagMs: number;
  /** Delay until received entries are seen by reads, in milliseconds. */
  applyLagMs: number;
  /** Neither sends nor takes replication, as if cut off from the other members. */
  isolated: boolean;
}

/** User name whose sessions use the reserved connections. */
export const CONTROL_USER = 'heatherledge_control';
