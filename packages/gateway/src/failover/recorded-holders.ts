import {
  compareHolders,
  formatIncarnation,
  type GroupId,
  type MemberEndpoint,
  type MemberEntry,
  type MemberId,
  type MemberIncarnation,
  parseIncarnation,
} from '@heatherledge/core';
import type { PrimaryRecord } from '../fleet/records.js';

/** The part of a primary record that names the commit holders. */
export type HolderFields = Pick<PrimaryRecord, 'holders' | 'endpoints'>;

/** A recorded commit holder that is no longer listed. It may still be up. */
export interface DepartedHolder {
  readonly holder: MemberIncarnation;
  readonly id: MemberId;
  /** Undefined if its address was not recorded. */
  readonly endpoint: MemberEndpoint | undefined;
  /** Whether a later incarnation of the member is listed, so that this one has ended. */
  readonly isReplaced: boolean;
}

/**
 * Creates the holder fields of a record.
 *
 * @param holders - the holders to record
 * @param entries - listed members
 * @param known - the record before, which names the addresses of unlisted holders
 */
export function createHolderFields(
  holders: readonly MemberIncarnation[],
  entries: readonly MemberEntry[],
  known: HolderFields | undefined,
): HolderFields {
  const listed = new Map(
    entries.map((entry) => [formatIncarnation(entry), { host: entry.host, port: entry.port }]),
  );
  const endpoints = holders.flatMap((holder) => {
    const endpoint = listed.get(holder) ?? known?.endpoints?.[holder];
    return endpoint === undefined ? [] : [[holder, endpoint] as const];
  });
  return { holders: [...holders], endpoints: Object.fromEntries(endpoints) };
}

/**
 * Lists the recorded holders of a group that are no longer listed.
 *
 * @param group - the group
 * @param record - the group's primary record, if there is one
 * @param entries - listed members of the group
 */
export function listDepartedHolders(
  group: GroupId,
  record: HolderFields | undefined,
  entries: readonly MemberEntry[],
): DepartedHolder[] {
  const recorded = (record?.holders ?? []) as MemberIncarnation[];
  const { departed } = compareHolders(recorded, entries.map(formatIncarnation));
  return departed.map((holder) => {
    const { id, incarnation } = parseIncarnation(holder);
    const address = record?.endpoints?.[holder];
    const endpoint = address && { id, group, incarnation, ...address };
    const isReplaced = entries.some((entry) => entry.id === id && entry.incarnation > incarnation);
    return { holder, id, endpoint, isReplaced };
  });
}
