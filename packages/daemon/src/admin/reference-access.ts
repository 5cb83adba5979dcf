import { type PathChange, parseSettingsPath, type SettingsKind } from '@heatherledge/core';

/** A reference by which a setting gives access to what another path defines. */
interface Reference {
  readonly kind: SettingsKind;
  readonly id: unknown;
}

/**
 * Finds changes that would give access to an organisation or a database group which the operator's
 * credential does not cover: a key acts for its organisation, and a route opens its group.
 *
 * @param changes - the requested changes
 * @param paths - paths of all settings
 * @param mayAccess - whether the credential covers a path
 * @returns paths of the changes that are not permitted
 */
export function findForeignReferences(
  changes: readonly PathChange[],
  paths: Iterable<string>,
  mayAccess: (path: string) => boolean,
): string[] {
  const wanted = changes.flatMap((change) => {
    const reference = resolveReference(change);
    return reference === undefined ? [] : [{ path: change.path, reference }];
  });
  if (wanted.length === 0) return [];
  const foreign = [...paths].filter((path) => !mayAccess(path)).map(parseSettingsPath);
  const foreignIds = new Set(foreign.map((parsed) => parsed && `${parsed.kind}/${parsed.id}`));
  return wanted
    .filter(({ reference: { kind, id } }) => foreignIds.has(`${kind}/${String(id)}`))
    .map(({ path }) => path);
}

function resolveReference({ path, value }: PathChange): Reference | undefined {
  if (typeof value !== 'object' || value === null) return undefined;
  const fields = value as { readonly organisation?: unknown; readonly group?: unknown };
  const kind = parseSettingsPath(path)?.kind;
  if (kind === 'keys') return { kind: 'organisations', id: fields.organisation };
  return kind === 'routes' ? { kind: 'groups', id: fields.group } : undefined;
}
