import type { GroupId, KeyDigest, MemberId, Milliseconds, OrganisationId } from '../types/ids.js';

/**
 * How recent the data of a route's reads must be: `latest` requires the primary, `bounded` limits
 * their age, and `session` also requires the last commit of the caller's session.
 */
export type Consistency = 'latest' | 'bounded' | 'session';

/** How requests to one database are served. */
export interface Route {
  readonly name: string;
  readonly database: string;
  readonly group: GroupId;
  readonly consistency: Consistency;
  /** Maximum time for one statement. */
  readonly statementTimeoutMs: Milliseconds;
  /** Latency objective of a whole operation. */
  readonly targetLatencyMs: Milliseconds;
  /** Maximum age of an acknowledged commit that a read may miss; 0 if it may miss none. */
  readonly maxAgeMs: Milliseconds;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether callers without a key are served. */
  readonly isPublic: boolean;
  /** Regions whose members and instances may get the route's requests; undefined for all. */
  readonly allowedRegions?: AllowedRegions | undefined;
}

/**
 * Regions to which requests are restricted. Never empty in settings; empty for a request if those of its
 * route and its organisation have none in common.
 */
export type AllowedRegions = ReadonlySet<string>;

/** Limits of one upstream group. */
export interface UpstreamGroup {
  readonly id: GroupId;
  /** Maximum number of connections to one member, from all instances together. */
  readonly maxConnections: number;
  /** Replicas that must have received a commit before it is acknowledged. */
  readonly syncReplicas: number;
  /** How members serve after a start; undefined if they serve at full speed at once. */
  readonly warmup?: GroupWarmup | undefined;
}

/** How the members of a group serve after a start. */
export interface GroupWarmup {
  /** Time for which a member stays slow. */
  readonly durationMs: Milliseconds;
  /** Requests a second that one slow member may get from all instances together. */
  readonly requestsPerSecond: number;
}

/** Rate limit of one organisation. */
export interface OrganisationRate {
  readonly id: OrganisationId;
  readonly requestsPerSecond: number;
  readonly burst: number;
  /** Regions whose members and instances may get the organisation's requests; undefined for all. */
  readonly allowedRegions?: AllowedRegions | undefined;
}

/** One accepted version of the operators' settings for the fleet; immutable. */
export interface FleetSettings {
  readonly version: number;
  readonly routesByDatabase: ReadonlyMap<string, Route>;
  readonly groups: ReadonlyMap<GroupId, UpstreamGroup>;
  readonly organisations: ReadonlyMap<OrganisationId, OrganisationRate>;
  readonly organisationByKey: ReadonlyMap<KeyDigest, OrganisationId>;
  /** Time without a statement after which an open transaction may be ended. */
  readonly transactionIdleMs: Milliseconds;
  /** Entries that cannot be used, each with its place and the reason; the others hold. */
  readonly ignoredEntries?: readonly string[] | undefined;
}

/** Role that a member reports for itself. */
export type ReportedRole = 'primary' | 'replica';

/** A member as it registered itself in the store. */
export interface MemberEntry {
  readonly id: MemberId;
  readonly group: GroupId;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: string;
  readonly role: ReportedRole;
  /** Maximum number of statements that the member runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Identifies one run of the member; a restarted member has lost everything it held before. */
  readonly incarnation: number;
  /** Increases with each entry of an incarnation; absent if the entry does not name it. */
  readonly sequence?: number | undefined;
  /** How much longer the member stays slow after its start, when the entry was written. */
  readonly warmupRemainingMs?: Milliseconds | undefined;
}
