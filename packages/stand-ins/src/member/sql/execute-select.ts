import { evaluate, type EvaluationScope } from './evaluate.js';
import type { TableDefinition, TableOverlay } from './table-store.js';
import { compareValues, SqlError, type SqlRow, type SqlType, type SqlValue } from './values.js';

/** A parse tree node, or the body of one. */
type ParseNode = Record<string, any>;

/** A column of a result set. */
export interface ResultColumn {
  readonly name: string;
  readonly type: SqlType;
}

/** The result of a statement. */
export interface StatementResult {
  /** Tag of the CommandComplete message. */
  readonly tag: string;
  /** Undefined for statements that return no rows. */
  readonly columns?: readonly ResultColumn[];
  readonly rows: readonly (readonly SqlValue[])[];
}

const AGGREGATE_FUNCTIONS = new Set(['count', 'sum', 'min', 'max']);

/**
 * Executes a SELECT on one table or none, without GROUP BY.
 *
 * @param select - body of a SelectStmt
 * @param params - values of the parameters
 * @param tables - the tables as the transaction sees them
 * @returns the selected rows
 * @throws SqlError if the statement is not supported or an expression fails
 */
export function executeSelect(
  select: ParseNode,
  params: readonly SqlValue[],
  tables: TableOverlay,
): StatementResult {
  const table = findTable(select, tables);
  const columns = describeTargets(select.targetList ?? [], table);
  const scope = { params };
  const matching = table ? [...findRows(table, select.whereClause, scope, tables)] : [{}];
  const hasAggregate = (select.targetList ?? []).some((target: ParseNode) => isAggregate(target));
  const selected = hasAggregate ? matching : sortAndLimit(select, matching, scope);
  const rows = hasAggregate
    ? [projectAggregates(select.targetList, selected, params)]
    : selected.map((row) => projectRow(select.targetList ?? [], row, params, table));
  return { tag: `SELECT ${rows.length}`, columns, rows };
}

/**
 * Finds the rows of a table that satisfy a WHERE clause, by primary key if possible.
 *
 * @param table - the table
 * @param where - the condition; undefined selects every row
 * @param scope - values of the parameters
 * @param tables - the tables as the transaction sees them
 * @returns the rows for which the condition is true
 */
export function findRows(
  table: TableDefinition,
  where: unknown,
  scope: EvaluationScope,
  tables: TableOverlay,
): SqlRow[] {
  const key = encodeLookupKey(table, where, scope);
  if (key !== undefined) {
    const row = tables.get(table.name, key);
    return row ? [row] : [];
  }
  const rows: SqlRow[] = [];
  for (const [, row] of tables.scan(table.name)) {
    if (where === undefined || evaluate(where, { ...scope, row }) === true) rows.push(row);
  }
  return rows;
}

/**
 * Encodes the primary key of a row as text, under which the row is stored.
 *
 * @param table - the table
 * @param row - one of its rows
 * @returns the encoded key; undefined if the table has no primary key
 */
export function encodePrimaryKey(table: TableDefinition, row: SqlRow): string | undefined {
  if (table.primaryKey.length === 0) return undefined;
  return JSON.stringify(table.primaryKey.map((name) => row[name]));
}

/**
 * Derives the result columns from a target list.
 *
 * @param targets - target list of a SELECT or RETURNING clause
 * @param table - the table that it refers to, if any
 * @returns names and types of the columns
 */
export function describeTargets(
  targets: ParseNode[],
  table: TableDefinition | undefined,
): ResultColumn[] {
  return targets.flatMap((target) => {
    const { name, val } = target.ResTarget as ParseNode;
    if (val.ColumnRef?.fields.at(-1).A_Star) return [...(table?.columns ?? [])];
    return [{ name: name ?? resolveColumnName(val), type: resolveExpressionType(val, table) }];
  });
}

/**
 * Evaluates a target list for one row.
 *
 * @param targets - target list of a SELECT or RETURNING clause
 * @param row - the row that it refers to
 * @param params - values of the parameters
 * @param table - the row's table, if any
 * @returns one value for each result column
 */
export function projectRow(
  targets: ParseNode[],
  row: SqlRow,
  params: readonly SqlValue[],
  table: TableDefinition | undefined,
): SqlValue[] {
  return targets.flatMap((target) => {
    const { val } = target.ResTarget as ParseNode;
    if (val.ColumnRef?.fields.at(-1).A_Star) {
      return (table?.columns ?? []).map(({ name }) => row[name] ?? null);
    }
    return [evaluate(val, { params, row })];
  });
}

function findTable(select: ParseNode, tables: TableOverlay): TableDefinition | undefined {
  const from: ParseNode[] = select.fromClause ?? [];
  if (from.length === 0) return undefined;
  const name = from[0]?.RangeVar?.relname as string | undefined;
  if (from.length > 1 || name === undefined || select.groupClause) {
    throw new SqlError('0A000', 'the stand-in selects from one table only');
  }
  return tables.getDefinition(name);
}

/**
 * Encodes the key if the condition is `key = value` on a single-column primary key, so that the
 * row is looked up without a table scan.
 */
