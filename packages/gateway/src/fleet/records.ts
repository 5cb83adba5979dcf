import { createHash } from 'node:crypto';
import { type GroupId, type InstanceId, type MemberId, toBrand } from '@heatherledge/core';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { LeaseId } from '../ports/control-store.js';

/** Prefix of the keys of all records that the gateway writes to the store. */
export const RECORDS_PREFIX = 'heatherledge/';
/** Key of the coordinator's record, which is bound to the coordinator's lease. */
export const COORDINATOR_KEY = `${RECORDS_PREFIX}coordinator`;
/** Key of the record that tells in which era of the store the other records are complete. */
export const ERA_KEY = `${RECORDS_PREFIX}era`;
/** Key of the settings in force, written if the store has lost them. */
export const SETTINGS_COPY_KEY = `${RECORDS_PREFIX}settings`;
const MAX_PORT = 65_535;
const INSTANCE_PREFIX = `${RECORDS_PREFIX}instance/`;
const PRIMARY_PREFIX = `${RECORDS_PREFIX}primary/`;
/** The store's limit of the length of a key. */
const MAX_KEY_BYTES = 200;
/** Stands before the hash of a name that cannot be a part of a key. */
const HASH_PREFIX = 'sha256:';

const portSchema = z.int().min(1).max(MAX_PORT);
const endpointSchema = z.object({ host: z.string(), port: portSchema });
const instanceSchema = z.object({
  host: z.string(),
  peerPort: portSchema,
  domain: z.string(),
  /** Processor capacity in cores; instances with the most serve as relays and token lenders. */
  cores: z.number().default(1),
});
const coordinatorSchema = z.object({
  /** The instance and its lease, as `id/lease`. */
  instance: z.string(),
});
const eraSchema = z.object({
  /** Newest era of the store to which the fleet has restored what it knew. */
  era: z.number(),
  /** Whether a coordinator was elected in this era, so that no earlier lease is in use. */
  hasCoordinator: z.boolean(),
});
const primarySchema = z.object({
  /** Name of the group, if the key does not hold it. */
  group: z.string().optional(),
  /** Increases with each change of this record, in later eras of the store too. */
  epoch: z.number(),
  /** Id of the primary; left out while a change of primary is under way. */
  member: z.string().optional(),
  /** Id of the primary before the change that is under way. */
  previous: z.string().optional(),
  /** Whether the change moves the primary to a region that more routes allow, or did so. */
  isRegionMove: z.boolean().optional(),
  /**
   * Incarnations of members, as `id/incarnation`, that may hold commits which no other replica
   * holds.
   */
  holders: z.array(z.string()).default([]),
  /** Address of each holder that has been listed, by incarnation; an unlisted one may still be up. */
  endpoints: z.record(z.string(), endpointSchema).optional(),
});

/**
 * Address, failure domain and capacity of an instance; kept until the instance is known to be gone.
 */
export type InstanceRecord = z.infer<typeof instanceSchema>;
/** Names the instance that changes primaries. */
export type CoordinatorRecord = z.infer<typeof coordinatorSchema>;
/** Tells whether the records in the store are complete. */
export type EraRecord = z.infer<typeof eraSchema>;
/** Names the primary of a group. */
export type PrimaryRecord = Omit<z.infer<typeof primarySchema>, 'group'>;

/** A decoded record of any kind, with what its key names. */
export type FleetRecord =
  | { readonly kind: 'instance'; readonly id: InstanceId; readonly value: InstanceRecord }
  | { readonly kind: 'coordinator'; readonly value: CoordinatorRecord }
  | { readonly kind: 'era'; readonly value: EraRecord }
  | { readonly kind: 'primary'; readonly group: GroupId; readonly value: PrimaryRecord };

/** Formats the name under which an instance holds the coordinator's role; each lease has another one. */
export function formatCoordinator(id: InstanceId, lease: LeaseId): string {
  return `${id}/${encodeURIComponent(lease)}`;
}

/** Parses the id of the coordinator; the id, but not what follows it, may hold slashes. */
export function parseCoordinatorId({ instance }: CoordinatorRecord): InstanceId {
  return instance.slice(0, instance.lastIndexOf('/')) as InstanceId;
}

/** Formats the key of an instance's record. */
export function formatInstanceKey(id: InstanceId): string {
  return `${INSTANCE_PREFIX}${id}`;
}

