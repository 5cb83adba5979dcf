/** How the store's contents are read and written in the gateway's own types. */
import type {
  FleetSettings,
  GroupId,
  MemberEntry,
  MemberId,
  Milliseconds,
} from '@heatherledge/core';
import type { Result } from 'neverthrow';

/** Where the platform keeps what the gateway reads, and how it is decoded. */
export interface FleetDirectory {
  /** Key of the operators' settings. */
  readonly settingsKey: string;
  /** Prefix of the members' entries. */
  readonly membersPrefix: string;
  /** @returns the settings, or a reason why they cannot be read */
  decodeSettings(value: Buffer): Result<FleetSettings, string>;
  /** @returns the member, or a reason why the entry names none */
  decodeMember(key: string, value: Buffer): Result<MemberEntry, string>;
}

/** Outcome of an order to promote a member. */
export type PromotionOutcome = 'done' | 'refused' | 'unknown';

/** Orders the platform to make a member the primary of its group. */
export interface PromotionPort {
  /**
   * @param group - the group
   * @param member - who takes over
   * @param holder - name of the instance that gives the order
   * @param fence - number that rises whenever another instance becomes the holder
   * @param timeoutMs - longest wait; the order is withdrawn as far as possible after that
   */
  promote(
    group: GroupId,
    member: MemberId,
    holder: string,
    fence: number,
    timeoutMs: Milliseconds,
  ): Promise<PromotionOutcome>;
}
