import { type Finding, formatFinding } from '@heatherledge/core';
import type { AdminReply } from './admin-client.js';
import { resolveExitCode } from './exit-codes.js';

/** Destination of the output and the exit code; replaced in tests. */
export interface OutputPort {
  write(text: string): void;
  writeError(text: string): void;
  setExitCode(code: number): void;
}

/** Writes to the standard streams and sets the exit code of this process. */
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

/** Formats the body of a successful reply as lines of text. */
export type ReplyFormatter = (body: unknown) => string[];

/** Prints replies and findings, as text or as JSON. */
export class Output {
  /**
   * @param port - destination of the output
   * @param asJson - whether to print JSON instead of text
   */
  constructor(
    private readonly port: OutputPort,
    private readonly asJson: boolean,
  ) {}

  /**
   * Prints a reply and sets the exit code by its status.
   *
   * @param reply - reply of the API
   * @param format - formats the body as text if the status is 200
   */
  printReply(reply: AdminReply, format: ReplyFormatter): void {
    this.port.setExitCode(resolveExitCode(reply.status));
    if (this.asJson) this.port.write(`${escapeControls(JSON.stringify(reply.body))}\n`);
    else if (reply.status === 200) this.printLines(format(reply.body));
    else this.printError(reply.body);
  }

  /**
   * Prints the findings of an offline check, or that there are none.
   *
   * @param findings - the findings
   * @param exitCode - exit code if there are findings
   */
  printFindings(findings: readonly Finding[], exitCode: number): void {
    if (this.asJson) this.port.write(`${escapeControls(JSON.stringify({ findings }))}\n`);
    else {
      for (const finding of findings) {
        this.port.writeError(`${escapeControls(formatFinding(finding))}\n`);
      }
    }
    if (findings.length > 0) this.port.setExitCode(exitCode);
    else if (!this.asJson) this.port.write('valid\n');
  }

  private printLines(lines: readonly string[]): void {
    for (const line of lines) this.port.write(`${escapeControls(line)}\n`);
  }

  private printError(body: unknown): void {
    const { error, outcome, findings } = body as {
      error?: string;
      outcome?: string;
      findings?: Finding[];
    };
    this.port.writeError(`${escapeControls(error ?? outcome ?? 'the request failed')}\n`);
    for (const finding of findings ?? []) {
      this.port.writeError(`  ${escapeControls(formatFinding(finding))}\n`);
    }
  }
}

/**
 * Control characters of the terminal, and those that change the direction of text. Texts of callers and
 * operators must neither begin a line nor change what is shown.
 */
const CONTROL_CHARACTERS = /[\p{Cc}\p{Cf}\u2028\u2029]/gu;

/** Replaces control characters by escapes as in JSON. */
function escapeControls(text: string): string {
  return text.replaceAll(CONTROL_CHARACTERS, (char) =>
    [...Array(char.length).keys()]
      .map((index) => `\\u${char.charCodeAt(index).toString(16).padStart(4, '0')}`)
      .join(''),
  );
}
