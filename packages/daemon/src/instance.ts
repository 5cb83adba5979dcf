import { randomUUID } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { createSecureContext } from 'node:tls';
import {
  DEFAULT_CLAIM_TIMINGS,
  DEFAULT_MEMBERSHIP_TIMINGS,
  DEFAULT_READ_COST_WEIGHTS,
  DEFAULT_WATCHER_TIMINGS,
  type FailureDomainId,
  type GroupId,
  type InstanceId,
  type InstanceRecord,
  parseSettingsPath,
  PositionCodec,
  type SettingsIndex,
  toBrand,
  toMilliseconds,
  type WatcherTimings,
} from '@heatherledge/core';
import type { Logger } from 'pino';
import { AdminApi, type AdminPort } from './admin/admin-api.js';
import { AdminServer } from './admin/admin-server.js';
import { type Explanation, explainRequest, type ExplainRequest } from './admin/explain.js';
import { CallerListener } from './callers/caller-listener.js';
import type { ServingContext } from './callers/serving-context.js';
import { GroupDirectory } from './groups/group-directory.js';
import { GroupsTask } from './groups/groups-task.js';
import { PositionRegistry } from './groups/position-registry.js';
import { LimitsTask, type SlotAllocation } from './limits/limits-task.js';
import { SlotsTask } from './limits/slots-task.js';
import { MembershipTask } from './peers/membership-task.js';
import { PeerHub } from './peers/peer-hub.js';
import { EtcdPlatform } from './platform/etcd-platform.js';
import type { ProcessSettings } from './process-settings/schema.js';
import { Metrics } from './runtime/metrics.js';
import { createRandom } from './runtime/random.js';
import { delay, SystemClock } from './runtime/system-clock.js';
import { SettingsStore } from './settings/settings-store.js';
import { SettingsTask } from './settings/settings-task.js';
import { StatementClassifier } from './sql/statement-classifier.js';
import { PoolsTask } from './upstreams/pools-task.js';

const CLASSIFIER_CACHE_SIZE = 5000;
/** Interval at which the platform's list of instances is read. */
const LIST_INTERVAL_MS = 10_000;
const READY_CHECK_INTERVAL_MS = 20;
/** Maximum wait for slots; after it, callers are served with borrowed tokens and permits. */
const MAX_SLOT_WAIT_MS = 4000;
/** Delay before the release of slots, in which loans made by this instance expire. */
const LOAN_EXPIRY_DELAY_MS = 1100;

/** One running instance, composed of its tasks. */
export class ProxyInstance implements AdminPort {
  readonly metrics = new Metrics();

  private readonly clock = new SystemClock();

  private readonly random = createRandom();

  private readonly self: InstanceRecord;

  private readonly hub: PeerHub;

  private readonly membership: MembershipTask;

  private readonly platform: EtcdPlatform;

  private readonly store: SettingsStore;

  private readonly settingsTask: SettingsTask;

  private readonly directory = new GroupDirectory(this.clock, (group, member) => {
    this.pools.findPool(group, member)?.closeAll();
  });

  private readonly groups: GroupsTask;

  private readonly slots: SlotsTask;

  private readonly limits: LimitsTask;

  private readonly pools: PoolsTask;

  private readonly positionRegistry: PositionRegistry;

  private readonly context: ServingContext;

  private readonly callers: CallerListener;

  private readonly admin: AdminServer;

  private isStopping = false;

  private listTimer: NodeJS.Timeout | undefined;

