import {
  ConfirmationTracker,
  type InstanceRecord as PeerRecord,
  toMilliseconds,
} from '@heatherledge/core';
import { createRandom, LimitsTask, PeerHub, type PeerHubLimits } from '@heatherledge/daemon';
import { resolveConfirmationLimits } from './fleet/confirmation-limits.js';
import { FailoverTasks } from './failover/failover-tasks.js';
import { FleetViewUpdater } from './fleet/fleet-view-updater.js';
import { FleetView } from './fleet/fleet-view.js';
import { InstanceRegistration } from './fleet/instance-registration.js';
import { logUnknownRegions } from './fleet/unknown-regions.js';
import { RelayServer } from './fleet/relay-server.js';
import { RelayedSource } from './fleet/relayed-source.js';
import { RateShareAllocator } from './fleet/rate-share-allocator.js';
import { StoreSource } from './fleet/store-source.js';
import { StoreState } from './fleet/store-state.js';
import { MemberRegistry } from './members/member-registry.js';
import { HostDirectory } from './hosting/host-directory.js';
import { HostingTasks } from './hosting/hosting-tasks.js';
import { SampleExchange } from './members/sample-exchange.js';
import type { CallerListener } from './ports/caller-protocol.js';
import type { ControlStore } from './ports/control-store.js';
import type { FleetDirectory, PromotionPort } from './ports/fleet-directory.js';
import type { MemberConnector } from './ports/member-protocol.js';
import type { EventLog } from './runtime/event-log.js';
import { GatewayMetrics } from './runtime/gateway-metrics.js';
import type { SuspensionAwareClock } from './runtime/suspension-aware-clock.js';
import { GATEWAY_ADMISSION_RULES } from './sessions/admission-rules.js';
import { SettingsGrantChecker } from './sessions/settings-grant-checker.js';
import { SessionRegistry } from './sessions/session-registry.js';
import type { GatewaySettings } from './settings.js';

/**
 * Shared secret of the instances. They are reached only on the platform's own network; the secret
 * prevents accidental connections by other processes.
 */
const PEER_SECRET = 'heatherledge-gateway';

/** Start of the process on its own clock; no request was admitted before. */
const PROCESS_STARTED_AT = toMilliseconds(0);
/**
 * Interval at which rate shares are recomputed; they are also recomputed when settings or instances
 * change.
 */
const RATE_SHARE_UPDATE_INTERVAL_MS = 500;

/** Share of the stop timeout in which statements of other instances may end. */
const MAX_HOST_DRAIN_RATIO = 0.85;

/** Adapters for the platform's services and protocols. */
export interface GatewayPorts {
  readonly store: ControlStore;
  readonly directory: FleetDirectory;
  readonly promotions: PromotionPort;
  readonly members: MemberConnector;
  readonly callers: CallerListener;
  /** Limits of what peers make the instance hold; undefined for none. */
  readonly peerLimits?: PeerHubLimits | undefined;
}

/** Runs one gateway instance: creates its tasks, and starts and stops them in order. */
export class Gateway {
  private readonly random = createRandom();

  private readonly view: FleetView;

  private readonly memberRegistry: MemberRegistry;

  private readonly peerHub: PeerHub;

  private readonly limits: LimitsTask;

  private readonly viewUpdater: FleetViewUpdater;

  private readonly failover: FailoverTasks;

  private readonly hosting: HostingTasks;

  private readonly sessionRegistry: SessionRegistry;

  private readonly shareAllocator: RateShareAllocator;

  private rateShareTimer: NodeJS.Timeout | undefined;

  private stopped: Promise<void> | undefined;

