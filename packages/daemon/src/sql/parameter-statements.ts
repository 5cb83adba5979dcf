import { type AstNode, readConstant } from './syntax-tree.js';

/** Prefix of the proxy's own parameters. */
export const PROXY_PARAMETER_PREFIX = 'heatherledge.';

/** Schema that must not be found by the names of a caller's statements. */
const CONTROL_SCHEMA = 'heatherledge';
const UTF8_NAMES = new Set(['utf8', 'unicode']);
const ON_VALUES = new Set(['on', 'true', 'yes', '1']);

/** Class of a statement that sets, shows or discards what belongs to a session. */
export type ParameterClass =
  /** Sets one of the proxy's own parameters. */
  | { readonly kind: 'set-proxy'; readonly name: string; readonly value: string }
  | { readonly kind: 'show-proxy'; readonly name: string }
  /** Sets a session parameter, which the proxy keeps and applies to each connection it uses. */
  | { readonly kind: 'set-session'; readonly name: string; readonly text: string }
  /** Resets session parameters; `all` includes the role and the prepared statements. */
  | { readonly kind: 'reset-session'; readonly scope: 'parameters' | 'all' }
  /** Discards what sessions do not keep through the proxy. */
  | { readonly kind: 'discard'; readonly tag: string }
  /** Sets a parameter for the rest of the transaction. */
  | { readonly kind: 'read'; readonly changesParameters: true }
  | { readonly kind: 'refused'; readonly feature: string };

/**
 * @param body - body of a VariableSetStmt
 * @param text - SQL text, which has no other statement if the class is used
 * @returns the statement's class
 */
export function classifySet(body: AstNode, text: string): ParameterClass {
  const name: string = body.name ?? '';
  const values = (body.args ?? []).map(readConstant) as (string | undefined)[];
  if (name.startsWith(PROXY_PARAMETER_PREFIX)) {
    return {
      kind: 'set-proxy',
      name: name.slice(PROXY_PARAMETER_PREFIX.length),
      value: values[0] ?? '',
    };
  }
  const refused = body.kind === 'VAR_SET_VALUE' ? findRefusedParameter(name, values) : undefined;
  if (refused !== undefined) return { kind: 'refused', feature: refused };
  if (body.is_local || name.startsWith('TRANSACTION')) {
    return { kind: 'read', changesParameters: true };
  }
  if (body.kind === 'VAR_RESET_ALL') return { kind: 'reset-session', scope: 'parameters' };
  return { kind: 'set-session', name, text };
}

/**
 * Finds out whether a parameter would make members read texts differently from the proxy, or find its
 * own functions by plain names.
 *
 * @param name - name in lower case
 * @param values - parts of the value
 * @returns name of the feature to refuse; undefined if the parameter may be set
 */
export function findRefusedParameter(
  name: string,
  values: readonly (string | undefined)[],
): string | undefined {
  const [first = ''] = values;
  const plain = first.toLowerCase().replaceAll(/[^a-z0-9]/g, '');
  if (name === 'client_encoding' && !UTF8_NAMES.has(plain)) {
    return 'a client encoding other than UTF-8';
  }
  if (name === 'standard_conforming_strings' && !ON_VALUES.has(plain)) {
    return 'standard_conforming_strings = off';
  }
  const namesControlSchema = values.some((value) => value?.includes(CONTROL_SCHEMA));
  return name === 'search_path' && namesControlSchema ? "the proxy's own schema" : undefined;
}

/**
 * @param body - body of a VariableShowStmt
 * @returns the statement's class
 */
export function classifyShow({ name = '' }: AstNode): ParameterClass | { readonly kind: 'read' } {
  return name.startsWith(PROXY_PARAMETER_PREFIX)
    ? { kind: 'show-proxy', name: name.slice(PROXY_PARAMETER_PREFIX.length) }
    : { kind: 'read' };
}

/**
 * @param body - body of a DiscardStmt
 * @returns the statement's class
 */
export function classifyDiscard({ target }: AstNode): ParameterClass {
  if (target === 'DISCARD_ALL') return { kind: 'reset-session', scope: 'all' };
  return { kind: 'discard', tag: String(target).replace('_', ' ') };
}
