import type { GroupId, TermPosition } from '@heatherledge/core';
import type { PreparedStatement } from '../members/prepared-statement.js';
import type { CallerState } from './session-context.js';

/** Memory of an entry besides its texts: the map's slot, the headers of the texts, an object and a digest. */
const ENTRY_OVERHEAD_BYTES = 250;

/** State of a caller's session; statements that still run or wait keep the values they were sent with. */
export class MutableCallerState implements CallerState {
  readonly prepared = new Map<string, PreparedStatement>();

  readonly commitPositions = new Map<GroupId, TermPosition>();

  private currentValues = new Map<string, string>();

  /** Whether a statement may hold the current map. */
  private isShared = false;

  private bytes = 0;

  /** Memory of the values and prepared statements. */
  get heldBytes(): number {
    return this.bytes;
  }

  /** A map that does not change any more. */
  get values(): ReadonlyMap<string, string> {
    this.isShared = true;
    return this.currentValues;
  }

  /** Sets a value for later statements. */
  setValue(name: string, value: string): void {
    // Copied at most once for each statement: a copy for each SET would take quadratic time.
    if (this.isShared) this.currentValues = new Map(this.currentValues);
    this.isShared = false;
    this.replaceBytes(name, this.currentValues.get(name), value);
    this.currentValues.set(name, value);
  }

  /** Sets a prepared statement for later statements. */
  setPrepared(name: string, statement: PreparedStatement): void {
    this.replaceBytes(name, this.prepared.get(name)?.shape, statement.shape);
    this.prepared.set(name, statement);
  }

  /** @returns whether the prepared statement existed */
  removePrepared(name: string): boolean {
    this.replaceBytes(name, this.prepared.get(name)?.shape, undefined);
    return this.prepared.delete(name);
  }

  private replaceBytes(name: string, before: string | undefined, after: string | undefined): void {
    const entryBytes = name.length + ENTRY_OVERHEAD_BYTES;
    if (before !== undefined) this.bytes -= entryBytes + before.length;
    if (after !== undefined) this.bytes += entryBytes + after.length;
  }
}
