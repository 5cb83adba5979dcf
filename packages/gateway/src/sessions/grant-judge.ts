/** Judges callers by the newest settings and by how old these may be. */
import type { Clock } from '@heatherledge/core';
import type { FleetView } from '../fleet/fleet-view.js';
import type { ErrorCode } from '../ports/caller-protocol.js';
import type { Grant, GrantJudge } from './session-context.js';

/** Checked again before each statement is sent, so that a withdrawn key stops at once. */
export class SettingsGrantJudge implements GrantJudge {
  constructor(
    private readonly view: FleetView,
    private readonly clock: Clock,
  ) {}

  findObjection(grant: Grant): ErrorCode | undefined {
    if (grant.organisation === undefined) return undefined;
    const holder = grant.key && this.view.settings?.organisationByKey.get(grant.key);
    if (holder !== grant.organisation) return 'key-rejected';
    return this.view.confirmation.mayServeKeyedRequests(this.clock.now()) ? undefined : 'busy';
  }
}
