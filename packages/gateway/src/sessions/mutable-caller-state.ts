import type { GroupId, TermPosition } from '@heatherledge/core';
import type { PreparedStatement } from '../members/prepared-statement.js';
import type { CallerState } from './session-context.js';

/** State of a caller's session; statements that still run or wait keep the values they were sent with. */
export class MutableCallerState implements CallerState {
  readonly prepared = new Map<string, PreparedStatement>();

  readonly commitPositions = new Map<GroupId, TermPosition>();

  private currentValues = new Map<string, string>();

  /** Whether a statement may hold the current map. */
  private isShared = false;

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
    this.currentValues.set(name, value);
  }
}
