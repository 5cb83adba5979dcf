/** Node of a syntax tree as libpg-query returns it. */
export type AstNode = Record<string, any>;

/**
 * Calls a visitor for each field of a syntax tree, with the name and value of the field.
 *
 * @param tree - a node, or a list of nodes
 * @param visitor - called for a field before the fields below it
 */
export function visitFields(tree: unknown, visitor: (field: string, value: AstNode) => void): void {
  if (Array.isArray(tree)) {
    for (const item of tree) visitFields(item, visitor);
    return;
  }
  if (tree === null || typeof tree !== 'object') return;
  for (const [field, value] of Object.entries(tree)) {
    visitor(field, value as AstNode);
    visitFields(value, visitor);
  }
}

/**
 * @param node - a node
 * @returns text of a constant; undefined if the node is none
 */
export function readConstant(node: AstNode | undefined): string | undefined {
  const constant = node?.A_Const;
  const value =
    constant?.sval?.sval ??
    constant?.ival?.ival ??
    constant?.fval?.fval ??
    constant?.boolval?.boolval;
  return value === undefined ? undefined : String(value);
}
