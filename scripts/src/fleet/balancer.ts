/** Chooses instances as the platform's balancer does: by readiness, a little late. */
import type { CallerTarget } from '@heatherledge/lab';
import type { InstanceProcess } from './local-fleet.js';

const POLL_MS = 100;

/** Keeps a list of ready instances. */
export class Balancer {
  private ready: readonly InstanceProcess[];

  private turn = 0;

  private readonly timer: NodeJS.Timeout;

  constructor(private readonly instances: readonly InstanceProcess[]) {
    this.ready = instances;
    this.timer = setInterval(() => void this.poll(), POLL_MS);
  }

  /** Stops asking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * @param key - key to show
   * @param organisation - whose key it is
   * @returns the next target
   */
  choose(key = 'example-key-a', organisation = 'organisation-a'): CallerTarget {
    this.turn += 1;
    const instance = this.ready[this.turn % this.ready.length] ?? this.instances[0];
    return {
      host: '127.0.0.1',
      port: instance?.callerPort ?? 0,
      user: organisation,
      password: key,
      database: 'subscriptions',
    };
  }

  private async poll(): Promise<void> {
    const answers = await Promise.all(this.instances.map(isReady));
    const ready = this.instances.filter((_, index) => answers[index]);
    if (ready.length > 0) this.ready = ready;
  }
}

async function isReady(instance: InstanceProcess): Promise<boolean> {
  try {
    const url = `http://127.0.0.1:${instance.adminPort}/readyz`;
    return (await fetch(url, { signal: AbortSignal.timeout(POLL_MS * 5) })).ok;
  } catch {
    return false;
  }
}
