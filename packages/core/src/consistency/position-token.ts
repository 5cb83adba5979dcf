/** Session positions as text that a caller carries between instances, authenticated. */
import { createHmac, timingSafeEqual } from 'node:crypto';
import {
  type GroupId,
  type LogPosition,
  type OrganisationId,
  type Term,
  toBrand,
} from '../types/ids.js';
import type { SessionPosition } from './session-position.js';

const VERSION = 'v1';
/** Bytes of the authentication code that are kept. */
const MAC_BYTES = 16;
const TOKEN = /^v1\.([0-9]{1,15})\.([0-9]{1,15})\.([A-Za-z0-9_-]{22})$/;

/** Seals and opens positions with the fleet's secret. */
export class PositionCodec {
  /** @param secret - secret shared by all instances */
  constructor(private readonly secret: string) {}

  /**
   * @param organisation - whose session it is
   * @param group - group that the position belongs to
   * @param position - what the session has seen
   * @returns text for the caller
   */
  seal(organisation: OrganisationId, group: GroupId, position: SessionPosition): string {
    const body = `${VERSION}.${position.term}.${position.position}`;
    return `${body}.${this.sign(organisation, group, body).toString('base64url')}`;
  }

  /**
   * @param organisation - whose session it is now
   * @param group - group that the session uses now
   * @param token - text that the caller showed
   * @returns the position, or undefined if the text was not sealed for this organisation and group
   */
  open(organisation: OrganisationId, group: GroupId, token: string): SessionPosition | undefined {
    const match = TOKEN.exec(token);
    if (match === null) return undefined;
    const body = `${VERSION}.${match[1]}.${match[2]}`;
    const expected = this.sign(organisation, group, body);
    const given = Buffer.from(match[3] ?? '', 'base64url');
    if (given.length !== expected.length || !timingSafeEqual(given, expected)) return undefined;
    return {
      term: toBrand<Term>(Number(match[1])),
      position: toBrand<LogPosition>(Number(match[2])),
    };
  }

  private sign(organisation: OrganisationId, group: GroupId, body: string): Buffer {
    const mac = createHmac('sha256', this.secret);
    mac.update(`${organisation}\0${group}\0${body}`);
    return mac.digest().subarray(0, MAC_BYTES);
  }
}
