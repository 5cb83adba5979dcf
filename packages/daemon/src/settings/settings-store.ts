import {
  type Finding,
  type PathChange,
  type SettingsEntry,
  type SettingsRevision,
  type SettingsState,
  toBrand,
  validateChange,
} from '@heatherledge/core';
import {
  type PlatformCompare,
  PlatformError,
  type PlatformPort,
  type PlatformWrite,
} from '../platform/platform-port.js';
import { SettingsHistory, type StoredHead } from './settings-history.js';
import {
  AUDIT_PREFIX,
  DESCRIPTION_PREFIX,
  ERA_KEY,
  HEAD_KEY,
  SETTINGS_PREFIX,
} from './settings-keys.js';
import { decodeStoredValue } from './stored-value.js';

export { SETTINGS_PREFIX } from './settings-keys.js';

/** Settings path of the list of instances that may write settings. */
export const WRITERS_PATH = 'internal/writers';

/** A requested change of the settings. */
export interface ChangeRequest {
  /** Chosen by the requester, so that the outcome can be looked up after a lost response. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly PathChange[];
  /** Revision that the change is based on; any other revision is a conflict. */
  readonly expectedRevision?: number;
}

/** Outcome of a change. */
export type ChangeOutcome =
  | { readonly kind: 'accepted'; readonly revision: SettingsRevision }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'conflict'; readonly revision: SettingsRevision }
  /** The change was not sent, or certainly did not take effect. */
  | { readonly kind: 'unavailable' }
  /**
   * The change may have taken effect, or may still do so as long as the settings are at revision
   * `base`.
   */
  | { readonly kind: 'unknown'; readonly base: number };

/** An accepted change, as listed in the history. */
export interface AuditRecord {
  readonly changeId: string;
  readonly author: string;
  readonly revision: number;
  readonly changes: readonly PathChange[];
}

const MAX_CHANGE_ATTEMPTS = 5;

/** Reads and changes the settings in the platform's store. */
export class SettingsStore {
  private readonly history = new SettingsHistory();

  /** @param platform - client of the platform's store */
  constructor(private readonly platform: PlatformPort) {}

  /**
   * @returns all settings at one revision
   * @throws PlatformError if the platform does not respond
   */
  async load(): Promise<SettingsState> {
    const range = await this.platform.readRange(SETTINGS_PREFIX, false, 'settings');
    const revision = this.history.resolveHead(range);
    const entries: SettingsEntry[] = range.keys
      .filter(({ key }) => !key.startsWith(DESCRIPTION_PREFIX))
      .map(({ key, value }) => ({
        path: key.slice(SETTINGS_PREFIX.length),
        value: decodeStoredValue(value),
      }));
    return { kind: 'state', revision, entries };
  }

  /**
   * @returns revision of the latest change
   * @throws PlatformError if the platform does not respond
   */
  async readHead(): Promise<SettingsRevision> {
    const range = await this.platform.readRange(DESCRIPTION_PREFIX, false, 'freshness');
    return this.history.resolveHead(range);
  }

  /**
   * Records the era of the present history if the store holds none; read the head first.
   *
   * @throws PlatformError if the platform does not respond
   */
  async ensureEraRecord(): Promise<void> {
    if (!this.history.needsRecord) return;
    const { history } = await this.platform.readRange(HEAD_KEY, true, 'settings');
    const value = JSON.stringify({ history, era: 0 });
    await this.platform.transact(
      [{ key: ERA_KEY, modRevision: 0 }],
      [{ key: ERA_KEY, value }],
      'settings',
    );
    this.history.needsRecord = false;
  }

  /**
   * Gives a restored store the next era, and writes the settings that the fleet knows if there are any.
   *
   * @param stored - what the restored store holds
   * @param known - settings that the fleet knows; those of the store stay if the fleet knows none
   * @throws PlatformError if the platform does not respond
   */
  async adoptHistory(stored: StoredHead, known: SettingsState | undefined): Promise<void> {
    const { history, headRevision, eraRevision } = stored;
    const newest = known?.revision ?? toBrand<SettingsRevision>(0);
    const era = this.history.computeNextEra(stored, newest);
    const writes: PlatformWrite[] = [
      { key: ERA_KEY, value: JSON.stringify({ history, era }) },
      { key: HEAD_KEY, value: `restored-${era}` },
      ...(known === undefined ? [] : await this.listDifferences(known)),
    ];
    const compares = [
      { key: ERA_KEY, modRevision: eraRevision },
      { key: HEAD_KEY, modRevision: headRevision },
    ];
    await this.platform.transact(compares, writes, 'settings');
  }

  /** Lists the writes that turn the settings of the store into the given ones. */
  private async listDifferences({ entries }: SettingsState): Promise<PlatformWrite[]> {
    const { keys } = await this.platform.readRange(SETTINGS_PREFIX, false, 'settings');
    const stored = keys.filter(({ key }) => !key.startsWith(DESCRIPTION_PREFIX));
    const storedValues = new Map(stored.map(({ key, value }) => [key, value]));
    const known = new Map(
      entries.map(({ path, value }) => [`${SETTINGS_PREFIX}${path}`, JSON.stringify(value)]),
    );
    const removed = stored.flatMap(({ key }) =>
      known.has(key) ? [] : [{ key, value: undefined }],
    );
    // What cannot be read stays as it is.
    const changed = [...known].flatMap(([key, value]) =>
      value === 'null' || storedValues.get(key) === value ? [] : [{ key, value }],
    );
    return [...removed, ...changed];
  }

