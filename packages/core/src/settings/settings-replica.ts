/** An instance's copy of the settings, which never goes back to an older revision. */
import type { Milliseconds, SettingsRevision } from '../types/ids.js';
import { type SettingsChange, type SettingsEntry, SettingsIndex } from './settings-index.js';

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
  readonly changes: readonly SettingsChange[];
}

/** What applying an update came to. */
export type ApplyResult = 'applied' | 'old' | 'gap';

/** Applies updates in order, from whichever source they come. */
export class SettingsReplica {
  private readonly index = new SettingsIndex();

  private known = false;

  /** Moment up to which the platform is known to have had no newer revision. */
  private freshAt: Milliseconds | undefined;

  /** @returns the newest settings known */
  get current(): SettingsIndex {
    return this.index;
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
    if (!this.known || revision > this.index.revision) return;
    if (this.freshAt === undefined || at > this.freshAt) this.freshAt = at;
  }

  private applyState(state: SettingsState): ApplyResult {
    if (this.known && state.revision <= this.index.revision) return 'old';
    this.index.replace(state.revision, state.entries);
    this.known = true;
    return 'applied';
  }

  private applyDelta(delta: SettingsDelta): ApplyResult {
    if (!this.known || delta.from > this.index.revision) return 'gap';
    if (delta.to <= this.index.revision) return 'old';
    // A delta that starts before our revision may carry values that we have already passed.
    if (delta.from < this.index.revision) return 'gap';
    this.index.change(delta.to, delta.changes);
    return 'applied';
  }
}
