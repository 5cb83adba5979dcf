import { type ChildProcess, spawn } from 'node:child_process';
import { createWriteStream, mkdirSync } from 'node:fs';
import { dirname } from 'node:path';

/** How a process is started. */
export interface ProcessOptions {
  readonly name: string;
  readonly script: string;
  readonly args: readonly string[];
  readonly environment?: Readonly<Record<string, string>>;
}

const READY_EVENT = '"event":"ready"';
const READY_TIMEOUT_MS = 20_000;

/** One process of a local fleet; signals go to its own process id only. */
export class FleetProcess {
  private child: ChildProcess | undefined;

  private exitCode: Promise<number | null> = Promise.resolve(0);

  constructor(
    readonly options: ProcessOptions,
    private readonly logFile: string,
  ) {}

  /** Starts the process and waits until it logs that it is ready. */
  async start(): Promise<void> {
    mkdirSync(dirname(this.logFile), { recursive: true });
    const log = createWriteStream(this.logFile, { flags: 'a' });
    const { script, args, environment } = this.options;
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...environment },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    child.stderr?.pipe(log, { end: false });
    this.exitCode = new Promise((resolve) => {
      child.once('exit', (code) => resolve(code));
    });
    await this.waitForReady(child, log);
  }

  /** @param signal - signal to send to the process */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Sends SIGCONT, as the process may be frozen, and SIGKILL, and waits for the exit. */
  async kill(): Promise<void> {
    this.sendSignal('SIGCONT');
    this.sendSignal('SIGKILL');
    await this.exitCode;
  }

  /**
   * Sends SIGTERM and waits for the exit.
   *
   * @returns the exit code, or null if a signal ended the process
   */
  async stop(): Promise<number | null> {
    this.sendSignal('SIGTERM');
    return this.exitCode;
  }

  private async waitForReady(child: ChildProcess, log: NodeJS.WritableStream): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      const rejectStart = (): void =>
        reject(new Error(`${this.options.name} did not become ready`));
      const timer = setTimeout(rejectStart, READY_TIMEOUT_MS);
      child.once('exit', rejectStart);
      child.stdout?.on('data', (chunk: Buffer) => {
        log.write(chunk);
        if (!chunk.includes(READY_EVENT)) return;
        clearTimeout(timer);
        child.off('exit', rejectStart);
        resolve();
      });
    });
  }
}
