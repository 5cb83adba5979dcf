/** Processes of a local fleet: started, signalled and ended by their own id. */
import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync } from 'node:fs';
import { dirname } from 'node:path';

/** How a process is started. */
export interface ProcessPlan {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

const READY = '"event":"ready"';
const READY_TIMEOUT_MS = 20_000;

/** One process of the fleet. */
export class FleetProcess {
  private child: ChildProcess | undefined;

  private ended: Promise<number | null> = Promise.resolve(0);

  constructor(
    readonly plan: ProcessPlan,
    private readonly logFile: string,
  ) {}

  /** Starts the process and waits until it says that it is ready. */
  async start(): Promise<void> {
    mkdirSync(dirname(this.logFile), { recursive: true });
    const log = createWriteStream(this.logFile, { flags: 'a' });
    const { script, args, environment } = this.plan;
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stderr?.pipe(log, { end: false });
    this.ended = new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
    await this.waitForReady(child, log);
  }

  /** @param signal - signal to send to this process only */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process at once and waits for its end. */
  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    await this.ended;
  }

  /** Asks the process to stop, and waits for its end. */
  async stop(): Promise<number | null> {
    this.signal('SIGTERM');
    return this.ended;
  }

  private async waitForReady(child: ChildProcess, log: NodeJS.WritableStream): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const fail = (): void => reject(new Error(`${this.plan.name} did not become ready`));
      const timer = setTimeout(fail, READY_TIMEOUT_MS);
      child.once('exit', fail);
      child.stdout?.on('data', (chunk: Buffer) => {
        log.write(chunk);
        if (!chunk.includes(READY)) return;
        clearTimeout(timer);
        child.off('exit', fail);
        resolve();
      });
    });
  }
}
