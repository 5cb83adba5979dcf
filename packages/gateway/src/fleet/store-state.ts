import type { Clock } from '@heatherledge/core';
import type { StoreEra } from '../ports/control-store.js';
import type { EventLog } from '../runtime/event-log.js';
import type { GatewayMetrics } from '../runtime/gateway-metrics.js';
import type { FleetView } from './fleet-view.js';

/** Whether the store responds to an instance, itself or through a relay; changes are logged. */
export class StoreState {
  isReachable = false;

  constructor(
    private readonly view: FleetView,
    private readonly clock: Clock,
    private readonly metrics: GatewayMetrics,
    private readonly log: EventLog,
  ) {}

  /**
   * Records whether the store responded.
   *
   * @param isReachable - whether it did
   * @param reason - why it did not
   */
  record(isReachable: boolean, reason?: string): void {
    if (isReachable === this.isReachable) return;
    this.isReachable = isReachable;
    const { era, confirmation } = this.view;
    const confirmationAgeMs = Math.round(confirmation.resolveAge(this.clock.now()));
    if (isReachable) this.log.info('store.regained', { confirmationAgeMs, era });
    else this.log.warn('store.lost', { confirmationAgeMs, era, reason });
  }

  /**
   * Records that the contents of another era were loaded.
   *
   * @param era - the era
   * @param previous - the era before; undefined for the first
   */
  recordEra(era: StoreEra, previous: StoreEra | undefined): void {
    this.metrics.storeEra.set(era);
    if (previous !== undefined) this.log.warn('store.era.changed', { era, previous });
  }
}
