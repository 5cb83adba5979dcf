import type { Milliseconds, SettingsRevision } from '../types/ids.js';
import { type SettingsChange, type SettingsEntry, SettingsIndex } from './settings-index.js';

/** All settings at a revision. */
export interface SettingsState {
  readonly kind: 'state';
  readonly revision: SettingsRevision;
  readonly entries: readonly SettingsEntry[];
}

/** The changes after one revision up to another. */
export interface SettingsDelta {
  readonly kind: 'delta';
  readonly from: SettingsRevision;
  readonly to: SettingsRevision;
  /** A value of undefined means that the path was deleted. */
  readonly changes: readonly SettingsChange[];
}

/** Result of applying an update; see {@link SettingsReplica.apply}. */
export type ApplyResult = 'applied' | 'old' | 'gap';

/**
 * An instance's copy of the settings. Updates may come from several sources and in any order; the
 * copy never returns to an older revision.
 */
export class SettingsReplica {
  private readonly index = new SettingsIndex();

  private loaded = false;

  /** Time up to which the platform is known to have had no newer revision. */
  private confirmedUntil: Milliseconds | undefined;

  /** @returns the newest settings received */
  get current(): SettingsIndex {
    return this.index;
  }

  /** @returns whether any settings have been received */
  get isLoaded(): boolean {
    return this.loaded;
  }

  /** @returns time up to which the settings are known to be the newest, if confirmed at all */
  get freshUntil(): Milliseconds | undefined {
    return this.confirmedUntil;
  }

  /**
   * Applies an update if it is newer than the current settings.
   *
   * @param update - all settings, or a delta
   * @returns `applied` if the settings changed, `old` if the update holds nothing newer, `gap` if
   * earlier updates are missing
   */
  apply(update: SettingsState | SettingsDelta): ApplyResult {
    return update.kind === 'state' ? this.applyState(update) : this.applyDelta(update);
  }

  /**
   * Records that a source had no newer revision than this copy at a certain time.
   *
   * @param revision - newest revision at the source
   * @param at - time of the local clock at which the source was known to be current
   */
  confirmFreshness(revision: SettingsRevision, at: Milliseconds): void {
    if (!this.loaded || revision > this.index.revision) return;
    if (this.confirmedUntil === undefined || at > this.confirmedUntil) this.confirmedUntil = at;
  }

  private applyState(state: SettingsState): ApplyResult {
    if (this.loaded && state.revision <= this.index.revision) return 'old';
    this.index.replaceAll(state.revision, state.entries);
    this.loaded = true;
    return 'applied';
  }

  private applyDelta(delta: SettingsDelta): ApplyResult {
    if (!this.loaded || delta.from > this.index.revision) return 'gap';
    if (delta.to <= this.index.revision) return 'old';
    // A delta from before the current revision may hold values that have been replaced since.
    if (delta.from < this.index.revision) return 'gap';
    this.index.applyChanges(delta.to, delta.changes);
    return 'applied';
  }
}
