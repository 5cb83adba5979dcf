/** An instance's copy of the settings, which never goes back to an older revision. */
import { type Milliseconds, type SettingsRevision, toBrand } from '../types/ids.js';
import { EMPTY_SNAPSHOT, type SettingsEntry, SettingsSnapshot } from './snapshot.js';

/** All settings at a revision. */
export interface SettingsState {
  readonly kind: 'state';
  readonly revision: SettingsRevision;
  readonly entries: readonly SettingsEntry[];
}

/** What changed after one revision up to another. */
export interface SettingsDelta {
  readonly kind: 'delta';
  readonly from: SettingsRevision;
  readonly to: SettingsRevision;
  /** A value of undefined means that the path was deleted. */
  readonly changes: readonly { readonly path: string; readonly value?: unknown }[];
}

/** What applying an update came to. */
export type ApplyResult = 'applied' | 'old' | 'gap';

/** Applies updates in order, from whichever source they come. */
export class SettingsReplica {
  private snapshot: SettingsSnapshot = EMPTY_SNAPSHOT;

  private known = false;

  /** Moment up to which the platform is known to have had no newer revision. */
  private freshAt: Milliseconds | undefined;

  /** @returns the newest settings known */
  get current(): SettingsSnapshot {
    return this.snapshot;
  }

  /** @returns whether any settings have been learnt */
  get isKnown(): boolean {
    return this.known;
  }

  /** @returns moment as of which the settings are known to be the newest, if ever */
  get freshnessMoment(): Milliseconds | undefined {
    return this.freshAt;
  }

  /**
   * Applies an update if it is newer.
   *
   * @param update - whole state, or a delta
   * @returns `old` if nothing is new in it, `gap` if updates in between are missing
   */
  apply(update: SettingsState | SettingsDelta): ApplyResult {
    return update.kind === 'state' ? this.applyState(update) : this.applyDelta(update);
  }

  /**
   * Notes that a source was seen to hold no newer revision than ours at a moment.
   *
   * @param revision - newest revision at the source
   * @param at - moment of our clock at which the source was known to be current
   */
  confirmFreshness(revision: SettingsRevision, at: Milliseconds): void {
    if (!this.known || revision > this.snapshot.revision) return;
    if (this.freshAt === undefined || at > this.freshAt) this.freshAt = at;
  }

  private applyState(state: SettingsState): ApplyResult {
    if (this.known && state.revision <= this.snapshot.revision) return 'old';
    const values = new Map(state.entries.map(({ path, value }) => [path, value]));
    this.replace(state.revision, values);
    return 'applied';
  }

  private applyDelta(delta: SettingsDelta): ApplyResult {
    if (!this.known || delta.from > this.snapshot.revision) return 'gap';
    if (delta.to <= this.snapshot.revision) return 'old';
    // A delta that starts before our revision may carry values that we have already passed.
    if (delta.from < this.snapshot.revision) return 'gap';
    const values = new Map(this.snapshot.values);
    for (const { path, value } of delta.changes) {
      if (value === undefined) values.delete(path);
      else values.set(path, value);
    }
    this.replace(delta.to, values);
    return 'applied';
  }

  private replace(revision: SettingsRevision, values: ReadonlyMap<string, unknown>): void {
    this.snapshot = new SettingsSnapshot(toBrand<SettingsRevision>(revision), values);
    this.known = true;
  }
}
