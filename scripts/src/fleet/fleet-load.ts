import { RoamingWorkload } from '@heatherledge/lab';
import { Balancer } from './balancer.js';
import type { LocalFleet } from './local-fleet.js';
import { sleep } from './sleep.js';

const SESSION_COUNT = 12;
const WRITE_DELAY_MS = 15;
/** Time in which the fleet chooses its primaries and distributes the slots. */
const FLEET_WARM_UP_MS = 4000;
const LOAD_WARM_UP_MS = 2000;

/** Sessions of roaming callers on a local fleet. */
export class FleetLoad {
  private constructor(
    readonly workload: RoamingWorkload,
    private readonly balancer: Balancer,
    private readonly sessions: readonly Promise<void>[],
  ) {}

  /**
   * Starts the fleet and all sessions, and waits for both to warm up.
   *
   * @param fleet - a fleet that is not running
   * @returns the running load
   */
  static async start(fleet: LocalFleet): Promise<FleetLoad> {
    await fleet.start();
    await sleep(FLEET_WARM_UP_MS);
    const balancer = new Balancer(fleet.instances);
    const workload = new RoamingWorkload(() => balancer.chooseTarget());
    await workload.createTable();
    const sessions = Array.from({ length: SESSION_COUNT }, async (_, index) =>
      workload.runSession(index, WRITE_DELAY_MS),
    );
    await sleep(LOAD_WARM_UP_MS);
    return new FleetLoad(workload, balancer, sessions);
  }

  /** Ends the sessions and checks the responses that they received against the stored rows. */
  async stop(): Promise<void> {
    this.workload.stop();
    await Promise.all(this.sessions);
    await this.workload.checkStoredRows();
    this.balancer.stop();
  }
}
