/** Keeps this instance's settings current: from the platform as a relay, or from relays and peers. */
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
import {
  type ChangeOutcome,
  type ChangeRequest,
  type SettingsStore,
  WRITERS_PATH,
} from './settings-store.js';
import { chooseWriters, readWriters, WriterRole } from './writer-role.js';

/** Instances that one relay serves. */
const INSTANCES_PER_RELAY = 12;
const LEAST_RELAYS = 2;
const PULL_EVERY_MS = 1500;
const RELAY_CHECK_MS = 1000;
const PULL_TIMEOUT_MS = 800;
const RETRY_MS = 500;
const WRITE_TIMEOUT_MS = 8000;
/** Deltas kept for askers that are a little behind. */
const KEPT_DELTAS = 512;
/** How long an instance that pulled is told of news. */
const SUBSCRIPTION_LIFE_MS = 5000;
const WRITERS_CHECK_MS = 2000;

/** What the task tells its owner. */
export interface SettingsListener {
  /** @param paths - paths that changed; undefined if any may have */
  onSettings(paths: readonly string[] | undefined): void;
}

/** How strictly withdrawn keys are kept out. */
export interface FreshnessRules {
  readonly limitMs: Milliseconds;
  readonly policy: StalePolicy;
}

/** Owns the replica of the settings. */
export class SettingsTask {
  private readonly replica = new SettingsReplica();

  private readonly guard: FreshnessGuard;

  private readonly deltas: SettingsDelta[] = [];

  private readonly pullers = new Map<InstanceId, Milliseconds>();

  private readonly stopper = new AbortController();

  private live: readonly InstanceRecord[] = [];

  private watching: AbortController | undefined;

  private readonly writer: WriterRole;

  constructor(
    private readonly self: InstanceRecord,
    private readonly store: SettingsStore,
    private readonly hub: PeerHub,
    private readonly clock: Clock,
    rules: FreshnessRules,
    private readonly listener: SettingsListener,
  ) {
    this.guard = new FreshnessGuard(rules.limitMs, rules.policy);
    this.writer = new WriterRole(self.id, store, clock);
    hub.handle('settings.pull', ({ revision }, from) => this.answerPull(revision, from));
    hub.handle('settings.news', ({ revision }) => {
      if (revision > this.current.revision) void this.pullOnce();
      return undefined;
    });
    hub.handle('settings.write', async (body) => this.answerWrite(body));
    hub.handle('writer.attest', () => this.attest());
  }

  /** Starts to learn and to keep current. */
  start(): void {
    void this.runPulls();
    void this.runWriters();
  }

  /** Stops. */
  stop(): void {
    this.stopper.abort();
    this.watching?.abort();
  }

  /** @returns the newest settings known */
  get current(): SettingsIndex {
    return this.replica.current;
  }

  /** @returns whether any settings are known */
  get isKnown(): boolean {
    return this.replica.isLoaded;
  }

  /** @returns whether requests with a key may run now */
  get allowsKeys(): boolean {
    return this.guard.allowsKeys(this.clock.now());
  }

  /** @returns how long ago the settings were certainly the newest, in milliseconds */
  get ageMs(): number | undefined {
    const until = this.guard.withdrawalsKnownUntil;
    return until === undefined ? undefined : this.clock.now() - until;
  }

  /** @returns whether this instance holds the platform's watch for others */
  get isRelay(): boolean {
    return this.relays.includes(this.self.id);
  }

  /** @returns instances that may write settings */
  get writers(): ReadonlySet<InstanceId> {
    return readWriters(this.current.values.get(WRITERS_PATH));
  }

  /**
   * @param live - instances that may hold roles
   */
  update(live: readonly InstanceRecord[]): void {
    this.live = live;
    if (this.isRelay && this.watching === undefined) void this.runRelay();
    if (!this.isRelay) this.watching?.abort();
  }

  /**
   * Changes settings, through a writer if this instance is none.
   *
   * @param request - what is to change
   * @returns what became of it
   */
  async change(request: ChangeRequest): Promise<ChangeOutcome> {
    const { writers } = this;
    if (writers.size === 0 || writers.has(this.self.id)) return this.write(request);
    const present = chooseHolders(request.changeId, writers, writers.size);
    let outcome: ChangeOutcome = { kind: 'unavailable' };
    for (const writer of present) {
      outcome = await this.askWriter(writer, request);
      if (outcome.kind !== 'unavailable') break;
    }
    if (outcome.kind === 'accepted') await this.pullOnce();
    return outcome;
  }

