/**
 * Instances, a platform's store and operators: settings are changed, keys withdrawn, and everything
 * between can fail. The store adapter's own change protocol, the replica and the freshness guard
 * are the product's; relays and pulls are modelled.
 */
import {
  FreshnessGuard,
  type InstanceId,
  SettingsReplica,
  type SettingsRevision,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import {
  type ChangeOutcome,
  type PlatformCompare,
  type PlatformOutcome,
  type PlatformPort,
  type PlatformRange,
  PlatformSilent,
  type PlatformWrite,
  readWriters,
  SettingsStore,
  WriterRole,
  WRITERS_PATH,
} from '@heatherledge/daemon';
import { KeyValueStore } from '@heatherledge/stand-ins';
import { createDriftingClock } from '../../shares/limits-experiment.js';
import { EventQueue } from '../event-queue.js';
import { FakeNetwork, type NodeName } from '../fake-network.js';
import { CADENA_LATENCIES } from '../group/group-simulation.js';
import { SeededRandom } from '../random.js';

/** Name of the platform's node. */
export const PLATFORM_NODE = 'platform';

/** Guards that a mutation run takes out. */
export type SettingsGuard =
  /** A replica takes no older revision. */
  | 'monotone'
  /** Keyed requests stop when freshness is lost. */
  | 'freshness'
  /** Every writer must attest, not any. */
  | 'all-writers'
  /** A change compares the head's revision. */
  | 'compare';

/** Every guard. */
export const SETTINGS_GUARDS: readonly SettingsGuard[] = [
  'monotone',
  'freshness',
  'all-writers',
  'compare',
];

/** Faults of the platform. */
export interface PlatformModelFaults {
  down: boolean;
  loseAnswers: boolean;
  slowMs: number;
}

const CALL_TIMEOUT_MS = 600;
const PULL_MS = 500;
const STALE_LIMIT_MS = 5000;
const INSTANCES = 6;
const DOMAINS = 3;
/** Path of the key that is withdrawn. */
export const KEY_PATH = 'teams/t/keys/k';

/** The platform's port as one instance sees it, over the fake network. */
class ModelPlatform implements PlatformPort {
  constructor(
    private readonly name: NodeName,
    private readonly world: SettingsWorld,
  ) {}

  async range(prefix: string, exact: boolean): Promise<PlatformRange> {
    return this.call('store-read', () => {
      const { store } = this.world;
      const keys = exact ? store.range(prefix) : store.range(prefix, `${prefix}\uffff`);
      return { revision: store.revision, keys };
    });
  }

  async transact(
    compares: readonly PlatformCompare[],
    writes: readonly PlatformWrite[],
  ): Promise<PlatformOutcome> {
    return this.call('store-write', () => {
      const operations = writes.map(({ key, value }) =>
        value === undefined
          ? ({ kind: 'delete', key } as const)
          : ({ kind: 'put', key, value } as const),
      );
      const checked = this.world.without.has('compare') ? [] : compares;
      return this.world.store.transact(checked, operations, []);
    });
  }

  async watch(): Promise<void> {
    throw new PlatformSilent('not modelled');
  }

  async listInstances(): Promise<never[]> {
    return [];
  }

  private async call<Answer>(step: string, run: () => Answer): Promise<Answer> {
    const { network, faults, queue } = this.world;
    return new Promise((resolve, reject) => {
      queue.schedule(CALL_TIMEOUT_MS, () => reject(new PlatformSilent('no answer in time')));
      network.send(step, this.name, PLATFORM_NODE, () => {
        if (faults.down) return;
        queue.schedule(faults.slowMs * this.world.random.next(), () => {
          const answer = run();
          if (faults.loseAnswers) return;
          network.send(`${step}-answer`, PLATFORM_NODE, this.name, () => resolve(answer));
        });
      });
    });
  }
}

/** One instance: its settings, how fresh they are, and writing if it is a writer. */
export class SettingsInstance {
  replica = new SettingsReplica();

  private guard!: FreshnessGuard;

  private readonly store: SettingsStore;

  private writer!: WriterRole;

  private life = 0;

  private highest = 0;

  constructor(
    readonly name: NodeName,
    private readonly number: number,
    private readonly world: SettingsWorld,
  ) {
    this.store = new SettingsStore(new ModelPlatform(name, world));
  }

  start(): void {
    this.life += 1;
    this.replica = new SettingsReplica();
    this.guard = new FreshnessGuard(
      toMilliseconds(STALE_LIMIT_MS),
      this.world.without.has('freshness') ? 'serve' : 'refuse',
    );
    const clock = this.world.clockOf(this.number);
    this.writer = new WriterRole(toBrand<InstanceId>(this.name), this.store, clock);
    this.highest = 0;
    this.tick(this.life);
  }

  /** @returns whether a request with the key would run here now */
  get honoursKey(): boolean {
    const value = this.replica.current.values.get(KEY_PATH);
    return value !== undefined && this.guard.allowsKeys(toMilliseconds(this.now));
  }

  /** Changes settings as a writer. */
  async change(
    changeId: string,
    path: string,
    value: unknown,
    expectedRevision?: number,
  ): Promise<ChangeOutcome> {
    const changes = [{ path, value }];
    return this.writer.write({ changeId, author: this.name, changes, expectedRevision });
  }

  /** Answers another instance's pull. */
  answerPull(): {
    revision: number;
    ageMs: number | undefined;
    entries: readonly (readonly [string, unknown])[];
  } {
    const until = this.guard.withdrawalsKnownUntil;
    const ageMs = until === undefined ? undefined : this.now - until;
    const { revision, values } = this.replica.current;
    return { revision, ageMs, entries: [...values] };
  }

  /** Answers a question for an attestation. */
  attest(): { quietForMs: number; revision: number } {
    const { revision } = this.replica.current;
    return { quietForMs: this.writer.resolveQuietMs(revision), revision };
  }

  private get now(): number {
    return this.world.clockOf(this.number).now();
  }

  private tick(life: number): void {
    if (life !== this.life) return;
    void this.pullFromPlatform(life);
    for (const other of this.world.instances) if (other !== this) this.pullFrom(other, life);
    const { network } = this.world;
    network.scheduleOnNode(this.name, PULL_MS, () => this.tick(life));
  }

  private async pullFromPlatform(life: number): Promise<void> {
    const askedAt = this.now;
    try {
      const state = await this.store.load();
      if (life !== this.life || !this.world.network.isRunning(this.name)) return;
      this.take(
        state.revision,
        state.entries.map(({ path, value }) => [path, value] as const),
      );
      if (state.revision === this.replica.current.revision) {
        this.guard.recordFreshness(toMilliseconds(askedAt));
      }
    } catch {
      // No answer; peers may know.
    }
  }

  private pullFrom(other: SettingsInstance, life: number): void {
    const { network } = this.world;
    const askedAt = this.now;
    network.send('pull', this.name, other.name, () => {
      const answer = other.answerPull();
      const word = other.attest();
      network.send('pull-answer', other.name, this.name, () => {
        if (life !== this.life) return;
        this.take(toBrand<SettingsRevision>(answer.revision), answer.entries);
        const isSame = answer.revision === this.replica.current.revision;
        if (isSame && answer.ageMs !== undefined) {
          this.guard.recordFreshness(toMilliseconds(askedAt - answer.ageMs));
        }
        if (isSame) this.noteWord(other, word.quietForMs, askedAt);
      });
    });
    if (this.writers.includes(this.name)) this.noteWord(this, this.attest().quietForMs, askedAt);
  }

  private noteWord(writer: SettingsInstance, quietForMs: number, requestedAt: number): void {
    if (!this.writers.includes(writer.name)) return;
    this.guard.addAttestation({
      writer: toBrand<InstanceId>(writer.name),
      requestedAt: toMilliseconds(requestedAt),
      receivedAt: toMilliseconds(this.now),
      quietForMs,
    });
  }

  private get writers(): string[] {
    return [...readWriters(this.replica.current.values.get(WRITERS_PATH))];
  }

  private take(revision: SettingsRevision, entries: readonly (readonly [string, unknown])[]): void {
    if (this.world.without.has('monotone') && revision > 0) this.replica = new SettingsReplica();
    if (revision <= 0) return;
    const listed = entries.map(([path, value]) => ({ path, value }));
    this.replica.apply({ kind: 'state', revision, entries: listed });
    const trusted = this.world.without.has('all-writers') ? this.writers.slice(0, 1) : this.writers;
    this.guard.setWriters(new Set(trusted.map((id) => toBrand<InstanceId>(id))));
    const current = this.replica.current.revision;
    if (current < this.highest) this.world.noteReversion(this.name, this.highest, current);
    this.highest = Math.max(this.highest, current);
  }
}

/** Everything of one cell. */
export class SettingsWorld {
  readonly queue = new EventQueue();

  readonly random: SeededRandom;

  readonly network: FakeNetwork;

  readonly store = new KeyValueStore();

  readonly faults: PlatformModelFaults = { down: false, loseAnswers: false, slowMs: 0 };

  readonly instances: SettingsInstance[];

  readonly reversions: string[] = [];

  constructor(
    seed: number,
    readonly without: ReadonlySet<SettingsGuard>,
  ) {
    this.random = new SeededRandom(seed);
    this.network = new FakeNetwork(this.queue, this.random, CADENA_LATENCIES);
    this.network.addNode(PLATFORM_NODE, PLATFORM_NODE);
    this.seed();
    this.instances = Array.from({ length: INSTANCES }, (_, index) => {
      const name = `instance-${index + 1}`;
      this.network.addNode(name, `domain-${(index % DOMAINS) + 1}`);
      return new SettingsInstance(name, index, this);
    });
    for (const instance of this.instances) instance.start();
  }

  /** @returns the clock of an instance */
  clockOf(number: number): ReturnType<typeof createDriftingClock> {
    return createDriftingClock(this.queue, number);
  }

  /** Notes that an instance went back to an older revision. */
  noteReversion(name: string, from: number, to: number): void {
    this.reversions.push(`${name} from ${from} to ${to}`);
  }

  /** @returns value of a settings path in the store */
  readStored(path: string): unknown {
    const [found] = this.store.range(`/heatherledge/settings/${path}`);
    return found === undefined ? undefined : (JSON.parse(found.value) as unknown);
  }

  private seed(): void {
    const put = (path: string, value: unknown): { kind: 'put'; key: string; value: string } => ({
      kind: 'put',
      key: `/heatherledge/settings/${path}`,
      value: JSON.stringify(value),
    });
    const writers = { instances: ['instance-1', 'instance-2', 'instance-3'] };
    const organisation = { requestsPerSecond: 10, burst: 10 };
    this.store.transact(
      [],
      [
        put('teams/t/organisations/o', organisation),
        put(KEY_PATH, { organisation: 'o', digest: 'a'.repeat(64) }),
        put(WRITERS_PATH, writers),
        { kind: 'put', key: '/heatherledge/settings/.head', value: 'seed' },
      ],
      [],
    );
  }
}
