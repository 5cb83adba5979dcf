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
import * as z from 'zod';
import {
  type ChangeOutcome,
  type ChangeRequest,
  type SettingsStore,
  WRITERS_PATH,
} from './settings-store.js';

/**
 * Writes settings if this instance may, and records for how long nothing can have been written
 * through it.
 */
export class SettingsWriter {
  private lastWriteAt: Milliseconds;

  private pendingWrites = 0;

  /** Revisions that writes of unknown outcome are based on. */
  private unresolvedBases: number[] = [];

  constructor(
    private readonly self: InstanceId,
    private readonly store: SettingsStore,
    private readonly clock: Clock,
  ) {
    this.lastWriteAt = clock.now();
  }

  /**
   * Writes a change to the store; refused as unavailable if this instance is not a writer.
   *
   * @param request - the change
   * @returns the outcome
   */
  async write(request: ChangeRequest): Promise<ChangeOutcome> {
    this.lastWriteAt = this.clock.now();
    this.pendingWrites += 1;
    const outcome = await this.store.applyChange(request, (state) => this.mayWrite(state));
    this.pendingWrites -= 1;
    if (outcome.kind === 'unknown') this.unresolvedBases.push(outcome.base);
    this.lastWriteAt = this.clock.now();
    return outcome;
  }

  /**
   * @param revision - latest revision that this instance has
   * @returns time for which nothing can have been written through this instance, in milliseconds
   */
  computeQuietMs(revision: SettingsRevision): number {
    // A write of unknown outcome cannot take effect after the revision that it is based on.
    this.unresolvedBases = this.unresolvedBases.filter((base) => base >= revision);
    const isQuiet = this.pendingWrites === 0 && this.unresolvedBases.length === 0;
    return isQuiet ? this.clock.now() - this.lastWriteAt : 0;
  }

  private mayWrite(state: SettingsState): boolean {
    const entry = state.entries.find(({ path }) => path === WRITERS_PATH);
    const writers = parseWriters(entry?.value);
    return writers.size === 0 || writers.has(this.self);
  }
}

const writersSchema = z.object({ instances: z.array(z.string()) });

/**
 * @param value - value at {@link WRITERS_PATH}
 * @returns instances that may write settings; none if there is no such value, or it cannot be read
 */
export function parseWriters(value: unknown): ReadonlySet<InstanceId> {
  const parsed = writersSchema.safeParse(value);
  const instances = parsed.success ? parsed.data.instances : [];
  return new Set(instances.map((id) => toBrand<InstanceId>(id)));
}

/**
 * Chooses one live writer per failure domain, preferring current writers.
 *
 * @param live - instances that may be writers
 * @param writers - current writers
 * @returns the chosen writers
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
