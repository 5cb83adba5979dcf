import * as z from 'zod';

const identifier = z.string().regex(/^[a-z0-9][a-z0-9_-]{0,62}$/, 'use a-z, 0-9, - and _');

/** An organisation and its request rate, which holds for the whole fleet. */
export const organisationSchema = z.strictObject({
  /** Requests a second over all instances together. */
  requestsPerSecond: z.number().positive().max(10_000_000),
  /** Requests that are admitted at once after an idle period. */
  burst: z.number().int().min(1).max(10_000_000),
  /** Weight in the queue for connections, relative to other organisations. */
  weight: z.number().positive().max(1000).default(1),
});

/** A tenant key; only its digest is stored. */
export const keySchema = z.strictObject({
  organisation: identifier,
  /** SHA-256 of the key in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal'),
  withdrawn: z.boolean().default(false),
});

/** A database server of a group. */
export const memberSchema = z.strictObject({
  id: identifier,
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
  failureDomain: identifier,
  /** A leaving member gets no new requests, and hands over its role if it is the primary. */
  leaving: z.boolean().default(false),
});

/** A database group: one primary and its replicas. */
export const groupSchema = z.strictObject({
  members: z.array(memberSchema).min(1).max(9),
  /** Connections that the whole fleet may hold to one member. */
  connectionsPerMember: z.number().int().min(1).max(10_000).default(16),
});

/** The group that serves a database name, and the organisations that may use it. */
export const routeSchema = z.strictObject({
  group: identifier,
  /** Whether callers may use the database without a key. */
  open: z.boolean().default(false),
  /** Organisations that may use the database; if empty, all organisations may. */
  organisations: z.array(identifier).default([]),
});

/** An operator's credential; its bearer may change settings in one subtree only. */
export const credentialSchema = z.strictObject({
  /** SHA-256 of the bearer token in hexadecimal. */
  digest: z.string().regex(/^[0-9a-f]{64}$/, 'must be a SHA-256 digest in hexadecimal'),
  /** Path prefix that the bearer may change, such as `teams/riders/`. */
  subtree: z.string().regex(/^([a-z0-9_-]+\/)*$/, 'must be empty or end with a slash'),
});

/** Failure domains and regions in which instances and members run, and their latencies. */
export const placesSchema = z.strictObject({
  failureDomains: z
    .array(z.strictObject({ id: identifier, region: identifier }))
    .min(1)
    .max(64),
  /** One-way latency between failure domains of a region, in milliseconds. */
  betweenDomainsMs: z.number().min(0).default(1),
  /** One-way latency between regions, in milliseconds. */
  betweenRegionsMs: z.number().min(0).default(10),
});

/** An organisation's settings. */
export type OrganisationSettings = z.infer<typeof organisationSchema>;
/** A key's settings. */
export type KeySettings = z.infer<typeof keySchema>;
/** A member's settings. */
export type MemberSettings = z.infer<typeof memberSchema>;
/** A group's settings. */
export type GroupSettings = z.infer<typeof groupSchema>;
/** A route's settings. */
export type RouteSettings = z.infer<typeof routeSchema>;
/** A credential's settings. */
export type CredentialSettings = z.infer<typeof credentialSchema>;
/** Settings of failure domains, regions and latencies. */
export type PlacesSettings = z.infer<typeof placesSchema>;

/** The kinds of settings, as written in their paths. */
export type SettingsKind =
  'organisations' | 'keys' | 'groups' | 'routes' | 'credentials' | 'places';

/** The parts of a settings path. */
export interface ParsedPath {
  readonly kind: SettingsKind;
  /** The subtree that the path belongs to, ending with a slash. */
  readonly subtree: string;
  readonly id: string;
}

const SCHEMAS: Record<SettingsKind, z.ZodType> = {
  organisations: organisationSchema,
  keys: keySchema,
  groups: groupSchema,
  routes: routeSchema,
  credentials: credentialSchema,
  places: placesSchema,
};

const TEAM_PATH =
  /^(teams\/[a-z0-9][a-z0-9_-]*\/)(organisations|keys|groups|routes)\/([a-z0-9][a-z0-9_-]*)$/;
const FLEET_PATH = /^(fleet\/)(credentials|places)\/([a-z0-9][a-z0-9_-]*)$/;

/**
 * Parses a settings path.
 *
 * @param path - a path such as `teams/riders/organisations/tins`
 * @returns its parts, or undefined if it is not a valid settings path
 */
export function parseSettingsPath(path: string): ParsedPath | undefined {
  const match = TEAM_PATH.exec(path) ?? FLEET_PATH.exec(path);
  if (match === null) return undefined;
  return { subtree: match[1] ?? '', kind: match[2] as SettingsKind, id: match[3] ?? '' };
}

/**
 * @param kind - kind of settings
 * @returns the schema of its values
 */
export function resolveSettingsSchema(kind: SettingsKind): z.ZodType {
  return SCHEMAS[kind];
}
