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

/** A path and its value as stored in the platform. */
export interface SettingsEntry {
  readonly path: string;
  readonly value: unknown;
}

/** A path and its new value; undefined deletes the path. */
export interface SettingsChange {
  readonly path: string;
  readonly value?: unknown;
}

/** A tenant key; stored under its digest. */
export interface KeyRecord {
  readonly organisation: OrganisationId;
  readonly withdrawn: boolean;
}

/** A member of a group. */
export interface MemberRecord {
  readonly id: MemberId;
  readonly host: string;
  readonly port: number;
  readonly failureDomain: FailureDomainId;
  readonly leaving: boolean;
}

/** A database group. */
export interface GroupRecord {
  readonly id: GroupId;
  readonly members: readonly MemberRecord[];
  readonly connectionsPerMember: number;
}

/** A database name that callers may connect to. */
export interface RouteRecord {
  readonly database: string;
  readonly group: GroupId;
  /** Whether callers may use the database without a key. */
  readonly open: boolean;
  /** Organisations that may use the database; if empty, all organisations may. */
  readonly organisations: ReadonlySet<string>;
}

/** Regions of the failure domains, and one-way latencies between them. */
export interface Places {
  readonly regionOf: ReadonlyMap<FailureDomainId, RegionId>;
  readonly betweenDomainsMs: number;
  readonly betweenRegionsMs: number;
}

/** Prefix of the paths that instances store among the settings for their own use, and of their change ids. */
export const INTERNAL_PREFIX = 'internal/';

/** Adds and removes the values of one kind of settings. */
interface KindIndexer {
  readonly add: (id: string, value: unknown) => void;
  readonly remove: (id: string, value: unknown) => void;
}

/**
 * The settings of one revision, indexed for serving. The cost of a change depends on the number of
 * changed paths, not on the size of the index.
 */
export class SettingsIndex {
  readonly organisations = new Map<OrganisationId, OrganisationSettings>();

  readonly keys = new Map<KeyDigest, KeyRecord>();

  readonly groups = new Map<GroupId, GroupRecord>();

  readonly routes = new Map<string, RouteRecord>();

  readonly credentials = new Map<string, CredentialSettings>();

  places: Places = { regionOf: new Map(), betweenDomainsMs: 0, betweenRegionsMs: 0 };

  /** Paths whose stored value does not match the schema; they are not indexed. */
  readonly invalidPaths = new Set<string>();

  revision = toBrand<SettingsRevision>(0);

  private readonly stored = new Map<string, unknown>();

  /** @returns every path and its value */
  get values(): ReadonlyMap<string, unknown> {
    return this.stored;
  }

  /**
   * Replaces all settings.
   *
   * @param revision - revision of the new settings
   * @param entries - every path and its value
   */
  replaceAll(revision: SettingsRevision, entries: readonly SettingsEntry[]): void {
    const next = new Set(entries.map(({ path }) => path));
    for (const path of [...this.stored.keys()]) if (!next.has(path)) this.remove(path);
    for (const { path, value } of entries) this.set(path, value);
    this.revision = revision;
  }

  /**
   * Applies changes.
   *
   * @param revision - revision after the changes
   * @param changes - paths and values; a value of undefined deletes the path
   */
  applyChanges(revision: SettingsRevision, changes: readonly SettingsChange[]): void {
    for (const { path, value } of changes) {
      if (value === undefined) this.remove(path);
      else this.set(path, value);
    }
    this.revision = revision;
  }

  private set(path: string, value: unknown): void {
    this.remove(path);
    this.stored.set(path, value);
    if (path.startsWith(INTERNAL_PREFIX)) return;
    const parsed = parseSettingsPath(path);
    const result = parsed && resolveSettingsSchema(parsed.kind).safeParse(value);
    if (!parsed || !result?.success) this.invalidPaths.add(path);
    else this.indexers[parsed.kind].add(parsed.id, result.data);
  }

  private remove(path: string): void {
    if (!this.stored.has(path)) return;
    const value = this.stored.get(path);
    this.stored.delete(path);
    if (this.invalidPaths.delete(path)) return;
    const parsed = parseSettingsPath(path);
    if (parsed !== undefined) this.indexers[parsed.kind].remove(parsed.id, value);
  }

  private readonly indexers: Record<SettingsKind, KindIndexer> = {
    organisations: {
      add: (id, value) =>
        this.organisations.set(toBrand<OrganisationId>(id), value as OrganisationSettings),
      remove: (id) => this.organisations.delete(toBrand<OrganisationId>(id)),
    },
    keys: {
      add: (_, value) => this.addKey(value as KeySettings),
      remove: (_, value) => this.keys.delete(toBrand<KeyDigest>((value as KeySettings).digest)),
    },
    groups: {
      add: (id, value) => this.addGroup(id, value as GroupSettings),
      remove: (id) => this.groups.delete(toBrand<GroupId>(id)),
    },
    routes: {
      add: (id, value) => this.addRoute(id, value as RouteSettings),
      remove: (id) => this.routes.delete(id),
    },
    credentials: {
      add: (id, value) => this.credentials.set(id, value as CredentialSettings),
      remove: (id) => this.credentials.delete(id),
    },
    places: {
      add: (_, value) => this.addPlaces(value as PlacesSettings),
      remove: () => {},
    },
  };

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
 * Looks up the one-way latency between two failure domains.
 *
 * @param places - regions and latencies
 * @param from - one failure domain
 * @param to - the other
 * @returns latency in milliseconds; 0 within one failure domain
 */
export function resolveLatency(places: Places, from: FailureDomainId, to: FailureDomainId): number {
  if (from === to) return 0;
  const isSameRegion = places.regionOf.get(from) === places.regionOf.get(to);
  return isSameRegion ? places.betweenDomainsMs : places.betweenRegionsMs;
}
