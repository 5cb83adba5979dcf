/**
 * Base type with a tag that exists only at compile time, so that one kind of identifier or number
 * cannot be passed for another.
 */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };

/** Identifies an instance of the proxy; a restarted process may have the same id. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** Identifies a set of machines that can fail or be disconnected together. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;
/** Identifies a set of failure domains with low latency between them. */
export type RegionId = Brand<string, 'RegionId'>;
/** Identifies a tenant; keys, rates and bursts are assigned per organisation. */
export type OrganisationId = Brand<string, 'OrganisationId'>;
/** Identifies a group of database members with one primary. */
export type GroupId = Brand<string, 'GroupId'>;
/** Identifies one database server of a group. */
export type MemberId = Brand<string, 'MemberId'>;
/** Digest of an organisation's key. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
/** Number that increases with each new primary of a group; a higher term supersedes a lower one. */
export type Term = Brand<number, 'Term'>;
/** Position in a group's log. */
export type LogPosition = Brand<number, 'LogPosition'>;
/** Number that increases with each accepted change of the settings. */
export type SettingsRevision = Brand<number, 'SettingsRevision'>;
/** Duration, or time of a monotonic clock, in milliseconds. */
export type Milliseconds = Brand<number, 'Milliseconds'>;

/**
 * Adds a brand to a plain value that enters the system, without checking it.
 *
 * @param value - value that has already been validated
 */
export function toBrand<Branded extends Brand<string | number, string>>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}

/** Adds the brand to a number of milliseconds. */
export function toMilliseconds(value: number): Milliseconds {
  return value as Milliseconds;
}
