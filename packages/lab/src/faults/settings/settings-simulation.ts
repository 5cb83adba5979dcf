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
  PlatformError,
  type PlatformWrite,
  parseWriters,
  SettingsStore,
  SettingsWriter,
  type StoreHistoryId,
  WRITERS_PATH,
} from '@heatherledge/daemon';
import { KeyValueStore } from '@heatherledge/stand-ins';
import { createDriftingClock } from '../../shares/limits-experiment.js';
import { EventQueue } from '../event-queue.js';
import { FakeNetwork, type NodeName } from '../fake-network.js';
import { CADENA_LATENCIES } from '../group/group-simulation.js';
import { SeededRandom } from '../random.js';

/** Name of the network node that runs the platform's store. */
export const PLATFORM_NODE = 'platform';

/** A safety check that a mutation run disables to show that the cells detect its absence. */
export type SettingsGuard =
  /** A replica ignores revisions older than its own. */
  | 'monotone'
  /** Requests with a key are refused once the settings are stale. */
  | 'freshness'
  /** Freshness requires an attestation from every writer, not from just one of them. */
  | 'all-writers'
  /** The store runs the compares of a transaction, such as that of the head's revision. */
  | 'compare';

/** All guards of the settings. */
export const SETTINGS_GUARDS: readonly SettingsGuard[] = [
  'monotone',
  'freshness',
  'all-writers',
  'compare',
];

/** Faults of the platform that are currently in force. */
export interface PlatformModelFaults {
  /** Requests are dropped without being run. */
  down: boolean;
  /** Requests are run, but their responses are dropped. */
  loseAnswers: boolean;
  /** Maximum extra delay of a request, in milliseconds. */
  slowMs: number;
}

const CALL_TIMEOUT_MS = 600;
const PULL_INTERVAL_MS = 500;
const MAX_STALENESS_MS = 5000;
const INSTANCE_COUNT = 6;
const FAILURE_DOMAIN_COUNT = 3;
/** Settings path of the key that is withdrawn during the run. */
export const WITHDRAWN_KEY_PATH = 'teams/t/keys/k';

/** The modelled store is never restored from a backup. */
const HISTORY = toBrand<StoreHistoryId>('');

/** Platform port of one instance, which reaches the store over the fake network. */
class ModelPlatform implements PlatformPort {
  constructor(
    private readonly name: NodeName,
    private readonly simulation: SettingsSimulation,
  ) {}

  async readRange(prefix: string, exact: boolean): Promise<PlatformRange> {
    return this.call('store-read', () => {
      const { store } = this.simulation;
      const keys = exact ? store.range(prefix) : store.range(prefix, `${prefix}\uffff`);
      return { history: HISTORY, revision: store.revision, keys };
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
      const checkedCompares = this.simulation.disabledGuards.has('compare') ? [] : compares;
      const outcome = this.simulation.store.transact(checkedCompares, operations, []);
      return { history: HISTORY, ...outcome };
    });
  }

  async watch(): Promise<void> {
    throw new PlatformError('watch is not modelled');
  }

  async listInstances(): Promise<never[]> {
    return [];
  }

  private async call<Result>(step: string, run: () => Result): Promise<Result> {
    const { network, faults, queue } = this.simulation;
    return new Promise((resolve, reject) => {
      queue.schedule(CALL_TIMEOUT_MS, () => reject(new PlatformError('no answer in time')));
      network.send(step, this.name, PLATFORM_NODE, () => {
        if (faults.down) return;
        queue.schedule(faults.slowMs * this.simulation.random.next(), () => {
          const result = run();
          if (faults.loseAnswers) return;
          network.send(`${step}-answer`, PLATFORM_NODE, this.name, () => resolve(result));
        });
      });
    });
  }
}

/**
 * An instance of the simulation. The settings replica, the freshness guard, the settings writer and
 * the store adapter with its change protocol are production code; relays and pulls are modelled.
 */
export class SettingsInstance {
  replica = new SettingsReplica();

  private freshnessGuard!: FreshnessGuard;

  private readonly store: SettingsStore;

  private settingsWriter!: SettingsWriter;

  /** Incremented at each start, so that timers and responses of an earlier start are ignored. */
  private incarnation = 0;