/** Formats the key of a group's primary record; it holds a hash of a name that makes no key. */
export function formatPrimaryKey(group: GroupId): string {
  if (mayBeInKey(group)) return `${PRIMARY_PREFIX}${group}`;
  // JSON distinguishes letters that UTF-8 does not.
  const hash = createHash('sha256').update(JSON.stringify(group)).digest('hex');
  return `${PRIMARY_PREFIX}${HASH_PREFIX}${hash}`;
}

/** Checks whether the key of a group's record can hold the group's name as it is. */
function mayBeInKey(group: GroupId): boolean {
  const bytes = Buffer.from(`${PRIMARY_PREFIX}${group}`);
  if (bytes.length > MAX_KEY_BYTES || group.startsWith(HASH_PREFIX)) return false;
  return bytes.toString() === `${PRIMARY_PREFIX}${group}`;
}

/**
 * Parses the key of a record.
 *
 * @param key - a key in the store
 * @returns what the key names, or undefined if it belongs to no record of the gateway; for a primary
 *   record, the group's name or its hash
 */
export function parseRecordKey(
  key: string,
):
  | { kind: 'instance'; id: InstanceId }
  | { kind: 'primary'; name: string }
  | { kind: 'coordinator' | 'era' | 'settings' }
  | undefined {
  if (key === COORDINATOR_KEY) return { kind: 'coordinator' };
  if (key === ERA_KEY) return { kind: 'era' };
  if (key === SETTINGS_COPY_KEY) return { kind: 'settings' };
  if (key.startsWith(INSTANCE_PREFIX)) {
    return { kind: 'instance', id: key.slice(INSTANCE_PREFIX.length) as InstanceId };
  }
  if (key.startsWith(PRIMARY_PREFIX)) {
    return { kind: 'primary', name: key.slice(PRIMARY_PREFIX.length) };
  }
  return undefined;
}

/**
 * Encodes a record for the store.
 *
 * @returns UTF-8 JSON
 */
export function encodeRecord(
  value: InstanceRecord | CoordinatorRecord | EraRecord | z.infer<typeof primarySchema>,
): Buffer {
  return Buffer.from(JSON.stringify(value));
}

/**
 * Encodes the record of a group's primary for the store, under the key of that group.
 *
 * @returns UTF-8 JSON
 */
export function encodePrimaryRecord(group: GroupId, record: PrimaryRecord): Buffer {
  return encodeRecord(mayBeInKey(group) ? record : { group, ...record });
}

/**
 * Decodes and validates a record other than the copy of the settings.
 *
 * @param key - key of the record
 * @param value - stored bytes
 * @returns the record, or the reason why it is invalid
 */
export function decodeRecord(key: string, value: Buffer): Result<FleetRecord, string> {
  const parsedKey = parseRecordKey(key);
  if (parsedKey === undefined) return err('the key belongs to no known kind of record');
  let json: unknown;
  try {
    json = JSON.parse(value.toString('utf8'));
  } catch {
    return err('the record is not valid JSON');
  }
  switch (parsedKey.kind) {
    case 'settings':
      return err('settings are decoded by the directory');
    case 'coordinator':
      return validate(coordinatorSchema, json).map((record) => ({
        kind: 'coordinator',
        value: record,
      }));
    case 'era':
      return validate(eraSchema, json).map((record) => ({ kind: 'era', value: record }));
    case 'instance':
      return validate(instanceSchema, json).map((record) => ({ ...parsedKey, value: record }));
    case 'primary':
      return validate(primarySchema, json).andThen(({ group: stored, ...value }) => {
        const group = toBrand<GroupId>(stored ?? parsedKey.name);
        if (formatPrimaryKey(group) !== key) return err('the key is not that of the group');
        return ok({ kind: 'primary' as const, group, value });
      });
  }
}

function validate<Value>(schema: z.ZodType<Value>, json: unknown): Result<Value, string> {
  const parsed = schema.safeParse(json);
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error));
}

/**
 * Resolves the primary that a group's record names.
 *
 * @param record - the group's record, if there is one
 * @returns the primary, or undefined without a record or while the primary is changing
 */
export function resolvePrimary(record: PrimaryRecord | undefined): MemberId | undefined {
  return record?.member as MemberId | undefined;
}
