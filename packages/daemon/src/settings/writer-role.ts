/** Writing settings: who may, and for how long nothing has been written through this instance. */
import {
  chooseHolders,
  type Clock,
  type InstanceId,
  type InstanceRecord,
  type Milliseconds,
  type SettingsRevision,
  type SettingsState,
  toBrand,
} from '@heatherledge/core';
import {
  type ChangeOutcome,
  type ChangeRequest,
  type SettingsStore,
  WRITERS_PATH,
} from './settings-store.js';

/** One instance's writes of settings. */
export class WriterRole {
  private lastWriteAt: Milliseconds;

  private underway = 0;

  /** Revisions on which writes of unknown outcome were built. */
  private unresolvedBases: number[] = [];

  constructor(
    private readonly self: InstanceId,
    private readonly store: SettingsStore,
    private readonly clock: Clock,
  ) {
    this.lastWriteAt = clock.now();
  }

  /**
   * @param request - what is to change
   * @returns what became of it
   */
  async write(request: ChangeRequest): Promise<ChangeOutcome> {
    this.lastWriteAt = this.clock.now();
    this.underway += 1;
    const outcome = await this.store.change(request, (state) => this.mayWrite(state));
    this.underway -= 1;
    if (outcome.kind === 'unknown') this.unresolvedBases.push(outcome.base);
    this.lastWriteAt = this.clock.now();
    return outcome;
  }

  /**
   * @param revision - newest revision known here
   * @returns time for which nothing can have been written through this instance, in milliseconds
   */
  resolveQuietMs(revision: SettingsRevision): number {
    // A write of unknown outcome can no longer take effect once the settings have moved on.
    this.unresolvedBases = this.unresolvedBases.filter((base) => base >= revision);
    const isQuiet = this.underway === 0 && this.unresolvedBases.length === 0;
    return isQuiet ? this.clock.now() - this.lastWriteAt : 0;
  }

  private mayWrite(state: SettingsState): boolean {
    const entry = state.entries.find(({ path }) => path === WRITERS_PATH);
    const writers = readWriters(entry?.value);
    return writers.size === 0 || writers.has(this.self);
  }
}

/**
 * @param value - value of the writers' path
 * @returns instances that may write settings
 */
export function readWriters(value: unknown): ReadonlySet<InstanceId> {
  const instances = (value as { instances?: string[] } | undefined)?.instances ?? [];
  return new Set(instances.map((id) => toBrand<InstanceId>(id)));
}

/**
 * Chooses one live writer in each failure domain, and keeps those that are writers already.
 *
 * @param live - instances that may hold roles
 * @param writers - present writers
 * @returns the writers that should be
 */
export function chooseWriters(
  live: readonly InstanceRecord[],
  writers: ReadonlySet<InstanceId>,
): InstanceId[] {
  const byDomain = new Map<string, InstanceId[]>();
  for (const { id, failureDomain } of live) {
    byDomain.set(failureDomain, [...(byDomain.get(failureDomain) ?? []), id]);
  }
  return [...byDomain].flatMap(([domain, ids]) => {
    const present = ids.filter((id) => writers.has(id));
    return present.length > 0 ? present.slice(0, 1) : chooseHolders(`relay/${domain}`, ids, 1);
  });
}