  /**
   * @param config - settings of the process
   * @param logger - logger of the process
   */
  constructor(
    private readonly config: ProcessSettings,
    private readonly logger: Logger,
  ) {
    this.self = createInstanceRecord(config);
    const { id } = this.self;
    const { secret } = config.peers;
    this.membership = new MembershipTask(
      this.self,
      secret,
      this.clock,
      DEFAULT_MEMBERSHIP_TIMINGS,
      this.random,
      () => this.updateLiveInstances(),
    );
    this.hub = new PeerHub({ self: id, secret }, (peer) => this.membership.membership.find(peer));
    this.platform = new EtcdPlatform(config.platform.endpoint, config.platform.timeoutMs);
    this.store = new SettingsStore(this.platform);
    this.settingsTask = this.createSettingsTask();
    this.groups = this.createGroupsTask();
    this.limits = new LimitsTask(id, this.hub, this.clock);
    this.pools = new PoolsTask(id, this.hub, this.clock);
    this.slots = new SlotsTask(
      id,
      randomUUID(),
      DEFAULT_CLAIM_TIMINGS,
      this.platform,
      this.clock,
      this.random,
      () => this.updateLimitsAndPools(),
    );
    this.positionRegistry = new PositionRegistry(this.clock, this.directory, this.pools);
    this.context = this.createContext();
    this.callers = this.createCallers();
    const api = new AdminApi(this);
    this.admin = new AdminServer(async (request) => api.handle(request));
  }

  /**
   * Starts all tasks; callers are served once settings are loaded.
   *
   * @throws the operating system's error if an address is in use
   */
  async start(): Promise<void> {
    const { peers, admin, callers } = this.config;
    await StatementClassifier.load();
    this.reloadCertificates();
    await this.hub.start({ host: peers.host, port: peers.port });
    await this.membership.start();
    await this.admin.start(admin.host, admin.port);
    this.addSeeds();
    void this.readInstanceList();
    this.listTimer = setInterval(() => void this.readInstanceList(), LIST_INTERVAL_MS);
    this.settingsTask.start();
    this.slots.start();
    await this.waitUntilReady();
    await this.callers.start(callers.host, callers.port);
    this.logger.info({ event: 'ready', callers, admin, peers: { port: peers.port } }, 'ready');
  }

  /**
   * Waits for settings, then up to {@link MAX_SLOT_WAIT_MS} for slots and for settings that are
   * fresh enough to check keys.
   */
  private async waitUntilReady(): Promise<void> {
    while (!this.settingsTask.isLoaded && !this.isStopping) await delay(READY_CHECK_INTERVAL_MS);
    const deadline = this.clock.now() + MAX_SLOT_WAIT_MS;
    const isComplete = (): boolean => this.slots.owned.length > 0 && this.settingsTask.allowsKeys;
    while (!isComplete() && this.clock.now() < deadline && !this.isStopping) {
      await delay(READY_CHECK_INTERVAL_MS);
    }
    // Slots may have become usable since limits and pools were last updated.
    this.updateLimitsAndPools();
  }

  /** Stops gracefully: announces it to peers, drains callers, returns loans and releases slots. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.logger.info({ event: 'stopping' }, 'stopping');
    clearInterval(this.listTimer);
    this.membership.announceLeaving();
    await this.callers.drain(this.config.shutdown.graceMs);
    this.limits.stop();
    await delay(LOAN_EXPIRY_DELAY_MS);
    await this.slots.release();
    this.close();
    this.logger.info({ event: 'stopped' }, 'stopped');
  }

  /** Stops all tasks at once. */
  close(): void {
    clearInterval(this.listTimer);
    this.isStopping = true;
    this.callers.close();
    this.slots.stop();
    this.limits.stop();
    this.settingsTask.stop();
    this.groups.stop();
    this.pools.stop();
    this.membership.stop();
    this.hub.stop();
    this.admin.stop();
    void this.platform.close();
  }

  /** Reloads the TLS certificate and key of the callers' listener. */
  reloadCertificates(): void {
    const { tls } = this.config.callers;
    const context =
      tls &&
      createSecureContext({
        cert: readFileSync(tls.certificateFile),
        key: readFileSync(tls.keyFile),
      });
    this.callers.setSecureContext(context);
  }

  getSettings(): SettingsTask['current'] {
    return this.settingsTask.current;
  }

  isReady(): boolean {
    return this.settingsTask.isLoaded && !this.isStopping;
  }

  async changeSettings(
    request: Parameters<SettingsTask['applyChange']>[0],
  ): ReturnType<SettingsTask['applyChange']> {
    const outcome = await this.settingsTask.applyChange(request);
    const { author, changeId } = request;
    const paths = request.changes.map(({ path }) => path);
    this.logger.info({ event: 'settings-change', author, changeId, paths, outcome: outcome.kind });
    return outcome;
  }