  private async write(request: ChangeRequest): Promise<ChangeOutcome> {
    const outcome = await this.writer.write(request);
    if (outcome.kind === 'accepted') await this.loadIfNewer();
    return outcome;
  }

  private async askWriter(writer: InstanceId, request: ChangeRequest): Promise<ChangeOutcome> {
    const { changeId, author, expectedRevision } = request;
    const changes = [...request.changes];
    const body = { kind: 'settings.write' as const, changes, changeId, author, expectedRevision };
    const answer = await this.hub.request(writer, body, WRITE_TIMEOUT_MS);
    if (answer?.kind !== 'settings.written') {
      return { kind: 'unknown', base: this.current.revision };
    }
    const revision = toBrand<SettingsRevision>(answer.revision);
    if (answer.outcome === 'invalid') return { kind: 'invalid', findings: answer.findings };
    if (answer.outcome === 'accepted' || answer.outcome === 'conflict') {
      return { kind: answer.outcome, revision };
    }
    if (answer.outcome === 'unknown') return { kind: 'unknown', base: answer.revision };
    return { kind: 'unavailable' };
  }

  private async answerWrite(
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

  private attest(): PeerBodyOf<'writer.attested'> {
    const { revision } = this.current;
    return { kind: 'writer.attested', quietForMs: this.writer.resolveQuietMs(revision), revision };
  }

  private get relays(): InstanceId[] {
    const ids = this.live
      .filter(({ failureDomain }) => failureDomain === this.self.failureDomain)
      .map(({ id }) => id);
    const count = Math.max(LEAST_RELAYS, Math.ceil(ids.length / INSTANCES_PER_RELAY));
    return chooseHolders(`relay/${this.self.failureDomain}`, ids, count);
  }

  private async runRelay(): Promise<void> {
    const stopper = new AbortController();
    this.watching = stopper;
    while (!stopper.signal.aborted && !this.stopper.signal.aborted) {
      if (await this.loadIfNewer()) {
        await this.store.watch(
          this.current.revision,
          (revision, changes) => this.takeChange(revision, changes),
          stopper.signal,
        );
      }
      if (!stopper.signal.aborted) await delay(RETRY_MS);
    }
    if (this.watching === stopper) this.watching = undefined;
  }

  private takeChange(revision: SettingsRevision, changes: readonly PathChange[]): void {
    const from = this.current.revision;
    // The head is rewritten by every change, so revisions of the watch follow on each other.
    this.apply({ kind: 'delta', from, to: revision, changes });
  }

  /** @returns whether the platform answered */
  private async loadIfNewer(): Promise<boolean> {
    try {
      const askedAt = this.clock.now();
      const head = await this.store.readHead();
      if (!this.isKnown || head > this.current.revision) this.apply(await this.store.load());
      this.noteFresh(head, askedAt);
      return true;
    } catch {
      return false;
    }
  }

  private apply(update: SettingsState | SettingsDelta): void {
    if (this.replica.apply(update) !== 'applied') return;
    if (update.kind === 'delta') this.keepDelta(update);
    else this.deltas.length = 0;
    this.guard.setWriters(this.writers);
    const paths = update.kind === 'delta' ? update.changes.map(({ path }) => path) : undefined;
    this.listener.onSettings(paths);
    this.spreadNews();
  }

  private keepDelta(delta: SettingsDelta): void {
    this.deltas.push(delta);
    if (this.deltas.length > KEPT_DELTAS) this.deltas.shift();
  }

  private spreadNews(): void {
    const now = this.clock.now();
    const { revision } = this.current;
    for (const [id, until] of this.pullers) {
      if (until < now) this.pullers.delete(id);
      else this.hub.send(id, { kind: 'settings.news', revision });
    }
  }

  private noteFresh(revision: SettingsRevision, at: Milliseconds): void {
    if (!this.isKnown || revision > this.current.revision) return;
    this.replica.confirmFreshness(revision, at);
    this.guard.recordFreshness(at);
  }

  private async runPulls(): Promise<void> {
    while (!this.stopper.signal.aborted) {
      await this.pullOnce();
      // Others learn from the relays' answers, so that the writers are asked by few.
      if (this.isRelay && (this.ageMs ?? Infinity) > RELAY_CHECK_MS * 2) {
        await this.gatherAttestations();
      }
      await delay(this.isRelay ? RELAY_CHECK_MS : PULL_EVERY_MS);
    }
  }

  private async pullOnce(): Promise<void> {
    if (this.isRelay && (await this.loadIfNewer())) return;
    for (const source of this.chooseSources()) {
      if (await this.pullFrom(source)) return;
    }
  }

  /** Relays first; if none is current, any instance may know more. */
  private chooseSources(): InstanceId[] {
    const others = this.live.map(({ id }) => id).filter((id) => id !== this.self.id);
    const relays = this.relays.filter((id) => id !== this.self.id);
    const near = chooseHolders(`pull/${this.self.id}`, relays, LEAST_RELAYS);
    const far = chooseHolders(`pull/${this.self.id}/${this.current.revision}`, others, 2);
    return [...new Set([...near, ...far])];
  }

  /** @returns whether the source was itself current */
  private async pullFrom(source: InstanceId): Promise<boolean> {
    const askedAt = this.clock.now();
    const revision = this.isKnown ? this.current.revision : -1;
    const answer = await this.hub.request(
      source,
      { kind: 'settings.pull', revision },
      PULL_TIMEOUT_MS,
    );
    if (answer?.kind !== 'settings.state') return false;
    this.applyAnswer(answer);
    if (answer.ageMs === undefined) return false;
    this.noteFresh(
      toBrand<SettingsRevision>(answer.revision),
      toMilliseconds(askedAt - answer.ageMs),
    );
    return answer.ageMs < PULL_EVERY_MS * 3;
  }

  private applyAnswer(answer: PeerBodyOf<'settings.state'>): void {
    const { changes, from } = answer;
    if (changes === undefined) return;
    const revision = toBrand<SettingsRevision>(answer.revision);
    if (from === undefined) {
      const entries = changes.map(({ path, value }) => ({ path, value }));
      this.apply({ kind: 'state', revision, entries });
    } else {
      this.apply({ kind: 'delta', from: toBrand<SettingsRevision>(from), to: revision, changes });
    }
  }

  private answerPull(revision: number, from: InstanceId): PeerBodyOf<'settings.state'> {
    const now = this.clock.now();
    this.pullers.set(from, toMilliseconds(now + SUBSCRIPTION_LIFE_MS));
    const own = this.isKnown ? this.current.revision : toBrand<SettingsRevision>(-1);
    const { ageMs } = this;
    const head = { kind: 'settings.state' as const, revision: own, ageMs };
    if (own <= revision) return head;
    const merged = this.mergeDeltas(revision);
    if (merged !== undefined) return { ...head, from: revision, changes: merged };
    const changes = [...this.current.values].map(([path, value]) => ({ path, value }));
    return { ...head, changes };
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

  /** While the platform is out, asks the writers whether anything can have been written. */
  private async gatherAttestations(): Promise<void> {
    await Promise.all([...this.writers].map(async (writer) => this.gatherFrom(writer)));
  }

  private async gatherFrom(writer: InstanceId): Promise<void> {
    const requestedAt = this.clock.now();
    const answer =
      writer === this.self.id
        ? this.attest()
        : await this.hub.request(writer, { kind: 'writer.attest' }, PULL_TIMEOUT_MS);
    if (answer?.kind !== 'writer.attested') return;
    // A writer that knows a newer revision is no witness for ours.
    if (answer.revision > this.current.revision) {
      await this.pullFrom(writer);
      return;
    }
    const attestation: Attestation = {
      writer,
      requestedAt,
      receivedAt: this.clock.now(),
      quietForMs: answer.quietForMs,
    };
    this.guard.addAttestation(attestation);
  }

  /** Keeps one live writer in each failure domain. */
  private async runWriters(): Promise<void> {
    while (!this.stopper.signal.aborted) {
      await delay(WRITERS_CHECK_MS);
      const wanted = chooseWriters(this.live, this.writers);
      const { writers } = this;
      const isResponsible = writers.size === 0 ? this.isRelay : writers.has(this.self.id);
      const isSame = wanted.length === writers.size && wanted.every((id) => writers.has(id));
      const isCurrent = (this.ageMs ?? Infinity) < PULL_EVERY_MS * 3;
      if (isResponsible && isCurrent && !isSame && wanted.length > 0) {
        await this.write({
          changeId: `writers-${wanted.join(',')}-${this.current.revision}`,
          author: 'heatherledge',
          changes: [{ path: WRITERS_PATH, value: { instances: wanted } }],
          expectedRevision: this.current.revision,
        });
      }
    }
  }
}
