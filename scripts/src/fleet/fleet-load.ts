/** Roaming callers on a local fleet, started together and judged together. */
import { RoamingWorkload } from '@heatherledge/lab';
import { Balancer } from './balancer.js';
import type { LocalFleet } from './local-fleet.js';
import { sleep } from './sleep.js';

const SESSIONS = 12;
const PAUSE_MS = 15;
/** Time for the fleet to choose primaries and share its slots. */
const FLEET_WARM_UP_MS = 4000;
const LOAD_WARM_UP_MS = 2000;

/** Load that runs until it is finished. */
export class FleetLoad {
  private constructor(
    readonly workload: RoamingWorkload,
    private readonly balancer: Balancer,
    private readonly sessions: readonly Promise<void>[],
  ) {}

  /**
   * @param fleet - a fleet, which is started
   * @returns the load, at its full height
   */
  static async start(fleet: LocalFleet): Promise<FleetLoad> {
    await fleet.start();
    await sleep(FLEET_WARM_UP_MS);
    const balancer = new Balancer(fleet.instances);
    const workload = new RoamingWorkload(() => balancer.choose());
    await workload.prepare();
    const sessions = Array.from({ length: SESSIONS }, async (_, index) =>
      workload.runSession(index, PAUSE_MS),
    );
    await sleep(LOAD_WARM_UP_MS);
    return new FleetLoad(workload, balancer, sessions);
  }

  /** Ends the sessions and compares what they were told with what is kept. */
  async finish(): Promise<void> {
    this.workload.stop();
    await Promise.all(this.sessions);
    await this.workload.check();
    this.balancer.stop();
  }
}
