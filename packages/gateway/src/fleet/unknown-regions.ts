import { listUnknownRegions } from '@heatherledge/core';
import type { EventLog } from '../runtime/event-log.js';
import type { FleetView } from './fleet-view.js';

/** Regions that are named in the log line of one settings version. */
const MAX_LOGGED_REGIONS = 10;

/**
 * Writes a log line for each version of the settings that allows regions which no failure domain has.
 * Such a region is probably misspelt; it remains a restriction.
 *
 * @param view - this instance's copy of the store
 * @param regionByDomain - region of each failure domain
 * @param log - receives the line
 */
export function logUnknownRegions(
  view: FleetView,
  regionByDomain: ReadonlyMap<string, string>,
  log: EventLog,
): void {
  let checkedVersion: number | undefined;
  view.onChange(() => {
    const { settings } = view;
    if (settings === undefined || settings.version === checkedVersion) return;
    checkedVersion = settings.version;
    const unknown = listUnknownRegions(settings, regionByDomain.values());
    if (unknown.length === 0) return;
    const regions = unknown.slice(0, MAX_LOGGED_REGIONS);
    log.warn('settings.regions.unknown', {
      version: checkedVersion,
      count: unknown.length,
      regions,
    });
  });
}
