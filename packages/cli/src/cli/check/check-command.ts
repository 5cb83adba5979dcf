import { readFileSync } from 'node:fs';
import { type Finding, validateChange } from '@heatherledge/core';
import {
  findNodeAtLocation,
  parse,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from 'jsonc-parser';
import { EXIT_CODES } from '../../core/exit-codes.js';
import type { CommandContext } from '../../types/command.js';

/**
 * Runs `check`: validates a settings file offline and prints each finding with its line.
 *
 * @param context - output of the command
 * @param file - path of the settings file
 */
export function checkSettingsFile({ output }: Pick<CommandContext, 'output'>, file: string): void {
  output.printFindings(findProblems(file), EXIT_CODES.invalid);
}

/**
 * Validates a settings file. Its settings are checked only if the syntax has no errors.
 *
 * @param file - path of a file in JSON with comments, with settings values by path
 * @returns every finding, with its line where the setting is found in the file
 */
export function findProblems(file: string): Finding[] {
  const text = readFileSync(file, 'utf8');
  const errors: ParseError[] = [];
  const values = parse(text, errors, { allowTrailingComma: true }) as Record<string, unknown>;
  if (errors.length > 0) return errors.map((error) => createSyntaxFinding(file, text, error));
  const tree = parseTree(text, [], { allowTrailingComma: true });
  const changes = Object.entries(values).map(([path, value]) => ({ path, value }));
  return validateChange(new Map(), changes).map((finding) => {
    const node = tree && findNodeAtLocation(tree, [finding.source]);
    return node === undefined ? finding : { ...finding, line: resolveLine(text, node.offset) };
  });
}

function createSyntaxFinding(source: string, text: string, error: ParseError): Finding {
  const message = printParseErrorCode(error.error);
  return { source, field: '', message, line: resolveLine(text, error.offset) };
}

/** @returns the line of the offset, from 1 */
function resolveLine(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
