import {
  type Finding,
  type PathChange,
  type SettingsEntry,
  type SettingsRevision,
  type SettingsState,
  toBrand,
  validateChange,
} from '@heatherledge/core';
import type { PlatformCompare, PlatformPort, PlatformWrite } from '../platform/platform-port.js';

/** Prefix of the keys of all settings. */
export const SETTINGS_PREFIX = '/heatherledge/settings/';
/** Key that every change rewrites, so that its modification revision is the settings' revision. */
const HEAD_KEY = '/heatherledge/settings/.head';
/** Prefix of the keys of accepted changes, by change id. */
const AUDIT_PREFIX = '/heatherledge/audit/';

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
  /** @param platform - client of the platform's store */
  constructor(private readonly platform: PlatformPort) {}

  /**
   * @returns all settings at one revision
   * @throws PlatformError if the platform does not respond
   */
  async load(): Promise<SettingsState> {
    const { keys } = await this.platform.readRange(SETTINGS_PREFIX, false, 'settings');
    const head = keys.find(({ key }) => key === HEAD_KEY);
    const entries: SettingsEntry[] = keys
      .filter(({ key }) => key !== HEAD_KEY)
      .map(({ key, value }) => ({
        path: key.slice(SETTINGS_PREFIX.length),
        value: JSON.parse(value) as unknown,
      }));
    return {
      kind: 'state',
      revision: toBrand<SettingsRevision>(head?.modRevision ?? 0),
      entries,
    };
  }

  /**
   * @returns revision of the latest change
   * @throws PlatformError if the platform does not respond
   */
  async readHead(): Promise<SettingsRevision> {
    const { keys } = await this.platform.readRange(HEAD_KEY, true, 'freshness');
    return toBrand<SettingsRevision>(keys[0]?.modRevision ?? 0);
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
      from + 1,
      ({ revision, writes }) => {
        const changes = writes
          .filter(({ key }) => key !== HEAD_KEY)
          .map(({ key, value }) => ({
            path: key.slice(SETTINGS_PREFIX.length),
            value: value === undefined ? undefined : (JSON.parse(value) as unknown),
          }));
        onChange(toBrand<SettingsRevision>(revision), changes);
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
        const acceptedRevision = await this.findAcceptedRevision(request.changeId);
        if (acceptedRevision !== undefined) return { kind: 'accepted', revision: acceptedRevision };
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
    const { keys } = await this.platform.readRange(AUDIT_PREFIX, false, 'audit');
    return keys
      .map(({ value, modRevision }) => ({
        ...(JSON.parse(value) as Omit<AuditRecord, 'revision'>),
        revision: modRevision,
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
      { key: HEAD_KEY, modRevision: state.revision },
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
    return outcome.succeeded ? toBrand<SettingsRevision>(outcome.revision) : undefined;
  }

  private async findAcceptedRevision(changeId: string): Promise<SettingsRevision | undefined> {
    const { keys } = await this.platform.readRange(`${AUDIT_PREFIX}${changeId}`, true, 'audit');
    const found = keys[0];
    return found === undefined ? undefined : toBrand<SettingsRevision>(found.modRevision);
  }

  private async resolveConflict(request: ChangeRequest): Promise<ChangeOutcome> {
    // The head has changed, by this request whose response was lost, or by another change.
    const acceptedRevision = await this.findAcceptedRevision(request.changeId);
    if (acceptedRevision !== undefined) return { kind: 'accepted', revision: acceptedRevision };
    return { kind: 'conflict', revision: await this.readHead() };
  }
}