  /** Highest revision applied since the start, to detect reversions. */
  private highestRevision = 0;

  constructor(
    readonly name: NodeName,
    private readonly index: number,
    private readonly simulation: SettingsSimulation,
  ) {
    this.store = new SettingsStore(new ModelPlatform(name, simulation));
  }

  /** Starts the instance with empty state. */
  start(): void {
    this.incarnation += 1;
    this.replica = new SettingsReplica();
    this.freshnessGuard = new FreshnessGuard(
      toMilliseconds(MAX_STALENESS_MS),
      this.simulation.disabledGuards.has('freshness') ? 'serve' : 'refuse',
    );
    const clock = this.simulation.getClock(this.index);
    this.settingsWriter = new SettingsWriter(toBrand<InstanceId>(this.name), this.store, clock);
    this.highestRevision = 0;
    this.runPullRound(this.incarnation);
  }

  /** @returns whether the instance would currently run a request with the key */
  get isKeyAccepted(): boolean {
    const value = this.replica.current.values.get(WITHDRAWN_KEY_PATH);
    return value !== undefined && this.freshnessGuard.allowsKeys(toMilliseconds(this.now));
  }

  /**
   * Writes one settings path in the role of a writer.
   *
   * @param changeId - idempotency id of the change
   * @param path - settings path
   * @param value - new value, or undefined to delete the path
   * @param expectedRevision - revision that the settings must have, if given
   * @returns outcome as reported to the operator
   */
  async writeSettings(
    changeId: string,
    path: string,
    value: unknown,
    expectedRevision?: number,
  ): Promise<ChangeOutcome> {
    const changes = [{ path, value }];
    return this.settingsWriter.write({ changeId, author: this.name, changes, expectedRevision });
  }

  /**
   * Handles a pull from another instance.
   *
   * @returns the local settings and their age in milliseconds, or undefined if it is unknown
   */
  handlePull(): {
    revision: number;
    ageMs: number | undefined;
    entries: readonly (readonly [string, unknown])[];
  } {
    const until = this.freshnessGuard.withdrawalsKnownUntil;
    const ageMs = until === undefined ? undefined : this.now - until;
    const { revision, values } = this.replica.current;
    return { revision, ageMs, entries: [...values] };
  }

  /** @returns time without writes through this instance, in milliseconds, and its revision */
  createAttestation(): { quietForMs: number; revision: number } {
    const { revision } = this.replica.current;
    return { quietForMs: this.settingsWriter.computeQuietMs(revision), revision };
  }

  private get now(): number {
    return this.simulation.getClock(this.index).now();
  }

  /** Pulls from the platform and all other instances, and schedules the next round. */
  private runPullRound(incarnation: number): void {
    if (incarnation !== this.incarnation) return;
    void this.pullFromPlatform(incarnation);
    for (const other of this.simulation.instances) {
      if (other !== this) this.pullFromInstance(other, incarnation);
    }
    const { network } = this.simulation;
    network.scheduleOnNode(this.name, PULL_INTERVAL_MS, () => this.runPullRound(incarnation));
  }

  private async pullFromPlatform(incarnation: number): Promise<void> {
    const requestedAt = this.now;
    try {
      const state = await this.store.load();
      if (incarnation !== this.incarnation || !this.simulation.network.isRunning(this.name)) return;
      this.applyState(
        state.revision,
        state.entries.map(({ path, value }) => [path, value] as const),
      );
      if (state.revision === this.replica.current.revision) {
        this.freshnessGuard.recordFreshness(toMilliseconds(requestedAt));
      }
    } catch {
      // The platform did not respond; the pulls from other instances may still succeed.
    }
  }

  private pullFromInstance(other: SettingsInstance, incarnation: number): void {
    const { network } = this.simulation;
    const requestedAt = this.now;
    network.send('pull', this.name, other.name, () => {
      const response = other.handlePull();
      const attestation = other.createAttestation();
      network.send('pull-answer', other.name, this.name, () => {
        if (incarnation !== this.incarnation) return;
        this.applyState(toBrand<SettingsRevision>(response.revision), response.entries);
        const isSame = response.revision === this.replica.current.revision;
        if (isSame && response.ageMs !== undefined) {
          this.freshnessGuard.recordFreshness(toMilliseconds(requestedAt - response.ageMs));
        }
        if (isSame) this.recordAttestation(other, attestation.quietForMs, requestedAt);
      });
    });
    if (this.writers.includes(this.name)) {
      this.recordAttestation(this, this.createAttestation().quietForMs, requestedAt);
    }
  }

