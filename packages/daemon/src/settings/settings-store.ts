/** Settings in the platform's store: reading all, and changing several paths at once. */
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

/** Keys of the settings; every change also rewrites the head, which carries the revision. */
export const SETTINGS_PREFIX = '/heatherledge/settings/';
const HEAD_KEY = '/heatherledge/settings/.head';
const AUDIT_PREFIX = '/heatherledge/audit/';

/** Path, inside the settings, of the list of instances that may write them. */
export const WRITERS_PATH = 'internal/writers';

/** A change that somebody asks for. */
export interface ChangeRequest {
  /** Chosen by who asks, so that the outcome can be looked up after a lost answer. */
  readonly changeId: string;
  readonly author: string;
  readonly changes: readonly PathChange[];
  /** Revision that the asker has seen, if it matters. */
  readonly expectedRevision?: number;
}

/** What became of a change. */
export type ChangeOutcome =
  | { readonly kind: 'accepted'; readonly revision: SettingsRevision }
  | { readonly kind: 'invalid'; readonly findings: readonly Finding[] }
  | { readonly kind: 'conflict'; readonly revision: SettingsRevision }
  /** Nothing was sent, or it certainly did not take effect. */
  | { readonly kind: 'unavailable' }
  /** It may or may not have taken effect, unless the settings have moved on from `base`. */
  | { readonly kind: 'unknown'; readonly base: number };

/** An accepted change, for the history. */
export interface AuditRecord {
  readonly changeId: string;
  readonly author: string;
  readonly revision: number;
  readonly changes: readonly PathChange[];
}

const ATTEMPTS = 5;

/** Reads and changes the settings at the platform. */
export class SettingsStore {
  /** @param platform - the platform's service */
  constructor(private readonly platform: PlatformPort) {}

  /**
   * @returns all settings at one revision
   * @throws PlatformSilent if the platform does not answer
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
   * @returns revision of the newest change
   * @throws PlatformSilent if the platform does not answer
   */
  async readHead(): Promise<SettingsRevision> {
    const { keys } = await this.platform.readRange(HEAD_KEY, true, 'freshness');
    return toBrand<SettingsRevision>(keys[0]?.modRevision ?? 0);
  }

  /**
   * Watches for changes.
   *
   * @param from - revision that is known
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
   * Changes several paths together, or none.
   *
   * @param request - what is to change
   * @param mayWrite - checks, against the settings that the change builds on, whether to go on
   * @returns what certainly became of it, or that this could not be found out
   */
  async change(
    request: ChangeRequest,
    mayWrite: (state: SettingsState) => boolean,
  ): Promise<ChangeOutcome> {
    let pending: { state: SettingsState } | undefined;
    for (let attempt = 0; attempt < ATTEMPTS; attempt += 1) {
      try {
        const done = await this.findAudit(request.changeId);
        if (done !== undefined) return { kind: 'accepted', revision: done };
        // While an earlier try may still take effect, only the very same try may be repeated.
        const state = pending?.state ?? (await this.load());
        const refused = this.checkRequest(request, state, mayWrite);
        if (refused !== undefined && pending === undefined) return refused;
        pending = { state };
        const revision = await this.commit(request, state);
        if (revision !== undefined) return { kind: 'accepted', revision };
        pending = undefined;
        if (request.expectedRevision !== undefined) return await this.resolveConflict(request);
      } catch {
        // No answer: the next round finds out whether the try took effect.
      }
    }
    if (pending === undefined) return { kind: 'unavailable' };
    return { kind: 'unknown', base: pending.state.revision };
  }

  /**
   * @returns accepted changes, oldest first
   * @throws PlatformSilent if the platform does not answer
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

  private checkRequest(
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

  private async findAudit(changeId: string): Promise<SettingsRevision | undefined> {
    const { keys } = await this.platform.readRange(`${AUDIT_PREFIX}${changeId}`, true, 'audit');
    const found = keys[0];
    return found === undefined ? undefined : toBrand<SettingsRevision>(found.modRevision);
  }

  private async resolveConflict(request: ChangeRequest): Promise<ChangeOutcome> {
    // The head moved: either our own try did it and its answer was lost, or somebody else.
    const done = await this.findAudit(request.changeId);
    if (done !== undefined) return { kind: 'accepted', revision: done };
    return { kind: 'conflict', revision: await this.readHead() };
  }
}
