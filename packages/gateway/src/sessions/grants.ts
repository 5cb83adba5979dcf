import type { AllowedRegions, KeyDigest, OrganisationId, Route } from '@heatherledge/core';
import type { ErrorCode } from '../ports/caller-protocol.js';

/** In whose name a statement runs. */
export interface Credentials {
  /** Undefined for callers without a valid key, which public routes admit. */
  readonly organisation: OrganisationId | undefined;
  readonly key: KeyDigest | undefined;
}

/** Permission of a caller to run statements on a route. */
export interface Grant extends Credentials {
  readonly route: Route;
  /**
   * Regions whose members and instances may get the statements, resolved from the newest settings at each
   * access; undefined without a restriction.
   */
  readonly allowedRegions?: AllowedRegions | undefined;
}

/** Checks whether a caller may still run statements. */
export interface GrantChecker {
  /** @returns the error code if the credentials are no longer valid, or undefined if they are */
  findRefusal(credentials: Credentials): ErrorCode | undefined;
}
