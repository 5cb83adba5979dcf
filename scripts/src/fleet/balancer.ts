import type { CallerTarget } from '@heatherledge/lab';
import type { InstanceProcess } from './local-fleet.js';

const READINESS_POLL_INTERVAL_MS = 100;

/**
 * Chooses ready instances in turn, as the platform's balancer does. Readiness is polled, so that a
 * change takes effect with a delay.
 */
export class Balancer {
  private readyInstances: readonly InstanceProcess[];

  private choiceCount = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly instances: readonly InstanceProcess[]) {
    this.readyInstances = instances;
    this.timer = setInterval(() => void this.updateReadyInstances(), READINESS_POLL_INTERVAL_MS);
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * @param key - API key, sent as the password
   * @param organisation - organisation that the key belongs to, sent as the user
   * @returns connection parameters of the next ready instance; while none is ready, the instances
   * that were ready last are used
   */
  chooseTarget(key = 'example-key-a', organisation = 'organisation-a'): CallerTarget {
    this.choiceCount += 1;
    const instance =
      this.readyInstances[this.choiceCount % this.readyInstances.length] ?? this.instances[0];
    return {
      host: '127.0.0.1',
      port: instance?.callerPort ?? 0,
      user: organisation,
      password: key,
      database: 'subscriptions',
    };
  }

  private async updateReadyInstances(): Promise<void> {
    const readiness = await Promise.all(this.instances.map(isReady));
    const readyInstances = this.instances.filter((_, index) => readiness[index]);
    if (readyInstances.length > 0) this.readyInstances = readyInstances;
  }
}

async function isReady(instance: InstanceProcess): Promise<boolean> {
  try {
    const url = `http://127.0.0.1:${instance.adminPort}/readyz`;
    return (await fetch(url, { signal: AbortSignal.timeout(READINESS_POLL_INTERVAL_MS * 5) })).ok;
  } catch {
    return false;
  }
}
