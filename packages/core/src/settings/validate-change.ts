import type * as z from 'zod';
import type { Finding } from './finding.js';
import { parseSettingsPath, resolveSettingsSchema, type RouteSettings } from './schema.js';
import type { KeySettings, GroupSettings } from './schema.js';

/** A new value for a path; undefined deletes the path. */
export interface PathChange {
  readonly path: string;
  readonly value?: unknown;
}

/**
 * Validates changes before they are written to the platform: against the schema, and against all
 * other settings.
 *
 * @param values - all paths and values before the changes
 * @param changes - changes that are written together
 * @returns all problems found; empty if the changes may be written
 */
export function validateChange(
  values: ReadonlyMap<string, unknown>,
  changes: readonly PathChange[],
): Finding[] {
  const findings = changes.flatMap((change) => validatePath(change));
  findings.push(...findRepeatedPaths(changes));
  const next = new Map(values);
  for (const change of changes) {
    if (change.value === undefined) next.delete(change.path);
    else next.set(change.path, change.value);
  }
  return [...findings, ...findBrokenReferences(next, new Set(changes.map(({ path }) => path)))];
}

function validatePath(change: PathChange): Finding[] {
  const parsed = parseSettingsPath(change.path);
  if (!parsed) {
    return [{ source: change.path, field: '', message: 'no such kind of settings path' }];
  }
  if (change.value === undefined) return [];
  const result = resolveSettingsSchema(parsed.kind).safeParse(change.value);
  if (result.success) return [];
  return result.error.issues.map((issue) => createFinding(change.path, issue));
}

function createFinding(source: string, issue: z.core.$ZodIssue): Finding {
  return { source, field: issue.path.join('.'), message: issue.message };
}

function findRepeatedPaths(changes: readonly PathChange[]): Finding[] {
  const seen = new Set<string>();
  const findings: Finding[] = [];
  for (const { path } of changes) {
    if (seen.has(path)) findings.push({ source: path, field: '', message: 'changed twice' });
    seen.add(path);
  }
  return findings;
}

/** The path that defines each id after the changes, by kind; keys are listed by digest. */
interface DefinedIds {
  readonly organisations: Map<string, string>;
  readonly groups: Map<string, string>;
  readonly routes: Map<string, string>;
  readonly digests: Map<string, string>;
}

function findBrokenReferences(
  values: ReadonlyMap<string, unknown>,
  changed: ReadonlySet<string>,
): Finding[] {
  const findings: Finding[] = [];
  const ids = collectIds(values, findings);
  for (const [path, value] of values) {
    findings.push(...checkReferences(path, value, ids));
  }
  // Problems in unchanged settings must not block an unrelated change, unless a deletion may have
  // caused them.
  const hasDeletion = [...changed].some((path) => !values.has(path));
  return findings.filter(({ source }) => hasDeletion || changed.has(source));
}

/** Collects the ids that the paths define; adds a finding for each id that is defined twice. */
function collectIds(values: ReadonlyMap<string, unknown>, findings: Finding[]): DefinedIds {
  const ids: DefinedIds = {
    organisations: new Map(),
    groups: new Map(),
    routes: new Map(),
    digests: new Map(),
  };
  for (const [path, value] of values) {
    const parsed = parseSettingsPath(path);
    if (parsed?.kind === 'organisations') addId(ids.organisations, parsed.id, path, findings);
    if (parsed?.kind === 'groups') addId(ids.groups, parsed.id, path, findings);
    if (parsed?.kind === 'routes') addId(ids.routes, parsed.id, path, findings);
    if (parsed?.kind === 'keys') {
      addId(ids.digests, String((value as KeySettings)?.digest), path, findings);
    }
  }
  return ids;
}

function addId(ids: Map<string, string>, id: string, path: string, findings: Finding[]): void {
  const other = ids.get(id);
  if (other !== undefined) {
    const message = `is taken by ${other}; such names are unique over all teams`;
    findings.push({ source: path, field: '', message });
  }
  ids.set(id, path);
}

/** Finds references from one path to missing ids, and repeated members of a group. */
function checkReferences(path: string, value: unknown, ids: DefinedIds): Finding[] {
  const parsed = parseSettingsPath(path);
  // A value that does not match the schema is reported by validatePath; it has no references.
  if (!parsed || !resolveSettingsSchema(parsed.kind).safeParse(value).success) return [];
  if (parsed.kind === 'keys') {
    return findMissingIds(
      path,
      'organisation',
      [(value as KeySettings)?.organisation],
      ids.organisations,
    );
  }
  if (parsed.kind === 'routes') {
    const route = value as Partial<RouteSettings>;
    return [
      ...findMissingIds(path, 'group', [route.group ?? ''], ids.groups),
      ...findMissingIds(path, 'organisations', route.organisations ?? [], ids.organisations),
    ];
  }
  if (parsed.kind === 'groups') return findRepeatedMembers(path, value as GroupSettings);
  return [];
}

function findMissingIds(
  source: string,
  field: string,
  ids: readonly string[],
  defined: ReadonlyMap<string, string>,
): Finding[] {
  return ids
    .filter((id) => !defined.has(id))
    .map((id) => ({ source, field, message: `"${id}" does not exist` }));
}

function findRepeatedMembers(source: string, group: GroupSettings): Finding[] {
  const findings: Finding[] = [];
  const seen = new Set<string>();
  const members = Array.isArray(group?.members) ? group.members : [];
  members.forEach((member, index) => {
    const address = `${member.host}:${member.port}`;
    for (const identity of [member.id, address]) {
      if (seen.has(identity)) {
        findings.push({
          source,
          field: `members.${index}`,
          message: `"${identity}" appears twice`,
        });
      }
      seen.add(identity);
    }
  });
  return findings;
}
