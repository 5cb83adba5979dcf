import { readFileSync } from 'node:fs';
import type { Finding } from '@heatherledge/core';
import {
  findNodeAtLocation,
  type Node,
  parseTree,
  type ParseError,
  printParseErrorCode,
} from 'jsonc-parser';
import { err, ok, type Result } from 'neverthrow';
import type * as z from 'zod';
import { type ProcessSettings, processSettingsSchema } from './schema.js';

/** Environment variables that override settings: name of the variable, path of the setting. */
const ENVIRONMENT_OVERRIDES: readonly (readonly [string, readonly [string, string]])[] = [
  ['HEATHERLEDGE_INSTANCE_ID', ['instance', 'id']],
  ['HEATHERLEDGE_FAILURE_DOMAIN', ['instance', 'failureDomain']],
  ['HEATHERLEDGE_CALLERS_HOST', ['callers', 'host']],
  ['HEATHERLEDGE_CALLERS_PORT', ['callers', 'port']],
  ['HEATHERLEDGE_PEERS_HOST', ['peers', 'host']],
  ['HEATHERLEDGE_PEERS_PORT', ['peers', 'port']],
  ['HEATHERLEDGE_ADMIN_HOST', ['admin', 'host']],
  ['HEATHERLEDGE_ADMIN_PORT', ['admin', 'port']],
  ['HEATHERLEDGE_PLATFORM_ENDPOINT', ['platform', 'endpoint']],
];

type Environment = Readonly<Record<string, string | undefined>>;

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the file
 * @param environment - variables that may override settings
 * @returns the settings, or all findings with their lines
 */
export function loadProcessSettings(
  file: string,
  environment: Environment,
): Result<ProcessSettings, Finding[]> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err([{ source: file, field: '', message: (error as Error).message }]);
  }
  return parseProcessSettings(file, text, environment);
}

/**
 * Parses and validates the text of a settings file.
 *
 * @param source - name of the file, for findings
 * @param text - JSON with comments and trailing commas
 * @param environment - variables that may override settings
 * @returns the settings, or all findings with their lines
 */
export function parseProcessSettings(
  source: string,
  text: string,
  environment: Environment,
): Result<ProcessSettings, Finding[]> {
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  if (errors.length > 0 || tree === undefined) {
    return err(errors.map((error) => createSyntaxFinding(source, text, error)));
  }
  const value = toPlainValue(tree) as Record<string, Record<string, unknown>>;
  applyOverrides(value, environment);
  const parsed = processSettingsSchema.safeParse(value);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.flatMap((issue) => createFindings(source, text, tree, issue)));
}

/** Converts a syntax tree to the value that it denotes. */
function toPlainValue(node: Node): unknown {
  if (node.type === 'object') {
    const entries = (node.children ?? []).map((property) => {
      const [key, value] = property.children ?? [];
      return [String(key?.value), value === undefined ? undefined : toPlainValue(value)] as const;
    });
    return Object.fromEntries(entries);
  }
  if (node.type === 'array') return (node.children ?? []).map(toPlainValue);
  return node.value as unknown;
}

function applyOverrides(
  value: Record<string, Record<string, unknown>>,
  environment: Environment,
): void {
  for (const [name, [section, field]] of ENVIRONMENT_OVERRIDES) {
    const text = environment[name];
    if (text === undefined) continue;
    const target = value[section] ?? {};
    target[field] = field === 'port' ? Number(text) : text;
    value[section] = target;
  }
}

function createSyntaxFinding(source: string, text: string, error: ParseError): Finding {
  return {
    source,
    field: '',
    message: printParseErrorCode(error.error),
    line: getLineNumber(text, error.offset),
  };
}

function createFindings(
  source: string,
  text: string,
  tree: Node,
  issue: z.core.$ZodIssue,
): Finding[] {
  const path = issue.path.filter((part): part is string | number => typeof part !== 'symbol');
  if (issue.code !== 'unrecognized_keys') {
    return [
      { source, field: path.join('.'), message: issue.message, line: findLine(text, tree, path) },
    ];
  }
  return issue.keys.map((key) => {
    const closest = findClosestKey(key, listKnownKeys(path));
    const hint = closest === undefined ? '' : `; did you mean "${closest}"?`;
    return {
      source,
      field: [...path, key].join('.'),
      message: `unknown key${hint}`,
      line: findLine(text, tree, [...path, key]),
    };
  });
}

/** @returns the line of a setting, or of its closest parent that the file contains */
function findLine(
  text: string,
  tree: Node,
  path: readonly (string | number)[],
): number | undefined {
  for (let { length } = path; length >= 0; length -= 1) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) return getLineNumber(text, node.offset);
  }
  return undefined;
}

/** @returns the line number of an offset, from 1 */
function getLineNumber(text: string, offset: number): number {
  return text.slice(0, offset).split('\n').length;
}

function listKnownKeys(path: readonly (string | number)[]): string[] {
  let schema: unknown = processSettingsSchema;
  for (const part of path) {
    const { shape } = unwrapSchema(schema) as { shape?: Record<string, unknown> };
    schema = shape?.[part];
  }
  return Object.keys((unwrapSchema(schema) as { shape?: object })?.shape ?? {});
}

/** Removes the wrappers of a schema, such as defaults and `optional`. */
function unwrapSchema(schema: unknown): unknown {
  let current = schema as { def?: { innerType?: unknown } } | undefined;
  while (current?.def?.innerType !== undefined) current = current.def.innerType as typeof current;
  return current;
}

/** Keys at a larger edit distance are not suggested for an unknown key. */
const MAX_SUGGESTION_DISTANCE = 3;

function findClosestKey(key: string, knownKeys: readonly string[]): string | undefined {
  const candidates = knownKeys
    .map((candidate) => ({ candidate, distance: computeEditDistance(key, candidate) }))
    .sort((left, right) => left.distance - right.distance);
  const best = candidates[0];
  return best !== undefined && best.distance <= MAX_SUGGESTION_DISTANCE
    ? best.candidate
    : undefined;
}

/** Computes the Levenshtein distance. */
function computeEditDistance(left: string, right: string): number {
  let row = Array.from({ length: right.length + 1 }, (_, index) => index);
  for (let i = 1; i <= left.length; i += 1) {
    const next = [i];
    for (let j = 1; j <= right.length; j += 1) {
      const substitutionCost = left[i - 1] === right[j - 1] ? 0 : 1;
      const insertion = (next[j - 1] ?? 0) + 1;
      const deletion = (row[j] ?? 0) + 1;
      next.push(Math.min(insertion, deletion, (row[j - 1] ?? 0) + substitutionCost));
    }
    row = next;
  }
  return row[right.length] ?? 0;
}
