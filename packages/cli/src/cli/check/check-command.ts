/** `check FILE`: checks a file of operators' settings offline. */
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

/** Prints every problem of a file with its line. */
export function checkFile({ output }: Pick<CommandContext, 'output'>, file: string): void {
  output.printFindings(findProblems(file), EXIT_CODES.invalid);
}

/**
 * @param file - a file of paths and values in JSON with comments
 * @returns every problem with its place
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
    return node === undefined ? finding : { ...finding, line: countLines(text, node.offset) };
  });
}

function createSyntaxFinding(source: string, text: string, error: ParseError): Finding {
  const message = printParseErrorCode(error.error);
  return { source, field: '', message, line: countLines(text, error.offset) };
}

function countLines(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}