  private isStarted = false;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly clock: SuspensionAwareClock,
    private readonly log: EventLog,
    readonly metrics: GatewayMetrics = new GatewayMetrics(),
  ) {
    const { instance, maxKeyRevocationDelayMs, host, peerPort, failureDomain } = settings;
    const confirmationLimits = resolveConfirmationLimits(maxKeyRevocationDelayMs);
    const confirmation = new ConfirmationTracker(confirmationLimits);
    const { store, directory, promotions, members } = ports;
    const { maxEvacuationDelayMs } = settings;
    this.view = new FleetView(directory, confirmation, log, clock, maxEvacuationDelayMs);
    this.view.onChange(() => this.metrics.evacuatedDomains.set(this.view.evacuatedDomains.size));
    const hosts = new HostDirectory(instance, this.view, clock, settings.regionByDomain);
    this.memberRegistry = new MemberRegistry(
      settings,
      this.view,
      members,
      hosts,
      clock,
      this.metrics,
      log,
    );
    const identity = { self: instance, secret: PEER_SECRET };
    this.peerHub = new PeerHub(
      identity,
      (id) => this.findPeer(id),
      (problem) => log.warn('peer.problem', problem),
      ports.peerLimits,
    );
    this.limits = new LimitsTask(
      instance,
      this.peerHub,
      clock,
      GATEWAY_ADMISSION_RULES,
      PROCESS_STARTED_AT,
      settings.rateTolerance,
    );
    const instanceRecord = { host, peerPort, domain: failureDomain, cores: settings.cores };
    const samples = new SampleExchange(this.memberRegistry.primaryTracker, clock, this.random);
    const relayServer = new RelayServer(this.peerHub, this.view, clock, samples);
    const storeSource = new StoreSource(store, clock, directory.settingsKey);
    const viewSource = new RelayedSource(
      instance,
      storeSource,
      this.peerHub,
      this.view,
      clock,
      samples,
      log,
    );
    this.viewUpdater = new FleetViewUpdater(
      instance,
      new InstanceRegistration(instance, instanceRecord, store, this.view),
      viewSource,
      relayServer,
      this.view,
      clock,
      this.random,
      new StoreState(this.view, clock, this.metrics, log),
      log,
    );
    this.failover = new FailoverTasks({
      self: instance,
      hub: this.peerHub,
      view: this.view,
      store,
      promotions,
      connector: members,
      memberRegistry: this.memberRegistry,
      regionByDomain: settings.regionByDomain,
      confirmationTtlMs: confirmationLimits.maxPrimaryAgeMs,
      metrics: this.metrics,
      clock,
      random: this.random,
      log,
    });
    this.shareAllocator = new RateShareAllocator(instance, maxKeyRevocationDelayMs);
    const grantChecker = new SettingsGrantChecker(this.view, clock);
    this.hosting = new HostingTasks({
      self: instance,
      hub: this.peerHub,
      hosts,
      memberRegistry: this.memberRegistry,
      grantChecker,
      metrics: this.metrics,
      view: this.view,
      clock,
      random: this.random,
      log,
    });
    this.sessionRegistry = new SessionRegistry({
      clock,
      memberRegistry: this.memberRegistry,
      memberAccess: this.hosting.access,
      primarySampler: this.failover.primarySampler,
      grantChecker,
      metrics: this.metrics,
      log,
      random: this.random,
      view: this.view,
      limits: this.limits,
    });
    this.view.onChange(({ settings: settingsChanged, instances: instancesChanged }) => {
      if (settingsChanged || instancesChanged) this.updateRateShares();
      if (settingsChanged) this.sessionRegistry.checkRegions();
    });
    logUnknownRegions(this.view, settings.regionByDomain, log);
  }

  /** Starts all tasks; callers are accepted at once, and served as soon as settings are known. */
  async start(): Promise<void> {
    const { settings, ports, log } = this;
    const { host, peerPort, metricsPort } = settings;
    await this.peerHub.start({ host, port: peerPort });
    await this.metrics.serve(host, metricsPort, () => this.describe());
    await ports.callers.start((channel) => this.sessionRegistry.accept(channel));
    this.memberRegistry.start();
    this.hosting.start();
    this.failover.startRecovery();
    await this.viewUpdater.start();
    if (this.isStopping) return;
    if (this.viewUpdater.wasAlreadyListed) this.shareAllocator.resumeShare();
    this.updateRateShares();
    this.failover.start();
    this.rateShareTimer = setInterval(() => this.updateRateShares(), RATE_SHARE_UPDATE_INTERVAL_MS);
    this.isStarted = true;
    log.info('gateway.started', { instance: settings.instance, domain: settings.failureDomain });
  }

  /**
   * Drains the callers' sessions, releases the coordinator's lease if it is held, returns borrowed
   * tokens, and stops all tasks. A repeated call changes nothing.
   *
   * @returns a promise that resolves when everything has stopped, the same one for each call
   */
  async stop(): Promise<void> {
    this.stopped ??= this.runStop();
    return this.stopped;
  }

  private get isStopping(): boolean {
    return this.stopped !== undefined;
  }

  private async runStop(): Promise<void> {
    this.log.info('gateway.stopping', { sessions: this.sessionRegistry.count });
    this.hosting.announceStop();
    const { stopTimeoutMs } = this.settings;
    const drainUntil = this.clock.now() + stopTimeoutMs * MAX_HOST_DRAIN_RATIO;
    await Promise.all([this.failover.stop(), this.sessionRegistry.drain(stopTimeoutMs)]);
    await this.hosting.stop(drainUntil - this.clock.now());
    this.ports.callers.stop();
    clearInterval(this.rateShareTimer);
    this.limits.stop();
    this.viewUpdater.stop();
    this.memberRegistry.stop();
    this.failover.close();
    this.peerHub.stop();
    this.metrics.stop();
    this.ports.store.close();
    this.log.info('gateway.stopped', { sessions: this.sessionRegistry.count });
  }

  /** @returns whether the instance should get new callers */
  get isReady(): boolean {
    if (this.isStopping || !this.isStarted) return false;
    if (!this.view.confirmation.isReady(this.clock.now())) return false;
    return this.view.members.size > 0 && this.view.primaries.size > 0;
  }

  /** @returns the state dump, which operators read */
  describe(): unknown {
    return {
      instance: this.settings.instance,
      isReady: this.isReady,
      settingsVersion: this.view.settings?.version,
      confirmationAgeMs: this.view.confirmation.resolveAge(this.clock.now()),
      isCoordinator: this.failover.isCoordinator,
      storeEra: this.view.era,
      evacuatedDomains: Object.fromEntries(this.view.evacuatedDomains),
      isStoreComplete: this.view.isComplete,
      coordinator: this.view.coordinator?.value.instance,
      instances: [...this.view.instances.keys()],
      primaries: Object.fromEntries([...this.view.primaries].map(([id, { value }]) => [id, value])),
      members: this.memberRegistry.describe(),
      limits: Object.fromEntries(this.limits.describe()),
      sessions: this.sessionRegistry.count,
    };
  }

  private updateRateShares(): void {
    const { settings, instances } = this.view;
    if (settings === undefined) return;
    this.limits.update(settings, this.shareAllocator.computeShare(instances, this.clock.now()));
  }

  private findPeer(id: PeerRecord['id']): PeerRecord | undefined {
    const record = this.view.instances.get(id)?.value;
    if (record === undefined) return undefined;
    const { host, peerPort, domain } = record;
    const failureDomain = domain as PeerRecord['failureDomain'];
    return { id, host, peerPort, failureDomain, incarnation: 0, state: 'alive' };
  }
}
