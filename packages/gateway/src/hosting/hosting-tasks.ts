import type { InstanceId, OrganisationId } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { MemberRegistry } from '../members/member-registry.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { SuspensionAwareClock } from '../runtime/suspension-aware-clock.js';
import type { GrantChecker } from '../sessions/grants.js';
import type { HostDirectory } from './host-directory.js';
import { LocalMemberAccess } from './local-member-access.js';
import type { MemberAccess } from './member-access.js';
import { MemberAccessRouter } from './member-access-router.js';
import { MemberHostServer } from './member-host-server.js';
import { WarmupGate } from './warmup-gate.js';
import { SlotMonitor } from './slot-monitor.js';

/** Weight of an organisation without a rate, in requests per second. */
const MIN_ORGANISATION_WEIGHT = 1;

/** Interval at which transactions at members of evacuated domains are checked for their end. */
const EVACUATION_CHECK_INTERVAL_MS = 100;

/** What the hosting of members needs of its instance. */
export interface HostingServices {
  readonly self: InstanceId;
  readonly hub: PeerHub;
  readonly hosts: HostDirectory;
  readonly memberRegistry: MemberRegistry;
  readonly grantChecker: GrantChecker;
  readonly metrics: GatewayMetrics;
  readonly view: FleetView;
  readonly clock: SuspensionAwareClock;
  readonly random: () => number;
  readonly log: EventLog;
}

/** Runs statements at members: this instance's own at their hosts, and those of others here. */
export class HostingTasks {
  private readonly server: MemberHostServer;

  private readonly router: MemberAccessRouter;

  private readonly local: LocalMemberAccess;

  private evacuationTimer: NodeJS.Timeout | undefined;

  constructor(private readonly services: HostingServices) {
    const { self, hub, hosts, memberRegistry, grantChecker, metrics } = services;
    const { view, clock, random, log } = services;
    const local = new LocalMemberAccess(
      memberRegistry,
      grantChecker,
      clock,
      random,
      (organisation) => this.findWeight(organisation),
      {
        warmupGate: new WarmupGate(memberRegistry.warmups, random),
        observer: new SlotMonitor(memberRegistry, metrics, log),
      },
    );
    this.local = local;
    this.server = new MemberHostServer(hub, local, memberRegistry, view, clock, log);
    this.router = new MemberAccessRouter(
      self,
      hub,
      hosts,
      local,
      memberRegistry,
      grantChecker,
      metrics,
      clock,
      log,
    );
  }

  /** @returns the access of this instance's sessions to members */
  get access(): MemberAccess {
    return this.router;
  }

  /** Starts to watch the hosts of members. */
  start(): void {
    this.router.start();
    this.evacuationTimer = setInterval(
      () => this.endEvacuatedTransactions(),
      EVACUATION_CHECK_INTERVAL_MS,
    );
  }

  /** Tells other instances to send no further statements here. */
  announceStop(): void {
    this.services.hub.broadcast({ kind: 'host.leaving' });
  }

  /**
   * Waits until the statements and transactions of other instances have ended, and stops.
   *
   * @param waitMs - maximum wait, in milliseconds
   */
  async stop(waitMs: number): Promise<void> {
    await this.server.drain(waitMs);
    this.router.stop();
    clearInterval(this.evacuationTimer);
  }

  private endEvacuatedTransactions(): void {
    const { view, log } = this.services;
    if (view.evacuatedDomains.size === 0) return;
    const transactions = this.local.endEvacuatedTransactions();
    if (transactions > 0) log.info('evacuation.transactions.ended', { transactions });
  }

  /** Organisations share an overloaded member in proportion to their rates. */
  private findWeight(organisation: OrganisationId | undefined): number {
    const { settings } = this.services.view;
    const rate = organisation && settings?.organisations.get(organisation);
    return Math.max(MIN_ORGANISATION_WEIGHT, rate?.requestsPerSecond ?? MIN_ORGANISATION_WEIGHT);
  }
}
