import { type Clock, HolderPresenceTracker, type InstanceId } from '@heatherledge/core';
import type { PeerHub } from '@heatherledge/daemon';
import type { FleetView } from '../fleet/fleet-view.js';
import type { MemberRegistry } from '../members/member-registry.js';
import { PrimarySampler } from '../members/primary-sampler.js';
import type { ControlStore } from '../ports/control-store.js';
import type { PromotionPort } from '../ports/fleet-directory.js';
import type { MemberConnector } from '../ports/member-protocol.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import { CoordinatorLease } from './coordinator-lease.js';
import { EraRecovery } from './era-recovery.js';
import { InstanceSweeper } from './instance-sweeper.js';
import { MemberControl } from './member-control.js';
import { PrimaryMonitor } from './primary-monitor.js';
import { RecordRecall } from './record-recall.js';

/** What the changes of primaries need of their instance. */
export interface FailoverServices {
  readonly self: InstanceId;
  readonly hub: PeerHub;
  readonly view: FleetView;
  readonly store: ControlStore;
  readonly promotions: PromotionPort;
  readonly connector: MemberConnector;
  readonly memberRegistry: MemberRegistry;
  /** Region of each failure domain. */
  readonly regionByDomain: ReadonlyMap<string, string>;
  /** How long an instance relies on a confirmed record of a primary, in milliseconds. */
  readonly confirmationTtlMs: number;
  readonly metrics: GatewayMetrics;
  readonly clock: Clock;
  readonly random: () => number;
  readonly log: EventLog;
}

/** Changes primaries as the coordinator, and restores records that the store has lost. */
export class FailoverTasks {
  private readonly lease: CoordinatorLease;

  private readonly control: MemberControl;

  private readonly monitor: PrimaryMonitor;

  private readonly sweeper: InstanceSweeper;

  private readonly recovery: EraRecovery;

  /** Samples primaries for reads that must not reach them. */
  readonly primarySampler: PrimarySampler;

  constructor(services: FailoverServices) {
    const { self, hub, view, store, promotions, connector, memberRegistry } = services;
    const { confirmationTtlMs, regionByDomain, metrics, clock, random, log } = services;
    const { primaryTracker } = memberRegistry;
    const lease = new CoordinatorLease(self, store, view, clock, random, log);
    const control = new MemberControl(connector, clock, () => [
      ...(view.settings?.organisations.keys() ?? []),
    ]);
    this.lease = lease;
    this.control = control;
    const changeServices = { self, clock, view, store, lease, control, promotions, hub };
    this.monitor = new PrimaryMonitor(
      {
        ...changeServices,
        memberRegistry,
        log,
        confirmationTtlMs,
        regionByDomain,
        holderPresence: new HolderPresenceTracker(),
      },
      hub,
      metrics,
    );
    this.primarySampler = new PrimarySampler({ self, hub, clock, control, memberRegistry });
    this.sweeper = new InstanceSweeper(self, hub, view, store, lease, clock, log);
    const recall = new RecordRecall({ self, hub, view, lease, primaryTracker, clock });
    this.recovery = new EraRecovery({
      self,
      view,
      store,
      lease,
      control,
      recall,
      clock,
      random,
      log,
    });
  }

  /** Whether this instance is certainly the coordinator now. */
  get isCoordinator(): boolean {
    return this.lease.isHeld;
  }

  /** Starts to restore lost records; an instance that starts may need it before it can serve. */
  startRecovery(): void {
    this.recovery.start();
  }

  /** Starts to claim the coordinator's role and to monitor primaries. */
  start(): void {
    this.lease.start();
    this.monitor.start();
    this.sweeper.start();
  }

  /** Stops changes of primaries and releases the coordinator's lease if it is held. */
  async stop(): Promise<void> {
    this.monitor.stop();
    this.sweeper.stop();
    this.recovery.stop();
    await this.lease.stop();
  }

  /** Closes the control connections to members. */
  close(): void {
    this.control.close();
  }
}
