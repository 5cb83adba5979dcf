import { CallPacer, type CallPace, type Clock, toMilliseconds } from '@heatherledge/core';
import { delay } from '@heatherledge/daemon';
import { err, ok, type Result } from 'neverthrow';
import type {
  ControlStore,
  StoreChanges,
  StoreEra,
  StoreError,
  StoreItem,
  StoreRevision,
} from '../ports/control-store.js';
import { MAX_ENTRY_BYTES } from '../ports/fleet-directory.js';
import { SETTINGS_COPY_KEY } from './records.js';
import type { CheckResult, Expectation, Listing, ViewSource } from './view-source.js';

/**
 * Each watch costs one call, so waits are long. The wait also bounds the time until a silent
 * connection is detected, which has to be well below 7 s: a leaving member serves for at least that
 * long.
 */
const MAX_STORE_WATCH_WAIT_MS = toMilliseconds(3000);
/** The store responds to an ordinary call in 4 ms, and up to 70 times as slowly when it is slow. */
export const STORE_TIMEOUT_MS = toMilliseconds(800);
/** The platform's limit of conditions in one call. */
const MAX_CONDITIONS_PER_CALL = 32;

/** Keeps the delay of a change well below the time that a change of primary takes. */
const WATCH_PACE: CallPace = { burst: 3, intervalMs: toMilliseconds(400) };

/** Watches and checks the store itself. */
export class StoreSource implements ViewSource {
  private readonly watchPacer = new CallPacer(WATCH_PACE);

  /**
   * @param store - the store
   * @param clock - clock of this process
   * @param settingsKey - key of the operators' settings
   */
  constructor(
    private readonly store: ControlStore,
    private readonly clock: Clock,
    private readonly settingsKey: string,
  ) {}

  async readAll(): Promise<Result<Listing, StoreError>> {
    const snapshot = await this.store.readAll('', STORE_TIMEOUT_MS);
    return snapshot.map((contents) => {
      const items = contents.items.map((item) => this.limitSize(item));
      return { ...contents, items, isRelayed: false };
    });
  }

  async watch(
    after: StoreRevision,
    signal: AbortSignal,
  ): Promise<Result<StoreChanges, StoreError>> {
    const delayMs = this.watchPacer.take(this.clock.now());
    if (delayMs > 0) await delay(delayMs);
    const changes = await this.store.watch('', after, MAX_STORE_WATCH_WAIT_MS, signal);
    return changes.map((contents) => {
      const events = contents.events.map((event) =>
        event.kind === 'written' ? { ...event, item: this.limitSize(event.item) } : event,
      );
      return { ...contents, events };
    });
  }

  /**
   * Cuts off the value of an item that is too large to be read; it remains too large. Every instance keeps
   * items and changes for its subscribers, and another writer may write a large one again and again.
   */
  private limitSize(item: StoreItem): StoreItem {
    const isSettings = item.key === this.settingsKey || item.key === SETTINGS_COPY_KEY;
    if (isSettings || item.value.length <= MAX_ENTRY_BYTES) return item;
    // A copy, as a part of a buffer keeps the whole buffer in memory.
    return { ...item, value: Buffer.from(item.value.subarray(0, MAX_ENTRY_BYTES + 1)) };
  }

  /**
   * Checks with conditional commits that change nothing. A pending watch cannot replace them,
   * because it does not confirm that nothing has changed.
   */
  async check(
    own: readonly Expectation[],
    ofSubscribers: readonly Expectation[],
  ): Promise<Result<CheckResult, StoreError>> {
    const expectations = [...own, ...ofSubscribers];
    const asOf = this.clock.now();
    const eras = new Set<StoreEra>();
    for (let from = 0; from < expectations.length; from += MAX_CONDITIONS_PER_CALL) {
      const expect = expectations.slice(from, from + MAX_CONDITIONS_PER_CALL);
      const checked = await this.store.commit({ expect, puts: [], removes: [] }, STORE_TIMEOUT_MS);
      if (checked.isErr()) return err(checked.error);
      eras.add(checked.value.era);
    }
    const era = Math.max(...eras) as StoreEra;
    if (eras.size === 1) return ok({ asOf, isRelayed: false, era });
    return err({ kind: 'conflict', reason: 'the store returned from an older copy', era });
  }
}
