/** One revision of the settings, indexed for serving. */
import {
  type FailureDomainId,
  type GroupId,
  type KeyDigest,
  type MemberId,
  type OrganisationId,
  type RegionId,
  type SettingsRevision,
  toBrand,
} from '../types/ids.js';
import {
  type CredentialSettings,
  type GroupSettings,
  type KeySettings,
  type OrganisationSettings,
  parseSettingsPath,
  type PlacesSettings,
  resolveSettingsSchema,
  type RouteSettings,
  type SettingsKind,
} from './schema.js';

/** One path and its value as kept by the platform. */
export interface SettingsEntry {
  readonly path: string;
  readonly value: unknown;
}

/** A tenant key that is in force. */
export interface KeyRecord {
  readonly organisation: OrganisationId;
  readonly withdrawn: boolean;
}

/** A member of a group as the proxy sees it. */
export interface MemberRecord {
  readonly id: MemberId;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
}

/** A group of members. */
export interface GroupRecord {
  readonly id: GroupId;
  readonly members: readonly MemberRecord[];
  readonly connectionsPerMember: number;
}

/** A database name that callers may ask for. */
export interface RouteRecord {
  readonly database: string;
  readonly group: GroupId;
  readonly open: boolean;
  readonly organisations: ReadonlySet<string>;
}

/** Distances between failure domains. */
export interface Places {
  readonly regionOf: ReadonlyMap<FailureDomainId, RegionId>;
  readonly betweenDomainsMs: number;
  readonly betweenRegionsMs: number;
}

/** Paths that the instances keep for themselves among the settings. */
const INTERNAL_PREFIX = 'internal/';

/** The settings at one revision; never changes. */
export class SettingsSnapshot {
  readonly organisations = new Map<OrganisationId, OrganisationSettings>();

  readonly keys = new Map<KeyDigest, KeyRecord>();

  readonly groups = new Map<GroupId, GroupRecord>();

  readonly routes = new Map<string, RouteRecord>();

  readonly credentials = new Map<string, CredentialSettings>();

  places: Places = { regionOf: new Map(), betweenDomainsMs: 0, betweenRegionsMs: 0 };

  /** Paths whose stored value does not fit the schema; they are left out. */
  readonly unreadable: string[] = [];

  /**
   * @param revision - revision of the platform's store
   * @param values - every path and its value
   */
  constructor(
    readonly revision: SettingsRevision,
    readonly values: ReadonlyMap<string, unknown>,
  ) {
    for (const [path, value] of values) this.addEntry(path, value);
  }

  private addEntry(path: string, value: unknown): void {
    if (path.startsWith(INTERNAL_PREFIX)) return;
    const parsed = parseSettingsPath(path);
    const checked = parsed && resolveSettingsSchema(parsed.kind).safeParse(value);
    if (!parsed || !checked?.success) {
      this.unreadable.push(path);
      return;
    }
    this.indexers[parsed.kind](parsed.id, checked.data);
  }

  private get indexers(): Record<SettingsKind, (id: string, value: unknown) => void> {
    return {
      organisations: (id, value) =>
        this.organisations.set(toBrand<OrganisationId>(id), value as OrganisationSettings),
      keys: (_, value) => this.addKey(value as KeySettings),
      groups: (id, value) => this.addGroup(id, value as GroupSettings),
      routes: (id, value) => this.addRoute(id, value as RouteSettings),
      credentials: (id, value) => this.credentials.set(id, value as CredentialSettings),
      places: (_, value) => this.addPlaces(value as PlacesSettings),
    };
  }

  private addKey(key: KeySettings): void {
    this.keys.set(toBrand<KeyDigest>(key.digest), {
      organisation: toBrand<OrganisationId>(key.organisation),
      withdrawn: key.withdrawn,
    });
  }

  private addGroup(id: string, group: GroupSettings): void {
    const members = group.members.map((member) => ({
      ...member,
      id: toBrand<MemberId>(member.id),
      failureDomain: toBrand<FailureDomainId>(member.failureDomain),
    }));
    const groupId = toBrand<GroupId>(id);
    this.groups.set(groupId, {
      id: groupId,
      members,
      connectionsPerMember: group.connectionsPerMember,
    });
  }

  private addRoute(database: string, route: RouteSettings): void {
    this.routes.set(database, {
      database,
      group: toBrand<GroupId>(route.group),
      open: route.open,
      organisations: new Set(route.organisations),
    });
  }

  private addPlaces(places: PlacesSettings): void {
    const regionOf = new Map<FailureDomainId, RegionId>();
    for (const domain of places.failureDomains) {
      regionOf.set(toBrand<FailureDomainId>(domain.id), toBrand<RegionId>(domain.region));
    }
    this.places = { ...places, regionOf };
  }
}

/**
 * Works out the one-way latency between two failure domains.
 *
 * @param places - the fleet's places
 * @param from - one failure domain
 * @param to - the other
 * @returns latency in milliseconds; 0 within one failure domain
 */
export function resolveLatency(places: Places, from: FailureDomainId, to: FailureDomainId): number {
  if (from === to) return 0;
  const sameRegion = places.regionOf.get(from) === places.regionOf.get(to);
  return sameRegion ? places.betweenDomainsMs : places.betweenRegionsMs;
}

/** The settings before anything is known. */
export const EMPTY_SNAPSHOT = new SettingsSnapshot(toBrand<SettingsRevision>(0), new Map());
