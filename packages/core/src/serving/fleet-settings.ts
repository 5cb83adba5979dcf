/** What operators have set for the fleet, as the session gateway uses it. */
import type { GroupId, KeyDigest, MemberId, Milliseconds, OrganisationId } from '../types/ids.js';

/** How recent the data of a route's reads must be. */
export type Consistency = 'latest' | 'bounded' | 'session';

/** How callers of one database are served. */
export interface Route {
  readonly name: string;
  readonly database: string;
  readonly group: GroupId;
  readonly consistency: Consistency;
  /** Longest time for one statement. */
  readonly statementTimeoutMs: Milliseconds;
  /** Latency objective of a whole operation. */
  readonly targetLatencyMs: Milliseconds;
  /** Oldest acknowledged commit that a read may miss; 0 where every commit must be seen. */
  readonly maxAgeMs: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether callers without a key are served. */
  readonly isPublic: boolean;
}

/** Limits of one upstream group. */
export interface UpstreamGroup {
  readonly id: GroupId;
  /** Most connections to one member, from all instances together. */
  readonly maxConnections: number;
  /** Replicas that must have received a commit before it is acknowledged. */
  readonly syncReplicas: number;
}

/** One organisation's rate. */
export interface OrganisationRate {
  readonly id: OrganisationId;
  readonly requestsPerSecond: number;
  readonly burst: number;
}

/** One accepted version of the operators' settings; never changed in place. */
export interface FleetSettings {
  readonly version: number;
  readonly routesByDatabase: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, UpstreamGroup>;
  readonly organisations: ReadonlyMap<OrganisationId, OrganisationRate>;
  readonly organisationByKey: ReadonlyMap<KeyDigest, OrganisationId>;
  /** An open transaction without a statement for this long may be ended. */
  readonly transactionIdleMs: Milliseconds;
}

/** How a member sees itself. */
export type ReportedRole = 'primary' | 'replica';

/** A member as it has registered itself. */
export interface MemberEntry {
  readonly id: MemberId;
  readonly group: GroupId;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly role: ReportedRole;
  /** Statements that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Changes when the member starts again, with nothing of what it held before. */
  readonly incarnation: number;
}
