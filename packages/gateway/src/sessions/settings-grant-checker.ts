import type { Clock } from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { ErrorCode } from '../ports/caller-protocol.js';
import type { Grant, GrantChecker } from './session-context.js';

/**
 * Checks grants against the newest settings, which must have been confirmed recently. The check is
 * repeated before each statement is sent, so that the withdrawal of a key takes effect at once.
 */
export class SettingsGrantChecker implements GrantChecker {
  constructor(
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {}

  findRefusal(grant: Grant): ErrorCode | undefined {
    if (grant.organisation === undefined) return undefined;
    const keyOrganisation = grant.key && this.view.settings?.organisationByKey.get(grant.key);
    if (keyOrganisation !== grant.organisation) return 'key-rejected';
    return this.view.confirmation.mayServeKeyedRequests(this.clock.now()) ? undefined : 'busy';
  }
}