  async readHistory(): ReturnType<SettingsStore['readHistory']> {
    return this.store.readHistory();
  }

  async formatMetrics(): Promise<string> {
    this.updateGauges();
    return this.metrics.registry.metrics();
  }

  getState(): unknown {
    return {
      instance: this.self,
      ready: this.isReady(),
      stopping: this.isStopping,
      settings: {
        revision: this.getSettings().revision,
        ageMs: this.settingsTask.ageMs,
        allowsKeys: this.settingsTask.allowsKeys,
        isRelay: this.settingsTask.isRelay,
        writers: [...this.settingsTask.writers],
      },
      instances: this.membership.membership.all,
      watched: this.groups.watchedViews,
      groups: this.directory.usedGroups.map((group) => this.directory.findView(group)),
      pools: this.pools.states,
      limits: Object.fromEntries(this.limits.describe()),
      slots: { owned: this.slots.owned, of: this.slots.slotCount },
      sessions: this.callers.connectionCount,
      peers: { ...this.hub.counts, ...this.hub.bytes },
      platformCalls: Object.fromEntries(this.platform.calls),
    };
  }

  explain(request: ExplainRequest): Explanation {
    return explainRequest(request, this.context);
  }

  getStatus(): unknown {
    return {
      revision: this.getSettings().revision,
      instances: this.membership.membership.all,
      groups: [...this.getSettings().groups.keys()].map((group) => ({
        group,
        view: this.directory.findView(group) ?? null,
      })),
    };
  }

  private createSettingsTask(): SettingsTask {
    const { staleLimitMs, whenStale } = this.config.keys;
    const rules = { limitMs: toMilliseconds(staleLimitMs), policy: whenStale };
    return new SettingsTask(this.self, this.store, this.hub, this.clock, rules, {
      onSettings: (paths) => {
        this.groups.updateGroups(listAffectedGroups(paths, this.getSettings()));
        this.updateLimitsAndPools();
        this.callers.recheckKeys();
      },
    });
  }

  private createGroupsTask(): GroupsTask {
    return new GroupsTask(
      this.self,
      this.directory,
      this.hub,
      this.clock,
      createWatcherTimings(this.config),
      this.random,
      (event) => {
        this.metrics.watcherEvents.inc({ event: event.event });
        this.logger.warn({ task: 'watcher', ...event }, `watcher: ${event.event}`);
      },
    );
  }

  private createCallers(): CallerListener {
    const { callers } = this.config;
    const rules = {
      messageLimitBytes: callers.messageLimitBytes,
      maxSessions: callers.mostSessions,
      startupTimeoutMs: callers.startupTimeoutMs,
      allowsUnencryptedKeys: callers.allowClearKeys,
    };
    return new CallerListener(this.context, rules, this.self.id);
  }

  private createContext(): ServingContext {
    return {
      clock: this.clock,
      failureDomain: this.self.failureDomain,
      classifier: new StatementClassifier(CLASSIFIER_CACHE_SIZE),
      codec: new PositionCodec(this.config.peers.secret),
      directory: this.directory,
      pools: this.pools,
      limits: this.limits,
      weights: DEFAULT_READ_COST_WEIGHTS,
      deadlineMs: this.config.callers.deadlineMs,
      settings: () => this.getSettings(),
      allowsKeys: () => this.settingsTask.allowsKeys,
      useGroup: (group) => {
        this.groups.addGroup(group);
        this.pools.addGroup(group);
      },
      getPositionTracker: (group) => this.positionRegistry.getOrCreate(group),
      countEvent: (event) => this.metrics.served.inc({ event }),
      countError: (error) => this.metrics.errors.inc({ error }),
      recordRequestDuration: (ms) => this.metrics.requestSeconds.observe(ms / 1000),
    };
  }

  /** Updates the tasks after a change of the live instances. */
  private updateLiveInstances(): void {
    const { live } = this.membership.membership;
    this.settingsTask.updateInstances(live);
    this.groups.updateInstances({ settings: this.getSettings(), live });
    this.slots.setLiveInstanceCount(live.length);
    this.updateLimitsAndPools();
  }

