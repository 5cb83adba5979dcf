/** What a caller's session carries from one request to the next. */
import {
  type GroupId,
  type KeyDigest,
  mergePositions,
  type OrganisationId,
  type SessionPosition,
} from '@heatherledge/core';
import type { SessionStatements } from './request-unit.js';

/** State of one session that a roaming caller could carry elsewhere, and its prepared statements. */
export class CallerState {
  position: SessionPosition | undefined;

  /** Accepted age of data, in milliseconds. */
  maxAgeMs: number | undefined;

  /** Key under which the next transaction is recorded. */
  idempotencyKey: string | undefined;

  readonly statements: SessionStatements = new Map();

  /** Session parameters set by the caller: name and the statement that sets it. */
  readonly parameters = new Map<string, string>();

  private toldPosition: SessionPosition | undefined;

  /**
   * @param organisation - whose session it is
   * @param group - group that serves it
   * @param keyDigest - digest of the key shown; undefined on a route open to all
   */
  constructor(
    readonly organisation: OrganisationId,
    readonly group: GroupId,
    readonly keyDigest: KeyDigest | undefined,
  ) {}

  /** @param seen - a confirmed position that an answer included */
  advance(seen: SessionPosition): void {
    this.position = mergePositions(this.position, seen);
  }

  /** @returns the position if the caller has not been told of it yet */
  takeUntoldPosition(): SessionPosition | undefined {
    const { position, toldPosition } = this;
    const isTold =
      toldPosition?.position === position?.position && toldPosition?.term === position?.term;
    if (isTold) return undefined;
    this.toldPosition = position;
    return position;
  }

  /** @returns statements that bring a connection to this session's parameters, as one text */
  get parameterText(): string {
    return [...this.parameters.values()].join(';');
  }
}
