/** What the tool prints, for people or as JSON. */
import { type Finding, formatFinding } from '@heatherledge/core';
import type { AdminReply } from './admin-client.js';
import { resolveExitCode } from './exit-codes.js';

/** Where text goes; replaced in tests. */
export interface OutputPort {
  write(text: string): void;
  writeError(text: string): void;
  setExitCode(code: number): void;
}

/** Output of a process. */
export const PROCESS_OUTPUT: OutputPort = {
  write: (text) => {
    process.stdout.write(text);
  },
  writeError: (text) => {
    process.stderr.write(text);
  },
  setExitCode: (code) => {
    process.exitCode = code;
  },
};

/** Makes the lines for people out of an answer. */
export type Formatter = (body: unknown) => string[];

/** Prints answers in the form asked for. */
export class Output {
  constructor(
    private readonly port: OutputPort,
    private readonly asJson: boolean,
  ) {}

  /**
   * @param reply - answer of the API
   * @param format - lines for people, if the answer is good
   */
  printReply(reply: AdminReply, format: Formatter): void {
    this.port.setExitCode(resolveExitCode(reply.status));
    if (this.asJson) this.port.write(`${JSON.stringify(reply.body)}\n`);
    else if (reply.status === 200) this.printLines(format(reply.body));
    else this.printProblem(reply.body);
  }

  /**
   * @param findings - problems found offline
   * @param exitCode - exit code if there are any
   */
  printFindings(findings: readonly Finding[], exitCode: number): void {
    if (this.asJson) this.port.write(`${JSON.stringify({ findings })}\n`);
    else for (const finding of findings) this.port.writeError(`${formatFinding(finding)}\n`);
    if (findings.length > 0) this.port.setExitCode(exitCode);
    else if (!this.asJson) this.port.write('valid\n');
  }

  private printLines(lines: readonly string[]): void {
    for (const line of lines) this.port.write(`${line}\n`);
  }

  private printProblem(body: unknown): void {
    const { error, outcome, findings } = body as {
      error?: string;
      outcome?: string;
      findings?: Finding[];
    };
    this.port.writeError(`${error ?? outcome ?? 'the request failed'}\n`);
    for (const finding of findings ?? []) this.port.writeError(`  ${formatFinding(finding)}\n`);
  }
}