  /** Updates limits and pools after a change of settings or slots. */
  private updateLimitsAndPools(): void {
    const settings = this.getSettings();
    const slots: SlotAllocation = {
      owned: this.slots.owned,
      slotCount: this.slots.slotCount,
      holders: this.slots.holders,
    };
    this.limits.update(settings, slots);
    this.pools.update(settings, slots);
  }

  private addSeeds(): void {
    this.membership.membership.mergeListed(
      this.config.peers.seeds
        .filter(({ id }) => id !== this.self.id)
        .map((seed) => ({
          id: toBrand<InstanceId>(seed.id),
          failureDomain: toBrand<FailureDomainId>(seed.failureDomain),
          host: seed.host,
          peerPort: seed.peerPort,
          incarnation: 0,
          state: 'alive' as const,
        })),
    );
    this.updateLiveInstances();
  }

  /**
   * Reads the platform's list of instances; only on relays, and on an instance without other live
   * instances.
   */
  private async readInstanceList(): Promise<void> {
    const isAlone = this.membership.membership.live.length <= 1;
    if (!isAlone && !this.settingsTask.isRelay) return;
    try {
      this.membership.membership.mergeListed(await this.platform.listInstances());
    } catch {
      // The list is optional; instances also discover each other by gossip.
    }
  }

  private updateGauges(): void {
    const { ageMs } = this.settingsTask;
    this.metrics.sessions.set(this.callers.connectionCount);
    this.metrics.settingsAgeSeconds.set(ageMs === undefined ? -1 : ageMs / 1000);
    this.metrics.settingsRevision.set(this.getSettings().revision);
    this.metrics.settingsInvalid.set(this.getSettings().invalidPaths.size);
    this.metrics.slots.set(this.slots.owned.length);
    this.metrics.controlBytes.set(this.groups.controlBytes);
    this.metrics.watchedGroups.set(this.groups.watchedViews.length);
    const { sent, received } = this.hub.bytes;
    this.metrics.peerBytes.set({ direction: 'sent' }, sent + this.membership.bytesSent);
    this.metrics.peerBytes.set({ direction: 'received' }, received);
    for (const [purpose, count] of this.platform.calls) {
      this.metrics.platformCalls.set({ purpose }, count);
    }
  }
}

/** @returns groups that the paths may affect; all groups if the changed paths are unknown */
function listAffectedGroups(
  paths: readonly string[] | undefined,
  settings: SettingsIndex,
): Iterable<GroupId> {
  if (paths === undefined) return settings.groups.keys();
  const parsed = paths.map((path) => parseSettingsPath(path));
  return parsed.flatMap((item) => (item?.kind === 'groups' ? [toBrand<GroupId>(item.id)] : []));
}

/**
 * Interval of replica probes and suspicion reports while the primary is healthy, as a multiple of
 * the interval of the primary's probes.
 */
const HEALTHY_INTERVAL_FACTOR = 5;

function createWatcherTimings(config: ProcessSettings): WatcherTimings {
  const { probeEveryMs, suspectAfterMs } = config.failover;
  const healthyIntervalMs = probeEveryMs * HEALTHY_INTERVAL_FACTOR;
  const suspicionTtlMs = healthyIntervalMs + DEFAULT_WATCHER_TIMINGS.orderTimeoutMs;
  return {
    ...DEFAULT_WATCHER_TIMINGS,
    probeEveryMs,
    suspectAfterMs,
    healthyIntervalMs,
    suspicionTtlMs,
  };
}

function createInstanceRecord(config: ProcessSettings): InstanceRecord {
  return {
    id: toBrand<InstanceId>(config.instance.id),
    failureDomain: toBrand<FailureDomainId>(config.instance.failureDomain),
    host: config.peers.host,
    peerPort: config.peers.port,
    // Seconds since the epoch increase with every start and leave room for the increments by which
    // an instance refutes reports that it is down.
    incarnation: Math.floor(Date.now() / 1000),
    state: 'alive',
  };
}
