import type { DomainInstances, InstanceId } from '@heatherledge/core';

/** An instance with its failure domain and its processor capacity in cores. */
export interface PlacedInstance {
  readonly id: InstanceId;
  readonly domain: string;
  readonly cores: number;
}

/**
 * Groups instances by failure domain.
 *
 * @param instances - instances of the fleet
 * @returns the instances of each failure domain, keyed by its name
 */
export function groupByDomain(
  instances: readonly PlacedInstance[],
): ReadonlyMap<string, DomainInstances> {
  const byDomain = new Map<string, PlacedInstance[]>();
  for (const instance of instances) {
    const placed = byDomain.get(instance.domain);
    if (placed === undefined) byDomain.set(instance.domain, [instance]);
    else placed.push(instance);
  }
  return new Map([...byDomain].map(([domain, placed]) => [domain, createDomain(placed)]));
}

function createDomain(instances: readonly PlacedInstance[]): DomainInstances {
  const maxCores = Math.max(...instances.map(({ cores }) => cores));
  const strongest = instances.filter(({ cores }) => cores === maxCores);
  return { all: instances.map(({ id }) => id), strongest: strongest.map(({ id }) => id) };
}