  private recordAttestation(
    writer: SettingsInstance,
    quietForMs: number,
    requestedAt: number,
  ): void {
    if (!this.writers.includes(writer.name)) return;
    this.freshnessGuard.addAttestation({
      writer: toBrand<InstanceId>(writer.name),
      requestedAt: toMilliseconds(requestedAt),
      receivedAt: toMilliseconds(this.now),
      quietForMs,
    });
  }

  private get writers(): string[] {
    return [...parseWriters(this.replica.current.values.get(WRITERS_PATH))];
  }

  private applyState(
    revision: SettingsRevision,
    entries: readonly (readonly [string, unknown])[],
  ): void {
    if (this.simulation.disabledGuards.has('monotone') && revision > 0) {
      this.replica = new SettingsReplica();
    }
    if (revision <= 0) return;
    const entryList = entries.map(([path, value]) => ({ path, value }));
    this.replica.apply({ kind: 'state', revision, entries: entryList });
    const trustedWriters = this.simulation.disabledGuards.has('all-writers')
      ? this.writers.slice(0, 1)
      : this.writers;
    this.freshnessGuard.setWriters(new Set(trustedWriters.map((id) => toBrand<InstanceId>(id))));
    const currentRevision = this.replica.current.revision;
    if (currentRevision < this.highestRevision) {
      this.simulation.recordReversion(this.name, this.highestRevision, currentRevision);
    }
    this.highestRevision = Math.max(this.highestRevision, currentRevision);
  }
}

/** Simulation of one cell: instances, the platform's store and the network between them. */
export class SettingsSimulation {
  readonly queue = new EventQueue();

  readonly random: SeededRandom;

  readonly network: FakeNetwork;

  readonly store = new KeyValueStore();

  readonly faults: PlatformModelFaults = { down: false, loseAnswers: false, slowMs: 0 };

  readonly instances: SettingsInstance[];

  /** Descriptions of the recorded reversions. */
  readonly reversions: string[] = [];

  constructor(
    seed: number,
    readonly disabledGuards: ReadonlySet<SettingsGuard>,
  ) {
    this.random = new SeededRandom(seed);
    this.network = new FakeNetwork(this.queue, this.random, CADENA_LATENCIES);
    this.network.addNode(PLATFORM_NODE, PLATFORM_NODE);
    this.writeInitialSettings();
    this.instances = Array.from({ length: INSTANCE_COUNT }, (_, index) => {
      const name = `instance-${index + 1}`;
      this.network.addNode(name, `domain-${(index % FAILURE_DOMAIN_COUNT) + 1}`);
      return new SettingsInstance(name, index, this);
    });
    for (const instance of this.instances) instance.start();
  }

  /**
   * @param index - index of an instance
   * @returns its clock, which drifts and has its own start
   */
  getClock(index: number): ReturnType<typeof createDriftingClock> {
    return createDriftingClock(this.queue, index);
  }

  /** Records that an instance reverted to an older revision. */
  recordReversion(name: string, from: number, to: number): void {
    this.reversions.push(`${name} from ${from} to ${to}`);
  }

  /** @returns value of a settings path in the platform's store, or undefined if there is none */
  readStored(path: string): unknown {
    const [entry] = this.store.range(`/heatherledge/settings/${path}`);
    return entry === undefined ? undefined : (JSON.parse(entry.value) as unknown);
  }

  /** Stores the head entry, an organisation, its key and the list of writers. */
  private writeInitialSettings(): void {
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
        put(WITHDRAWN_KEY_PATH, { organisation: 'o', digest: 'a'.repeat(64) }),
        put(WRITERS_PATH, writers),
        { kind: 'put', key: '/heatherledge/settings/.head', value: 'seed' },
      ],
      [],
    );
  }
}
