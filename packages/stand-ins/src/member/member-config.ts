import type { MemberId } from '@heatherledge/core';

/** Another member of the group and the address at which it serves replication. */
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
  /** Maximum connections of callers' sessions. */
  readonly connectionLimit: number;
  /** Connections reserved for control functions. */
  readonly reservedConnections: number;
  /** Delay before a new connection is ready, in milliseconds. */
  readonly connectMs: number;
  /** File that stores the member's log and promise; without it they end with the process. */
  readonly dataFile?: string;
}

/** Faults that tests inject; set over HTTP under the fields' names. */
export interface MemberFaults {
  /** Delay between the arrival of a batch and its addition to the log, in milliseconds. */
  receiveLagMs: number;
  /** Delay between the addition to the log and visibility to reads, in milliseconds. */
  applyLagMs: number;
  /** Replication messages are neither sent nor handled, as in a network partition. */
  isolated: boolean;
}

/** User name whose sessions use the reserved connections. */
export const CONTROL_USER = 'heatherledge_control';
