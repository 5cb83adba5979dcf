import { readFileSync } from 'node:fs';
import { type Finding, validateChange } from '@heatherledge/core';
import { findNodeAtLocation, parseTree } from 'jsonc-parser';
import { EXIT_CODES } from '../../core/exit-codes.js';
import { parseSettingsText, resolveLine } from '../../core/settings-text.js';
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
  const parsed = parseSettingsText(text, file);
  if (parsed.kind === 'invalid') return [...parsed.findings];
  const tree = parseTree(text, [], { allowTrailingComma: true });
  const changes = Object.entries(parsed.value as Record<string, unknown>).map(([path, value]) => ({
    path,
    value,
  }));
  return validateChange(new Map(), changes).map((finding) => {
    const node = tree && findNodeAtLocation(tree, [finding.source]);
    return node === undefined ? finding : { ...finding, line: resolveLine(text, node.offset) };
  });
}
