import type {
  FleetSettings,
  GroupId,
  MemberEntry,
  MemberId,
  Milliseconds,
} from '@heatherledge/core';
import type { Result } from 'neverthrow';

/**
 * Maximum size of an entry or a record, which take a few hundred bytes; parsing a nested megabyte can take
 * a hundred times its size. The settings may be larger.
 */
export const MAX_ENTRY_BYTES = 65_536;

/** Keys of the platform's own data in the store, and decoders for their values. */
export interface FleetDirectory {
  /** Key of the operators' settings. */
  readonly settingsKey: string;
  /** Prefix of the members' entries. */
  readonly membersPrefix: string;
  /** Prefix of the operators' requests to evacuate a failure domain; undefined if there are none. */
  readonly evacuationsPrefix?: string | undefined;
  /** @returns the settings, or why they cannot be decoded */
  decodeSettings(value: Buffer): Result<FleetSettings, string>;
  /** @returns the member's entry, or why it cannot be decoded */
  decodeMember(key: string, value: Buffer): Result<MemberEntry, string>;
  /** @returns the failure domain that a request to evacuate names, or why it names none */
  decodeEvacuation?(key: string): Result<string, string>;
}

/** Outcome of a request to promote a member. */
export type PromotionOutcome = 'done' | 'refused' | 'unknown';

/** Requests promotions of members from the platform. */
export interface PromotionPort {
  /**
   * Requests that a member becomes the primary of its group.
   *
   * @param group - the group
   * @param member - the member that becomes the primary
   * @param holder - id of the instance that holds the coordinator's lease and sends the request
   * @param fence - fencing token, which increases whenever the lease gets another holder
   * @param timeoutMs - maximum wait; the request is cancelled as far as possible after that
   */
  promote(
    group: GroupId,
    member: MemberId,
    holder: string,
    fence: number,
    timeoutMs: Milliseconds,
  ): Promise<PromotionOutcome>;
}
