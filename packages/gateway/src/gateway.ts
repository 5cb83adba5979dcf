/** One gateway process: composes the tasks and starts and stops them in order. */
import {
  ConfirmationTracker,
  DEFAULT_LOAN_TIMINGS,
  type AdmissionRules,
  type InstanceRecord as PeerRecord,
  toMilliseconds,
} from '@heatherledge/core';
import { createRandom, DEFAULT_DESK_RULES, LimitsTask, PeerHub } from '@heatherledge/daemon';
import { CoordinatorLease } from './failover/coordinator-lease.js';
import { PrimaryMonitor } from './failover/primary-monitor.js';
import { InstanceSweeper } from './failover/instance-sweeper.js';
import { MemberControl } from './failover/member-control.js';
import { FleetViewUpdater } from './fleet/fleet-view-updater.js';
import { FleetView } from './fleet/fleet-view.js';
import { RelayServer } from './fleet/relay-server.js';
import { RelayedSource } from './fleet/relayed-source.js';
import { RateShareAllocator } from './fleet/rate-share-allocator.js';
import { StoreSource } from './fleet/store-source.js';
import { MemberRegistry } from './members/member-registry.js';
import { ConnectionOwnerDirectory } from './members/connection-owner-directory.js';
import { ReadForwarder } from './members/read-forwarder.js';
import { SampleExchange } from './members/sample-exchange.js';
import type { CallerListener } from './ports/caller-protocol.js';
import type { ControlStore } from './ports/control-store.js';
import type { FleetDirectory, PromotionPort } from './ports/fleet-directory.js';
import type { MemberConnector } from './ports/member-protocol.js';
import type { EventLog } from './runtime/event-log.js';
import { GatewayMetrics } from './runtime/gateway-metrics.js';
import type { SuspensionAwareClock } from './runtime/suspension-aware-clock.js';
import { SettingsGrantJudge } from './sessions/grant-judge.js';
import { SessionsTask } from './sessions/sessions-task.js';
import type { GatewaySettings } from './settings.js';

/** Time between a statement's last check and its arrival at a member, at most. */
const KEY_MARGIN_MS = 1000;
/** How old the knowledge of a primary may be; a change of primary waits for as long. */
const PRIMARY_BELIEF_MS = 2800;
/** Above this age an instance asks for no new callers. */
const READY_AGE_MS = 2600;
/** Peers are reached only on the platform's own network; the text keeps strangers out by mistake. */
const PEER_SECRET = 'heatherledge-gateway';

/**
 * A request beyond the rate is refused almost at once: it waits only while a loan may be on its way.
 * Opening a link to an instance in another region takes four round trips, 100 ms, and a question one.
 */
export const RATE_RULES: AdmissionRules = {
  ...DEFAULT_DESK_RULES,
  loans: { ...DEFAULT_LOAN_TIMINGS, loanUnitTokens: 1 },
  maxWaitMs: toMilliseconds(300),
  maxWaitingRequests: 8,
  loanRequestTimeoutMs: toMilliseconds(250),
  refusesUnservable: true,
};
/** The process's clock counts from its start; nothing was admitted before. */
const PROCESS_START = toMilliseconds(0);
/** How often shares of rates are worked out anew; they also change with the instances. */
const SHARES_EVERY_MS = 500;

/** What the platform provides. */
export interface GatewayPorts {
  readonly store: ControlStore;
  readonly directory: FleetDirectory;
  readonly promotions: PromotionPort;
  readonly members: MemberConnector;
  readonly callers: CallerListener;
}

/** Owns all tasks of one instance. */
export class Gateway {
  readonly metrics = new GatewayMetrics();

  private readonly random = createRandom();

  private readonly view: FleetView;

  private readonly groups: MemberRegistry;

  private readonly hub: PeerHub;

  private readonly limits: LimitsTask;

  private readonly fleet: FleetViewUpdater;

  private readonly lease: CoordinatorLease;

  private readonly control: MemberControl;

  private readonly coordinator: PrimaryMonitor;

  private readonly sweeper: InstanceSweeper;

  private readonly sessions: SessionsTask;

  private readonly shares: RateShareAllocator;

  private sharesTimer: NodeJS.Timeout | undefined;

  private isStopping = false;

  private isStarted = false;

