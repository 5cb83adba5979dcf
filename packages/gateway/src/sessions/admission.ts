import {
  type AllowedRegions,
  type KeyDigest,
  type OrganisationId,
  prefersUrgentRoutes,
  ProxyError,
  resolveAllowedRegions,
  type Route,
} from '@heatherledge/core';
import type { LimitsTask } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { WireError } from '../ports/caller-protocol.js';
import type { Grant, GrantChecker } from './grants.js';

/** Services needed to admit operations. */
export interface AdmissionServices {
  readonly view: FleetView;
  readonly limits: LimitsTask;
  readonly grantChecker: GrantChecker;
}

/**
 * Admits operations of callers: checks route, key and rate against the newest settings. An
 * operation is a transaction, or a statement outside transactions.
 */
export class Admission {
  constructor(private readonly services: AdmissionServices) {}

  /**
   * Checks the caller's key and takes a token from its organisation's rate.
   *
   * @param database - database that the session named at its start
   * @param key - digest of the caller's key, if it sent one
   * @returns permission to run the operation, or why it is refused
   */
  async admit(
    database: string | undefined,
    key: KeyDigest | undefined,
  ): Promise<Grant | WireError> {
    const grant = this.resolveGrant(database, key);
    if ('code' in grant || grant.organisation === undefined) return grant;
    try {
      await this.services.limits.admit(grant.organisation, this.resolvePriority(grant));
    } catch (error) {
      if (!(error instanceof ProxyError)) throw error;
      return { code: 'busy', text: error.message };
    }
    // The key may have been withdrawn while the operation waited for the token.
    const refusalCode = this.services.grantChecker.findRefusal(grant);
    return refusalCode === undefined ? grant : { code: refusalCode, text: 'the key is not valid' };
  }

  /**
   * Resolves what a caller may run, without taking a token from a rate.
   *
   * @param database - database that the session named at its start
   * @param key - digest of the caller's key, if it sent one
   * @returns the caller's permission, or why it has none
   */
  resolveGrant(database: string | undefined, key: KeyDigest | undefined): Grant | WireError {
    const { settings } = this.services.view;
    const route = settings?.routesByDatabase.get(database ?? '');
    if (settings === undefined) return { code: 'busy', text: 'the instance is starting' };
    if (route === undefined) return { code: 'unknown-database', text: 'no such database' };
    return this.checkKey(route, key, key && settings.organisationByKey.get(key));
  }

  /** Resolves the priority with which an operation gets a token of its organisation's rate. */
  private resolvePriority({ route }: Grant): number {
    const { settings } = this.services.view;
    return settings !== undefined && prefersUrgentRoutes(settings) ? route.priority : 0;
  }

  private checkKey(
    route: Route,
    key: KeyDigest | undefined,
    organisation: OrganisationId | undefined,
  ): Grant | WireError {
    if (organisation === undefined && !route.isPublic) {
      return { code: 'key-rejected', text: 'the key is not valid' };
    }
    const grant = this.createGrant(route, key, organisation);
    const refusalCode = this.services.grantChecker.findRefusal(grant);
    if (refusalCode === undefined) return grant;
    return { code: refusalCode, text: 'this instance cannot check the key now' };
  }

  /** Creates a grant whose allowed regions follow changes of the settings while it is in use. */
  private createGrant(
    route: Route,
    key: KeyDigest | undefined,
    organisation: OrganisationId | undefined,
  ): Grant {
    const { view } = this.services;
    return {
      route,
      organisation,
      key,
      get allowedRegions(): AllowedRegions | undefined {
        return view.settings && resolveAllowedRegions(view.settings, route, organisation);
      },
    };
  }
}
