import { createHmac, timingSafeEqual } from 'node:crypto';
import {
  type GroupId,
  type LogPosition,
  type OrganisationId,
  type Term,
  toBrand,
} from '../types/ids.js';
import type { SessionPosition } from './session-position.js';

const TOKEN_VERSION = 'v1';
/** Length of the truncated authentication code, in bytes. */
const MAC_BYTES = 16;
const TOKEN_PATTERN = /^v1\.([0-9]{1,15})\.([0-9]{1,15})\.([A-Za-z0-9_-]{22})$/;

/**
 * Encodes session positions as authenticated text that a caller carries between instances, and
 * decodes them.
 */
export class PositionCodec {
  /** @param secret - secret that all instances share */
  constructor(private readonly secret: string) {}

  /**
   * Encodes a position.
   *
   * @param organisation - organisation of the session
   * @param group - group that the position belongs to
   * @param position - position that the session has seen
   * @returns token for the caller
   */
  encode(organisation: OrganisationId, group: GroupId, position: SessionPosition): string {
    const body = `${TOKEN_VERSION}.${position.term}.${position.position}`;
    return `${body}.${this.computeMac(organisation, group, body).toString('base64url')}`;
  }

  /**
   * Decodes and verifies a token.
   *
   * @param organisation - organisation of the current session
   * @param group - group of the current session
   * @param token - token that the caller sent
   * @returns the position, or undefined if the token was not encoded for this organisation and
   * group
   */
  decode(organisation: OrganisationId, group: GroupId, token: string): SessionPosition | undefined {
    const match = TOKEN_PATTERN.exec(token);
    if (match === null) return undefined;
    const body = `${TOKEN_VERSION}.${match[1]}.${match[2]}`;
    const expected = this.computeMac(organisation, group, body);
    const actual = Buffer.from(match[3] ?? '', 'base64url');
    if (actual.length !== expected.length || !timingSafeEqual(actual, expected)) return undefined;
    return {
      term: toBrand<Term>(Number(match[1])),
      position: toBrand<LogPosition>(Number(match[2])),
    };
  }

  private computeMac(organisation: OrganisationId, group: GroupId, body: string): Buffer {
    const mac = createHmac('sha256', this.secret);
    const parts = [organisation, group, body];
    // The separator is plain for names without it, so that earlier versions compute the same.
    const isPlain = !parts.some((part) => part.includes('\0'));
    mac.update(isPlain ? parts.join('\0') : JSON.stringify(parts));
    return mac.digest().subarray(0, MAC_BYTES);
  }
}