  constructor(
    private readonly settings: GatewaySettings,
    private readonly ports: GatewayPorts,
    private readonly clock: SuspensionAwareClock,
    private readonly log: EventLog,
  ) {
    const { instance, keyLifeMs, host, peerPort, failureDomain } = settings;
    const maxKeyedAgeMs = toMilliseconds(keyLifeMs - KEY_MARGIN_MS);
    const maxPrimaryAgeMs = toMilliseconds(Math.min(PRIMARY_BELIEF_MS, maxKeyedAgeMs));
    const confirmation = new ConfirmationTracker({
      maxKeyedAgeMs,
      maxPrimaryAgeMs,
      maxReadyAgeMs: toMilliseconds(READY_AGE_MS),
    });
    const { store, directory, promotions, members } = ports;
    this.view = new FleetView(directory, confirmation, log);
    const connectionOwners = new ConnectionOwnerDirectory(instance, this.view, clock);
    this.groups = new MemberRegistry(
      settings,
      this.view,
      members,
      connectionOwners,
      clock,
      this.metrics,
      log,
    );
    const identity = { self: instance, secret: PEER_SECRET };
    this.hub = new PeerHub(identity, (id) => this.resolvePeer(id));
    this.limits = new LimitsTask(
      instance,
      this.hub,
      clock,
      RATE_RULES,
      PROCESS_START,
      settings.rateTolerance,
    );
    const record = { host, peerPort, domain: failureDomain, cores: settings.cores };
    const samples = new SampleExchange(this.groups.primaries, clock, this.random);
    const relayServer = new RelayServer(this.hub, this.view, clock, samples);
    const direct = new StoreSource(store, clock);
    const source = new RelayedSource(instance, direct, this.hub, this.view, clock, samples, log);
    this.fleet = new FleetViewUpdater(
      instance,
      record,
      store,
      source,
      relayServer,
      this.view,
      clock,
      this.random,
      log,
    );
    this.lease = new CoordinatorLease(instance, store, this.view, clock, this.random, log);
    this.control = new MemberControl(members, clock, () => this.resolveAnyOrganisation());
    this.coordinator = new PrimaryMonitor(
      {
        self: instance,
        clock,
        view: this.view,
        store,
        lease: this.lease,
        control: this.control,
        promotions,
        hub: this.hub,
        groups: this.groups,
        log,
        confirmationTtlMs: maxPrimaryAgeMs,
      },
      this.hub,
      this.metrics,
    );
    this.sweeper = new InstanceSweeper(
      instance,
      this.hub,
      this.view,
      store,
      this.lease,
      clock,
      log,
    );
    this.shares = new RateShareAllocator(instance, keyLifeMs);
    this.sessions = new SessionsTask({
      clock,
      groups: this.groups,
      peerReads: new ReadForwarder(this.hub, this.groups, connectionOwners),
      judge: new SettingsGrantJudge(this.view, clock),
      metrics: this.metrics,
      log,
      random: this.random,
      view: this.view,
      limits: this.limits,
    });
    this.view.onChange(({ settings: hasSettings, instances }) => {
      if (hasSettings || instances) this.updateLimits();
    });
  }

  /** Starts everything; callers are accepted from the beginning and served once settings are known. */
  async start(): Promise<void> {
    const { settings, ports, log } = this;
    const { host, peerPort, metricsPort } = settings;
    await this.hub.start({ host, port: peerPort });
    await this.metrics.serve(host, metricsPort, () => this.describe());
    await ports.callers.start((channel) => this.sessions.accept(channel));
    this.groups.start();
    await this.fleet.start();
    if (this.fleet.wasAlreadyListed) this.shares.resumeShare();
    this.updateLimits();
    this.lease.start();
    this.coordinator.start();
    this.sweeper.start();
    this.sharesTimer = setInterval(() => this.updateLimits(), SHARES_EVERY_MS);
    this.isStarted = true;
    log.info('gateway.started', { instance: settings.instance, domain: settings.failureDomain });
  }

  /** Lets callers finish, gives back what others can use, and ends. */
  async stop(): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    this.log.info('gateway.stopping', { sessions: this.sessions.count });
    this.coordinator.stop();
    this.sweeper.stop();
    await Promise.all([this.lease.stop(), this.sessions.drain(this.settings.stopWithinMs)]);
    this.ports.callers.stop();
    clearInterval(this.sharesTimer);
    this.limits.stop();
    this.fleet.stop();
    this.groups.stop();
    this.control.close();
    this.hub.stop();
    this.metrics.stop();
    this.ports.store.close();
    this.log.info('gateway.stopped', { sessions: this.sessions.count });
  }

  /** @returns whether the instance wants new callers */
  get isReady(): boolean {
    if (this.isStopping || !this.isStarted) return false;
    if (!this.view.confirmation.isReady(this.clock.now())) return false;
    return this.view.members.size > 0 && this.view.primaries.size > 0;
  }

  /** @returns the state of the process, for people */
  describe(): unknown {
    return {
      instance: this.settings.instance,
      isReady: this.isReady,
      settingsVersion: this.view.settings?.version,
      confirmationAgeMs: this.view.confirmation.resolveAge(this.clock.now()),
      isCoordinator: this.lease.isHeld,
      coordinator: this.view.coordinator?.value.instance,
      instances: [...this.view.instances.keys()],
      primaries: Object.fromEntries([...this.view.primaries].map(([id, { value }]) => [id, value])),
      members: this.groups.describe(),
      limits: Object.fromEntries(this.limits.describe()),
      sessions: this.sessions.count,
    };
  }

  private updateLimits(): void {
    const { settings, instances } = this.view;
    if (settings === undefined) return;
    this.limits.update(settings, this.shares.computeShare(instances, this.clock.now()));
  }

  private resolvePeer(id: PeerRecord['id']): PeerRecord | undefined {
    const record = this.view.instances.get(id)?.value;
    if (record === undefined) return undefined;
    const { host, peerPort, domain } = record;
    const failureDomain = domain as PeerRecord['failureDomain'];
    return { id, host, peerPort, failureDomain, incarnation: 0, state: 'alive' };
  }

  private resolveAnyOrganisation(): ReturnType<MemberControl['resolveOrganisation']> {
    return this.view.settings?.organisations.keys().next().value;
  }
}
