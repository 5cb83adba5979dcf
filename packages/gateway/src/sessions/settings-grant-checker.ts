import type { Clock } from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { ErrorCode } from '../ports/caller-protocol.js';
import type { Credentials, GrantChecker } from './grants.js';

/**
 * Checks credentials against the newest settings, which must have been confirmed recently. The check is
 * repeated before each statement is sent, so that the withdrawal of a key takes effect at once.
 */
export class SettingsGrantChecker implements GrantChecker {
  constructor(
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {}

  findRefusal({ organisation, key }: Credentials): ErrorCode | undefined {
    if (organisation === undefined) return undefined;
    const keyOrganisation = key && this.view.settings?.organisationByKey.get(key);
    if (keyOrganisation !== organisation) return 'key-rejected';
    return this.view.confirmation.mayServeKeyedRequests(this.clock.now()) ? undefined : 'busy';
  }
}