  /**
   * Watches for changes.
   *
   * @param from - revision after which changes are reported
   * @param onChange - called for each later revision, in order
   * @param signal - ends the watch
   */
  async watch(
    from: SettingsRevision,
    onChange: (revision: SettingsRevision, changes: readonly PathChange[]) => void,
    signal: AbortSignal,
  ): Promise<void> {
    await this.platform.watch(
      SETTINGS_PREFIX,
      this.history.toStoreRevision(from) + 1,
      ({ history, revision, writes }) => {
        const changes = writes
          .filter(({ key }) => !key.startsWith(DESCRIPTION_PREFIX))
          .map(({ key, value }) => ({
            path: key.slice(SETTINGS_PREFIX.length),
            value: value === undefined ? undefined : decodeStoredValue(value),
          }));
        onChange(this.history.toRevision(history, revision), changes);
      },
      signal,
    );
  }

  /**
   * Changes all paths of a request atomically.
   *
   * @param request - the change
   * @param mayWrite - whether the settings that the change is based on permit it
   * @returns the outcome; `unknown` if it could not be determined
   */
  async applyChange(
    request: ChangeRequest,
    mayWrite: (state: SettingsState) => boolean,
  ): Promise<ChangeOutcome> {
    let pending: { state: SettingsState } | undefined;
    for (let attempt = 0; attempt < MAX_CHANGE_ATTEMPTS; attempt += 1) {
      try {
        const earlier = await this.findEarlierOutcome(request);
        if (earlier !== undefined) return earlier;
        // While an earlier attempt may still take effect, it may only be repeated unchanged.
        const state = pending?.state ?? (await this.load());
        const refusal = this.validateRequest(request, state, mayWrite);
        if (refusal !== undefined && pending === undefined) return refusal;
        pending = { state };
        const revision = await this.commit(request, state);
        if (revision !== undefined) return { kind: 'accepted', revision };
        pending = undefined;
        if (request.expectedRevision !== undefined) return await this.resolveConflict(request);
      } catch {
        // No response: the next iteration checks whether the attempt took effect.
      }
    }
    if (pending === undefined) return { kind: 'unavailable' };
    return { kind: 'unknown', base: pending.state.revision };
  }

  /**
   * @returns accepted changes, oldest first
   * @throws PlatformError if the platform does not respond
   */
  async readHistory(): Promise<AuditRecord[]> {
    await this.readHead();
    const { keys, history } = await this.platform.readRange(AUDIT_PREFIX, false, 'audit');
    return keys
      .map(({ value, modRevision }) => ({
        ...(JSON.parse(value) as Omit<AuditRecord, 'revision'>),
        revision: this.history.toRevision(history, modRevision),
      }))
      .sort((left, right) => left.revision - right.revision);
  }

  private validateRequest(
    request: ChangeRequest,
    state: SettingsState,
    mayWrite: (state: SettingsState) => boolean,
  ): ChangeOutcome | undefined {
    const { expectedRevision } = request;
    if (expectedRevision !== undefined && expectedRevision !== state.revision) {
      return { kind: 'conflict', revision: state.revision };
    }
    if (!mayWrite(state)) return { kind: 'unavailable' };
    const values = new Map(state.entries.map(({ path, value }) => [path, value]));
    const findings = request.changes.every(({ path }) => path === WRITERS_PATH)
      ? []
      : validateChange(values, request.changes);
    return findings.length === 0 ? undefined : { kind: 'invalid', findings };
  }

  private async commit(
    request: ChangeRequest,
    state: SettingsState,
  ): Promise<SettingsRevision | undefined> {
    const { changeId, author, changes } = request;
    const compares: PlatformCompare[] = [
      { key: HEAD_KEY, modRevision: this.history.toStoreRevision(state.revision) },
      { key: `${AUDIT_PREFIX}${changeId}`, modRevision: 0 },
    ];
    const writes: PlatformWrite[] = changes.map(({ path, value }) => ({
      key: `${SETTINGS_PREFIX}${path}`,
      value: value === undefined ? undefined : JSON.stringify(value),
    }));
    const audit = JSON.stringify({ changeId, author, changes });
    writes.push({ key: HEAD_KEY, value: changeId });
    writes.push({ key: `${AUDIT_PREFIX}${changeId}`, value: audit });
    const outcome = await this.platform.transact(compares, writes, 'settings');
    if (!outcome.succeeded) return undefined;
    const revision = this.history.toRevision(outcome.history, outcome.revision);
    if (revision > state.revision) return revision;
    throw new PlatformError('the store was restored while the change was made');
  }

  /** Finds out what became of the change id: it is the request's own, or was used for another change. */
  private async findEarlierOutcome(request: ChangeRequest): Promise<ChangeOutcome | undefined> {
    const { changeId } = request;
    const range = await this.platform.readRange(`${AUDIT_PREFIX}${changeId}`, true, 'audit');
    const found = range.keys[0];
    if (found === undefined) return undefined;
    if (!isSameChange(decodeStoredValue(found.value), request)) {
      const message = 'was used for another change';
      return { kind: 'invalid', findings: [{ source: 'request', field: 'changeId', message }] };
    }
    await this.readHead();
    return {
      kind: 'accepted',
      revision: this.history.toRevision(range.history, found.modRevision),
    };
  }

  private async resolveConflict(request: ChangeRequest): Promise<ChangeOutcome> {
    // The head has changed, by this request whose response was lost, or by another change.
    const earlier = await this.findEarlierOutcome(request);
    return earlier ?? { kind: 'conflict', revision: await this.readHead() };
  }
}

/** Returns whether an audit record is that of a request; a deletion has no value. */
function isSameChange(stored: unknown, { author, changes }: ChangeRequest): boolean {
  const record = stored as Partial<AuditRecord> | null;
  const encode = (list: readonly PathChange[] = []): string =>
    JSON.stringify(list.map(({ path, value }) => [path, value ?? null]));
  return record?.author === author && encode(record.changes) === encode(changes);
}
