/** Branded identifiers and numbers, so that one kind is never passed for another. */

/** Marks a plain type with a name that exists only for the type checker. */
export type Brand<Value, Name extends string> = Value & { readonly __brand: Name };

/** One running process of the proxy. */
export type InstanceId = Brand<string, 'InstanceId'>;
/** A set of machines that can be cut off together. */
export type FailureDomainId = Brand<string, 'FailureDomainId'>;
/** A set of failure domains with short distances between them. */
export type RegionId = Brand<string, 'RegionId'>;
/** A tenant, to whom keys, rates and bursts belong. */
export type OrganisationId = Brand<string, 'OrganisationId'>;
/** A group of database members with one primary. */
export type GroupId = Brand<string, 'GroupId'>;
/** One database server of a group. */
export type MemberId = Brand<string, 'MemberId'>;
/** Digest of a tenant key. */
export type KeyDigest = Brand<string, 'KeyDigest'>;
/** Counts the primaries of a group; a higher term replaces a lower one. */
export type Term = Brand<number, 'Term'>;
/** Place in a group's log. */
export type LogPosition = Brand<number, 'LogPosition'>;
/** Counts the accepted changes of the settings. */
export type SettingsRevision = Brand<number, 'SettingsRevision'>;
/** Length of time, or a moment of a monotonic clock, in milliseconds. */
export type Milliseconds = Brand<number, 'Milliseconds'>;

/**
 * Brands a plain value at the edge of the system.
 *
 * @param value - value that the caller has checked
 * @returns the same value under its branded type
 */
export function toBrand<Branded extends Brand<string | number, string>>(
  value: Branded extends string ? string : number,
): Branded {
  return value as unknown as Branded;
}

/**
 * @param value - a number of milliseconds
 * @returns the same number, branded
 */
export function toMilliseconds(value: number): Milliseconds {
  return value as Milliseconds;
}
