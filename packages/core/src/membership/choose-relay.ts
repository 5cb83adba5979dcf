import { chooseHolders } from '../routing/rendezvous.js';
import type { InstanceId } from '../types/ids.js';

/**
 * Instances per relay, itself included. Each change in the store costs each relay a call, so there
 * are few of them; a relay confirms the records of the instances that it serves in one or two calls
 * of 32 conditions, together with the settings and the groups.
 */
const INSTANCES_PER_RELAY = 40;

/** The instances of one failure domain. */
export interface DomainInstances {
  readonly all: readonly InstanceId[];
  /** Instances with the most processor time. */
  readonly strongest: readonly InstanceId[];
}

/**
 * Lists the relays of a failure domain: the instances that read the store for the others.
 *
 * Relays keep the number of store calls from growing with the fleet: 91 instances that each watch
 * the store and confirm their own records make 8,200 calls on a quiet day, all with the same
 * results.
 *
 * @param domain - the instances of one failure domain
 * @returns the relays
 */
export function listRelays({ all, strongest }: DomainInstances): InstanceId[] {
  const count = Math.ceil(all.length / INSTANCES_PER_RELAY);
  return chooseHolders('relay', strongest.length >= count ? strongest : all, count);
}

/**
 * Chooses the relay of an instance.
 *
 * @param self - the instance
 * @param domain - the instances of its failure domain
 * @returns the relay, or undefined if the instance is a relay and reads the store itself
 */
export function chooseRelay(self: InstanceId, domain: DomainInstances): InstanceId | undefined {
  const relays = listRelays(domain);
  if (relays.includes(self)) return undefined;
  return chooseHolders(`relay/${self}`, relays, 1)[0];
}

/**
 * Chooses a relay in another failure domain, for an instance that gets no response from the store.
 *
 * @param self - the instance
 * @param otherDomains - the instances of each other failure domain
 * @returns the relay, or undefined if the other failure domains have no instances
 */
export function chooseBackupRelay(
  self: InstanceId,
  otherDomains: readonly DomainInstances[],
): InstanceId | undefined {
  return chooseHolders(`backup/${self}`, otherDomains.flatMap(listRelays), 1)[0];
}
