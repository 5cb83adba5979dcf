import type { FleetSettings } from './fleet-settings.js';

/** Priority of the most urgent routes. */
const HIGHEST_PRIORITY = 0;

/** Results by settings, which are immutable; every admission asks for them. */
const results = new WeakMap<FleetSettings, boolean>();

/**
 * Finds out whether the operators prefer some routes when an organisation exceeds its rate: they do if they
 * have given any route the highest priority. Other settings rank requests at members only, and admit
 * them in the order of their arrival.
 *
 * @param settings - the settings in force
 * @returns whether tokens of a rate go to the most urgent requests first
 */
export function prefersUrgentRoutes(settings: FleetSettings): boolean {
  const known = results.get(settings);
  if (known !== undefined) return known;
  const routes = [...settings.routesByDatabase.values()];
  const isPreferred = routes.some(({ priority }) => priority === HIGHEST_PRIORITY);
  results.set(settings, isPreferred);
  return isPreferred;
}
