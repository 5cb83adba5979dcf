import {
  type Attestation,
  chooseHolders,
  type Clock,
  FreshnessGuard,
  type InstanceId,
  type InstanceRecord,
  type Milliseconds,
  type PathChange,
  type SettingsDelta,
  SettingsReplica,
  type SettingsRevision,
  type SettingsIndex,
  type SettingsState,
  type StalePolicy,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import type { PeerHub } from '../peers/peer-hub.js';
import type { PeerBodyOf } from '../peers/peer-messages.js';
import { delay } from '../runtime/system-clock.js';
import { StoreRestoredError, type StoredHead } from './settings-history.js';
import {
  type ChangeOutcome,
  type ChangeRequest,
  type SettingsStore,
  WRITERS_PATH,
} from './settings-store.js';
import { chooseWriters, parseWriters, SettingsWriter } from './settings-writer.js';

/** Maximum number of instances of a failure domain per relay. */
const INSTANCES_PER_RELAY = 12;
/** Minimum number of relays per failure domain, and number of relays that an instance chooses. */
const MIN_RELAYS = 2;
/** Interval of pulls by instances that are not relays. */
const PULL_INTERVAL_MS = 1500;
/** Interval at which relays read the latest revision from the platform. */
const RELAY_CHECK_INTERVAL_MS = 1000;
const PULL_TIMEOUT_MS = 800;
/** Delay before the platform's store is watched again after a watch ended or failed. */
const WATCH_RETRY_DELAY_MS = 500;
const WRITE_TIMEOUT_MS = 8000;
/** Maximum number of deltas kept for instances that are a few revisions behind. */
const MAX_RETAINED_DELTAS = 512;
/** How long an instance is notified of new revisions after its last pull. */
const SUBSCRIPTION_TTL_MS = 5000;
/** Interval at which the list of writers is compared with the live instances. */
const WRITERS_CHECK_INTERVAL_MS = 2000;

/** Is notified of changes of the settings. */
export interface SettingsListener {
  /** @param paths - paths that changed; undefined if any may have */
  onSettings(paths: readonly string[] | undefined): void;
}

/** Rules for the use of keys while the settings are stale. */
export interface FreshnessRules {
  /** Maximum time for which a withdrawal may go unnoticed. */
  readonly limitMs: Milliseconds;
  /** What to do after that time. */
  readonly policy: StalePolicy;
}

/**
 * Keeps this instance's copy of the settings current. Relays watch the platform's store; other
 * instances pull from relays, or from any instance if no relay is current.
 */
export class SettingsTask {
  private readonly replica = new SettingsReplica();

  private readonly guard: FreshnessGuard;

  /** Latest deltas, oldest first, without gaps. */
  private readonly deltas: SettingsDelta[] = [];

  /** Instances that are notified of new revisions, with the time at which this ends. */
  private readonly subscribers = new Map<InstanceId, Milliseconds>();

  private readonly stopController = new AbortController();

  private liveInstances: readonly InstanceRecord[] = [];

  /** Ends the watch of the platform's store; undefined while there is none. */
  private watchController: AbortController | undefined;

  private readonly writer: SettingsWriter;

  constructor(
    private readonly self: InstanceRecord,
    private readonly store: SettingsStore,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
    rules: FreshnessRules,
    private readonly listener: SettingsListener,
  ) {
    this.guard = new FreshnessGuard(rules.limitMs, rules.policy);
    this.writer = new SettingsWriter(self.id, store, clock);
    hub.handle('settings.pull', ({ revision }, from) => this.handlePull(revision, from));
    hub.handle('settings.news', ({ revision }) => {
      if (revision > this.current.revision) void this.pullOnce();
      return undefined;
    });
    hub.handle('settings.write', async (body) => this.handleWrite(body));
    hub.handle('writer.attest', () => this.createAttestation());
  }

  /** Starts to load the settings and to keep them current. */
  start(): void {
    void this.runPullLoop();
    void this.runWriterLoop();
  }

  /** Stops all loops and watches. */
  stop(): void {
    this.stopController.abort();
    this.watchController?.abort();
  }

  /** @returns the latest settings that this instance has */
  get current(): SettingsIndex {
    return this.replica.current;
  }

  /** @returns whether any settings have been loaded */
  get isLoaded(): boolean {
    return this.replica.isLoaded;
  }

  /** @returns whether requests that are authorised by a key may run now */
  get allowsKeys(): boolean {
    return this.guard.allowsKeys(this.clock.now());
  }

  /**
   * @returns time since the settings were last confirmed as the newest, in milliseconds; undefined
   * if they never were
   */
  get ageMs(): number | undefined {
    const freshAt = this.guard.withdrawalsKnownUntil;
    return freshAt === undefined ? undefined : this.clock.now() - freshAt;
  }

  /** @returns whether this instance watches the platform's store for other instances */
  get isRelay(): boolean {
    return this.relayIds.includes(this.self.id);
  }

  /** @returns instances that may write settings */
  get writers(): ReadonlySet<InstanceId> {
    return parseWriters(this.current.values.get(WRITERS_PATH));
  }

  /**
   * Applies a change of the live instances, and starts or stops the relay role of this one.
   *
   * @param live - instances that may be relays or writers
   */
  updateInstances(live: readonly InstanceRecord[]): void {
    this.liveInstances = live;
    if (this.isRelay && this.watchController === undefined) void this.runRelay();
    if (!this.isRelay) this.watchController?.abort();
  }

  /**
   * Changes the settings, through a writer unless this instance is one.
   *
   * @param request - the change
   * @returns the outcome
   */
  async applyChange(request: ChangeRequest): Promise<ChangeOutcome> {
    const { writers } = this;
    if (writers.size === 0 || writers.has(this.self.id)) return this.write(request);
    const candidates = chooseHolders(request.changeId, writers, writers.size);
    const outcome = await this.requestWrites(request, candidates);
    if (outcome.kind === 'accepted') await this.pullOnce();
    return outcome;
  }

  /**
   * Requests a change from one writer after the other until its outcome is known. A writer looks up the
   * change id first, so a change that another one has made is not made again.
   */
  private async requestWrites(
    request: ChangeRequest,
    writers: readonly InstanceId[],
  ): Promise<ChangeOutcome> {
    const deadline = this.clock.now() + WRITE_TIMEOUT_MS;
    let unknown: ChangeOutcome | undefined;
    for (const writer of writers) {
      const timeoutMs = deadline - this.clock.now();
      if (timeoutMs <= 0) break;
      const outcome = await this.requestWrite(writer, request, timeoutMs);
      if (outcome.kind === 'accepted') return outcome;
      // A change that was sent may still be made, whatever the next writer finds now.
      if (outcome.kind === 'unknown') unknown ??= outcome;
      else if (outcome.kind !== 'unavailable') return unknown ?? outcome;
    }
    return unknown ?? { kind: 'unavailable' };
  }

  private async write(request: ChangeRequest): Promise<ChangeOutcome> {
    const outcome = await this.writer.write(request);
    if (outcome.kind === 'accepted') await this.loadIfNewer();
    return outcome;
  }

  private async requestWrite(
    writer: InstanceId,
    request: ChangeRequest,
    timeoutMs: number,
  ): Promise<ChangeOutcome> {
    const { changeId, author, expectedRevision } = request;
    const changes = [...request.changes];
    const body = { kind: 'settings.write' as const, changes, changeId, author, expectedRevision };
    const exchange = await this.hub.exchange(writer, body, timeoutMs);
    if (exchange.kind === 'lost' && !exchange.wasSent) return { kind: 'unavailable' };
    const response = exchange.kind === 'answered' ? exchange.body : undefined;
    if (response?.kind !== 'settings.written') {
      return { kind: 'unknown', base: this.current.revision };
    }
    const revision = toBrand<SettingsRevision>(response.revision);
    if (response.outcome === 'invalid') return { kind: 'invalid', findings: response.findings };
    if (response.outcome === 'accepted' || response.outcome === 'conflict') {
      return { kind: response.outcome, revision };
    }
    if (response.outcome === 'unknown') return { kind: 'unknown', base: response.revision };
    return { kind: 'unavailable' };
  }

  private async handleWrite(
    body: PeerBodyOf<'settings.write'>,
  ): Promise<PeerBodyOf<'settings.written'>> {
    const outcome = await this.write(body);
    return {
      kind: 'settings.written',
      outcome: outcome.kind,
      revision: 'revision' in outcome ? outcome.revision : 0,
      findings: outcome.kind === 'invalid' ? [...outcome.findings] : [],
    };
  }

  private createAttestation(): PeerBodyOf<'writer.attested'> {
    const { revision } = this.current;
    return { kind: 'writer.attested', quietForMs: this.writer.computeQuietMs(revision), revision };
  }

  private get relayIds(): InstanceId[] {
    const ids = this.liveInstances
      .filter(({ failureDomain }) => failureDomain === this.self.failureDomain)
      .map(({ id }) => id);
    const count = Math.max(MIN_RELAYS, Math.ceil(ids.length / INSTANCES_PER_RELAY));
    return chooseHolders(`relay/${this.self.failureDomain}`, ids, count);
  }

  private async runRelay(): Promise<void> {
    const controller = new AbortController();
    this.watchController = controller;
    while (!controller.signal.aborted && !this.stopController.signal.aborted) {
      if (await this.loadIfNewer()) {
        await this.store.watch(
          this.current.revision,
          (revision, changes) => this.applyWatchedChange(revision, changes),
          controller.signal,
        );
      }
      if (!controller.signal.aborted) await delay(WATCH_RETRY_DELAY_MS);
    }
    if (this.watchController === controller) this.watchController = undefined;
  }

  private applyWatchedChange(revision: SettingsRevision, changes: readonly PathChange[]): void {
    const from = this.current.revision;
    // Every change rewrites the head, so no change lies between two reported revisions.
    this.apply({ kind: 'delta', from, to: revision, changes });
  }

  /** @returns whether the platform responded */
  private async loadIfNewer(): Promise<boolean> {
    try {
      const requestedAt = this.clock.now();
      const newest = await this.store.readHead();
      if (!this.isLoaded || newest > this.current.revision) this.apply(await this.store.load());
      this.recordFreshness(newest, requestedAt);
      await this.store.ensureEraRecord();
      return true;
    } catch (error) {
      if (error instanceof StoreRestoredError) await this.adoptHistory(error.stored);
      return false;
    }
  }

  /**
   * Brings the settings that the fleet knows back to a store that was restored from a backup. The newest
   * are at the writers, or at another relay.
   */
  private async adoptHistory(stored: StoredHead): Promise<void> {
    const others = new Set([...this.writers, ...this.relayIds].filter((id) => id !== this.self.id));
    await Promise.all([...others].map(async (id) => this.pullFrom(id)));
    const { revision, values } = this.current;
    const entries = [...values].map(([path, value]) => ({ path, value }));
    try {
      await this.store.adoptHistory(
        stored,
        this.isLoaded ? { kind: 'state', revision, entries } : undefined,
      );
    } catch {
      // The platform does not respond; the next read of the head begins again.
    }
  }

  private apply(update: SettingsState | SettingsDelta): void {
    if (this.replica.apply(update) !== 'applied') return;
    if (update.kind === 'delta') this.retainDelta(update);
    else this.deltas.length = 0;
    this.guard.setWriters(this.writers);
    const paths = update.kind === 'delta' ? update.changes.map(({ path }) => path) : undefined;
    this.listener.onSettings(paths);
    this.notifySubscribers();
  }

  private retainDelta(delta: SettingsDelta): void {
    this.deltas.push(delta);
    if (this.deltas.length > MAX_RETAINED_DELTAS) this.deltas.shift();
  }

  private notifySubscribers(): void {
    const now = this.clock.now();
    const { revision } = this.current;
    for (const [id, expiresAt] of this.subscribers) {
      if (expiresAt < now) this.subscribers.delete(id);
      else this.hub.send(id, { kind: 'settings.news', revision });
    }
  }

  private recordFreshness(revision: SettingsRevision, confirmedAt: Milliseconds): void {
    if (!this.isLoaded || revision > this.current.revision) return;
    this.replica.confirmFreshness(revision, confirmedAt);
    this.guard.recordFreshness(confirmedAt);
  }

  private async runPullLoop(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      await this.pullOnce();
      // Only relays request attestations, to spare the writers; others get the age from relays.
      if (this.isRelay && (this.ageMs ?? Infinity) > RELAY_CHECK_INTERVAL_MS * 2) {
        await this.requestAttestations();
      }
      await delay(this.isRelay ? RELAY_CHECK_INTERVAL_MS : PULL_INTERVAL_MS);
    }
  }

  private async pullOnce(): Promise<void> {
    if (this.isRelay && (await this.loadIfNewer())) return;
    for (const source of this.chooseSources()) {
      if (await this.pullFrom(source)) return;
    }
  }

  /** Chooses relays first, then other instances, which may be newer if no relay is current. */
  private chooseSources(): InstanceId[] {
    const others = this.liveInstances.map(({ id }) => id).filter((id) => id !== this.self.id);
    const relays = this.relayIds.filter((id) => id !== this.self.id);
    const nearRelays = chooseHolders(`pull/${this.self.id}`, relays, MIN_RELAYS);
    const fallbacks = chooseHolders(`pull/${this.self.id}/${this.current.revision}`, others, 2);
    return [...new Set([...nearRelays, ...fallbacks])];
  }

  /** @returns whether the source's settings were recently confirmed as the newest */
  private async pullFrom(source: InstanceId): Promise<boolean> {
    const requestedAt = this.clock.now();
    const revision = this.isLoaded ? this.current.revision : -1;
    const response = await this.hub.request(
      source,
      { kind: 'settings.pull', revision },
      PULL_TIMEOUT_MS,
    );
    if (response?.kind !== 'settings.state') return false;
    this.applyPullResponse(response);
    if (response.ageMs === undefined) return false;
    this.recordFreshness(
      toBrand<SettingsRevision>(response.revision),
      toMilliseconds(requestedAt - response.ageMs),
    );
    return response.ageMs < PULL_INTERVAL_MS * 3;
  }

  private applyPullResponse(response: PeerBodyOf<'settings.state'>): void {
    const { changes, from } = response;
    if (changes === undefined) return;
    const revision = toBrand<SettingsRevision>(response.revision);
    if (from === undefined) {
      const entries = changes.map(({ path, value }) => ({ path, value }));
      this.apply({ kind: 'state', revision, entries });
    } else {
      this.apply({ kind: 'delta', from: toBrand<SettingsRevision>(from), to: revision, changes });
    }
  }

  private handlePull(revision: number, from: InstanceId): PeerBodyOf<'settings.state'> {
    const now = this.clock.now();
    this.subscribers.set(from, toMilliseconds(now + SUBSCRIPTION_TTL_MS));
    const ownRevision = this.isLoaded ? this.current.revision : toBrand<SettingsRevision>(-1);
    const { ageMs } = this;
    const header = { kind: 'settings.state' as const, revision: ownRevision, ageMs };
    if (ownRevision <= revision) return header;
    const merged = this.mergeDeltas(revision);
    if (merged !== undefined) return { ...header, from: revision, changes: merged };
    const changes = [...this.current.values].map(([path, value]) => ({ path, value }));
    return { ...header, changes };
  }

  private mergeDeltas(from: number): PathChange[] | undefined {
    const first = this.deltas.findIndex((delta) => delta.from === from);
    if (first < 0) return undefined;
    const merged = new Map<string, PathChange>();
    for (const delta of this.deltas.slice(first)) {
      for (const change of delta.changes) merged.set(change.path, change);
    }
    return [...merged.values()];
  }

  /**
   * While the platform is unavailable, requests attestations of all writers that nothing has been
   * written, which confirm the local settings as the newest.
   */
  private async requestAttestations(): Promise<void> {
    await Promise.all([...this.writers].map(async (writer) => this.requestAttestation(writer)));
  }

  private async requestAttestation(writer: InstanceId): Promise<void> {
    const requestedAt = this.clock.now();
    const response =
      writer === this.self.id
        ? this.createAttestation()
        : await this.hub.request(writer, { kind: 'writer.attest' }, PULL_TIMEOUT_MS);
    if (response?.kind !== 'writer.attested') return;
    // The attestation of a writer with a newer revision does not cover the local settings.
    if (response.revision > this.current.revision) {
      await this.pullFrom(writer);
      return;
    }
    const attestation: Attestation = {
      writer,
      requestedAt,
      receivedAt: this.clock.now(),
      quietForMs: response.quietForMs,
    };
    this.guard.addAttestation(attestation);
  }

  /** Keeps one live writer per failure domain in the list of writers. */
  private async runWriterLoop(): Promise<void> {
    while (!this.stopController.signal.aborted) {
      await delay(WRITERS_CHECK_INTERVAL_MS);
      const chosen = chooseWriters(this.liveInstances, this.writers);
      const { writers } = this;
      const isResponsible = writers.size === 0 ? this.isRelay : writers.has(this.self.id);
      const isSame = chosen.length === writers.size && chosen.every((id) => writers.has(id));
      const isCurrent = (this.ageMs ?? Infinity) < PULL_INTERVAL_MS * 3;
      if (isResponsible && isCurrent && !isSame && chosen.length > 0) {
        await this.write({
          changeId: `${WRITERS_PATH}-${chosen.join(',')}-${this.current.revision}`,
          author: 'heatherledge',
          changes: [{ path: WRITERS_PATH, value: { instances: chosen } }],
          expectedRevision: this.current.revision,
        });
      }
    }
  }
}
