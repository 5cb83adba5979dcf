/**
 * Plain type with a name that only the type checker sees, so that one kind of identifier or number
 * cannot be passed for another.
 */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };

/** One running process of the proxy. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** A set of machines that can fail or be disconnected together. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;
/** A set of failure domains with low latency between them. */
export type RegionId = Brand<string, 'RegionId'>;
/** A tenant; keys, rates and bursts are assigned per organisation. */
export type OrganisationId = Brand<string, 'OrganisationId'>;
/** A group of database members with one primary. */
export type GroupId = Brand<string, 'GroupId'>;
/** One database server of a group. */
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
 * Brands a plain value where it enters the system, without checking it.
 *
 * @param value - value that has already been validated
 */
export function toBrand<Branded extends Brand<string | number, string>>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}

/** Brands a number of milliseconds. */
export function toMilliseconds(value: number): Milliseconds {
  return value as Milliseconds;
}