function encodeLookupKey(
  table: TableDefinition,
  where: unknown,
  scope: EvaluationScope,
): string | undefined {
  const expression = (where as ParseNode | undefined)?.A_Expr as ParseNode | undefined;
  if (expression?.kind !== 'AEXPR_OP' || expression.name[0].String.sval !== '=') return undefined;
  const column = expression.lexpr?.ColumnRef?.fields.at(-1)?.String?.sval as string | undefined;
  if (table.primaryKey.length !== 1 || column !== table.primaryKey[0]) return undefined;
  if (!expression.rexpr?.A_Const && !expression.rexpr?.ParamRef) return undefined;
  const type = table.columns.find(({ name }) => name === column)?.type;
  const value = evaluate(expression.rexpr, scope);
  const numeric = type === 'int4' || type === 'int8';
  return JSON.stringify([numeric && value !== null ? Number(value) : value]);
}

/** Applies ORDER BY, OFFSET and LIMIT. NULL sorts above every value, as in PostgreSQL. */
function sortAndLimit(select: ParseNode, rows: SqlRow[], scope: EvaluationScope): SqlRow[] {
  const sorted = select.sortClause ? [...rows] : rows;
  // The sort is stable, so sorting by the last clause first gives the first one precedence.
  for (const clause of [...(select.sortClause ?? [])].reverse()) {
    const { node, sortby_dir: direction } = clause.SortBy;
    const sign = direction === 'SORTBY_DESC' ? -1 : 1;
    sorted.sort((left, right) => {
      const a = evaluate(node, { ...scope, row: left });
      const b = evaluate(node, { ...scope, row: right });
      return sign * (compareValues(a, b) ?? Number(a === null) - Number(b === null));
    });
  }
  const offset = select.limitOffset ? Number(evaluate(select.limitOffset, scope)) : 0;
  const limit = select.limitCount ? Number(evaluate(select.limitCount, scope)) : sorted.length;
  return sorted.slice(offset, offset + limit);
}

function isAggregate(target: ParseNode): boolean {
  const call = target.ResTarget?.val?.FuncCall;
  return call !== undefined && AGGREGATE_FUNCTIONS.has(call.funcname.at(-1).String.sval);
}

function projectAggregates(
  targets: ParseNode[],
  rows: SqlRow[],
  params: readonly SqlValue[],
): SqlValue[] {
  return targets.map((target) => {
    const { val } = target.ResTarget as ParseNode;
    if (!isAggregate(target)) return rows[0] ? evaluate(val, { params, row: rows[0] }) : null;
    return computeAggregate(val.FuncCall, rows, params);
  });
}

function computeAggregate(call: ParseNode, rows: SqlRow[], params: readonly SqlValue[]): SqlValue {
  const name = call.funcname.at(-1).String.sval as string;
  if (call.agg_star) return rows.length;
  const values = rows
    .map((row) => evaluate(call.args[0], { params, row }))
    .filter((value) => value !== null);
  if (name === 'count') return values.length;
  if (values.length === 0) return null;
  if (name === 'sum') return values.reduce<number>((sum, value) => sum + Number(value), 0);
  const sorted = [...values].sort((left, right) => compareValues(left, right) ?? 0);
  return (name === 'min' ? sorted[0] : sorted.at(-1)) ?? null;
}

/** Chooses a column name as PostgreSQL does for a target without an alias. */
function resolveColumnName(val: ParseNode): string {
  if (val.ColumnRef) return val.ColumnRef.fields.at(-1).String.sval;
  if (val.FuncCall) return val.FuncCall.funcname.at(-1).String.sval;
  if (val.TypeCast) return resolveColumnName(val.TypeCast.arg);
  return '?column?';
}

function resolveExpressionType(val: ParseNode, table: TableDefinition | undefined): SqlType {
  if (val.ColumnRef) {
    const name = val.ColumnRef.fields.at(-1).String.sval;
    return table?.columns.find((column) => column.name === name)?.type ?? 'text';
  }
  if (val.FuncCall) return resolveFunctionType(val.FuncCall, table);
  if (val.A_Const?.ival) return 'int4';
  if (val.A_Const?.boolval || val.BoolExpr || val.NullTest) return 'bool';
  if (val.A_Expr) return resolveOperatorType(val.A_Expr, table);
  return 'text';
}

function resolveFunctionType(call: ParseNode, table: TableDefinition | undefined): SqlType {
  const name = call.funcname.at(-1).String.sval as string;
  if (name === 'count' || name === 'sum') return 'int8';
  if (name === 'length') return 'int4';
  if (name === 'min' || name === 'max') return resolveExpressionType(call.args[0], table);
  return 'text';
}

function resolveOperatorType(expression: ParseNode, table: TableDefinition | undefined): SqlType {
  const operator = expression.name[0].String.sval as string;
  if (operator === '||') return 'text';
  if (!'+-*/%'.includes(operator)) return 'bool';
  return expression.lexpr ? resolveExpressionType(expression.lexpr, table) : 'int4';
}
