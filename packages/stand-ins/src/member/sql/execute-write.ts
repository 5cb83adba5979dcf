import { evaluate } from './evaluate.js';
import {
  describeTargets,
  findRows,
  projectRow,
  encodePrimaryKey,
  type StatementResult,
} from './execute-select.js';
import type { ColumnDefinition, TableDefinition, TableOverlay } from './table-store.js';
import { convertValue, resolveSqlType, SqlError, type SqlRow, type SqlValue } from './values.js';

/** A parse tree node, or the body of one. */
type ParseNode = Record<string, any>;

/** Parameters and tables with which a statement is executed. */
export interface StatementContext {
  readonly params: readonly SqlValue[];
  /** The tables as the transaction sees them; changes are recorded here. */
  readonly tables: TableOverlay;
}

/**
 * Executes an INSERT with a VALUES list, ON CONFLICT and RETURNING.
 *
 * @param insert - body of an InsertStmt
 * @param context - parameters and tables
 * @returns the row count and the RETURNING rows
 * @throws SqlError if a constraint is violated or an expression fails
 */
export function executeInsert(insert: ParseNode, context: StatementContext): StatementResult {
  const table = context.tables.getDefinition(insert.relation.relname);
  const names: string[] = (insert.cols ?? []).map((col: ParseNode) => col.ResTarget.name);
  const columnNames = names.length > 0 ? names : table.columns.map(({ name }) => name);
  const written: SqlRow[] = [];
  for (const valuesList of insert.selectStmt?.SelectStmt?.valuesLists ?? []) {
    const row = buildRow(table, columnNames, valuesList.List.items, context);
    const result = insertRow(table, row, insert.onConflictClause, context);
    if (result !== undefined) written.push(result);
  }
  return createResult(`INSERT 0 ${written.length}`, insert, table, written, context);
}

/**
 * Executes an UPDATE.
 *
 * @param update - body of an UpdateStmt
 * @param context - parameters and tables
 * @returns the row count and the RETURNING rows
 * @throws SqlError if a constraint is violated or an expression fails
 */
export function executeUpdate(update: ParseNode, context: StatementContext): StatementResult {
  const table = context.tables.getDefinition(update.relation.relname);
  const rows = findRows(table, update.whereClause, context, context.tables);
  const written = rows.map((row) => updateRow(table, row, update.targetList, { ...context, row }));
  return createResult(`UPDATE ${written.length}`, update, table, written, context);
}

/**
 * Executes a DELETE.
 *
 * @param statement - body of a DeleteStmt
 * @param context - parameters and tables
 * @returns the row count and the RETURNING rows
 * @throws SqlError if an expression fails
 */
export function executeDelete(statement: ParseNode, context: StatementContext): StatementResult {
  const table = context.tables.getDefinition(statement.relation.relname);
  const rows = findRows(table, statement.whereClause, context, context.tables);
  for (const row of rows) context.tables.delete(table.name, getRowKey(table, row));
  return createResult(`DELETE ${rows.length}`, statement, table, rows, context);
}

/**
 * Executes a CREATE TABLE.
 *
 * @param create - body of a CreateStmt
 * @param context - tables that the definition is added to
 * @returns a result without rows
 * @throws SqlError if the table exists and IF NOT EXISTS is absent
 */
export function executeCreateTable(create: ParseNode, context: StatementContext): StatementResult {
  const name = create.relation.relname as string;
  if (context.tables.findDefinition(name)) {
    if (create.if_not_exists) return { tag: 'CREATE TABLE', rows: [] };
    throw new SqlError('42P07', `relation "${name}" already exists`);
  }
  context.tables.createTable(createDefinition(name, create.tableElts));
  return { tag: 'CREATE TABLE', rows: [] };
}

/**
 * Executes a DROP TABLE.
 *
 * @param drop - body of a DropStmt
 * @param context - tables that the definitions are removed from
 * @returns a result without rows
 * @throws SqlError if a table does not exist and IF EXISTS is absent
 */
export function executeDropTable(drop: ParseNode, context: StatementContext): StatementResult {
  for (const object of drop.objects) {
    const name = object.List.items.at(-1).String.sval as string;
    if (!context.tables.findDefinition(name)) {
      if (drop.missing_ok) continue;
      throw new SqlError('42P01', `table "${name}" does not exist`);
    }
    context.tables.dropTable(name);
  }
  return { tag: 'DROP TABLE', rows: [] };
}

function createResult(
  tag: string,
  statement: ParseNode,
  table: TableDefinition,
  written: readonly SqlRow[],
  context: StatementContext,
): StatementResult {
  const targets: ParseNode[] | undefined =
    statement.returningClause?.exprs ?? statement.returningList;
  if (targets === undefined) return { tag, rows: [] };
  const rows = written.map((row) => projectRow(targets, row, context.params, table));
  return { tag, columns: describeTargets(targets, table), rows };
}

/** Hidden column with the row identifier in tables without a primary key; stored with the row. */
const ROW_ID_COLUMN = '__row';

function getRowKey(table: TableDefinition, row: SqlRow): string {
  return encodePrimaryKey(table, row) ?? String(row[ROW_ID_COLUMN]);
}

function buildRow(
  table: TableDefinition,
  names: readonly string[],
  items: readonly ParseNode[],
  context: StatementContext,
): SqlRow {
  const row: Record<string, SqlValue> = {};
  for (const column of table.columns) {
    const index = names.indexOf(column.name);
    const item = index < 0 ? undefined : items[index];
    row[column.name] =
      item === undefined || item.SetToDefault
        ? resolveDefault(table, column, context)
        : convertValue(evaluate(item, context), column.type);
    checkNotNull(table, column, row[column.name] ?? null);
  }
  const unknown = names.find((name) => !table.columns.some((column) => column.name === name));
  if (unknown !== undefined) throw new SqlError('42703', `column "${unknown}" does not exist`);
  if (table.primaryKey.length === 0) row[ROW_ID_COLUMN] = context.tables.allocateSerial(table.name);
  return row;
}

function resolveDefault(
  table: TableDefinition,
  column: ColumnDefinition,
  context: StatementContext,
): SqlValue {
  if (column.serial) return context.tables.allocateSerial(table.name);
  if (column.defaultValue === undefined) return null;
  return convertValue(evaluate(column.defaultValue, context), column.type);
}

function checkNotNull(table: TableDefinition, column: ColumnDefinition, value: SqlValue): void {
  if (value !== null || !column.notNull) return;
  const message = `null value in column "${column.name}" of relation "${table.name}"`;
  throw new SqlError('23502', message);
}

/**
 * Inserts a row, or resolves a conflict on its key by the ON CONFLICT clause.
 *
 * @returns the inserted or updated row; undefined if ON CONFLICT DO NOTHING skipped it
 */
function insertRow(
  table: TableDefinition,
  row: SqlRow,
  conflict: ParseNode | undefined,
  context: StatementContext,
): SqlRow | undefined {
  const key = getRowKey(table, row);
  const existing = context.tables.get(table.name, key);
  if (existing === undefined) {
    context.tables.put(table.name, key, row);
    return row;
  }
  if (conflict?.action === 'ONCONFLICT_NOTHING') return undefined;
  if (conflict?.action === 'ONCONFLICT_UPDATE') {
    const scope = { ...context, row: existing, excluded: row };
    return updateRow(table, existing, conflict.targetList, scope);
  }
  throw new SqlError(
    '23505',
    `duplicate key value violates unique constraint "${table.name}_pkey"`,
  );
}

function updateRow(
  table: TableDefinition,
  row: SqlRow,
  targets: readonly ParseNode[],
  scope: StatementContext & { row: SqlRow; excluded?: SqlRow },
): SqlRow {
  const next: Record<string, SqlValue> = { ...row };
  for (const target of targets) {
    const { name, val } = target.ResTarget;
    const column = table.columns.find((candidate) => candidate.name === name);
    if (!column) throw new SqlError('42703', `column "${name}" does not exist`);
    next[name] = convertValue(evaluate(val, scope), column.type);
    checkNotNull(table, column, next[name] ?? null);
  }
  const [oldKey, newKey] = [getRowKey(table, row), getRowKey(table, next)];
  if (oldKey !== newKey) scope.tables.delete(table.name, oldKey);
  scope.tables.put(table.name, newKey, next);
  return next;
}

function createDefinition(name: string, elements: readonly ParseNode[]): TableDefinition {
  const columns: ColumnDefinition[] = [];
  const primaryKey: string[] = [];
  for (const element of elements) {
    if (element.ColumnDef) columns.push(createColumn(element.ColumnDef, primaryKey));
    else if (element.Constraint?.contype === 'CONSTR_PRIMARY') {
      primaryKey.push(...element.Constraint.keys.map((key: ParseNode) => key.String.sval));
    }
  }
  return { name, columns, primaryKey };
}

/** Creates a column definition and appends its name to `primaryKey` if the column is the key. */
function createColumn(definition: ParseNode, primaryKey: string[]): ColumnDefinition {
  const typeName = definition.typeName.names.at(-1).String.sval as string;
  const constraints: ParseNode[] = (definition.constraints ?? []).map(
    (item: ParseNode) => item.Constraint,
  );
  const isKey = constraints.some(({ contype }) => contype === 'CONSTR_PRIMARY');
  if (isKey) primaryKey.push(definition.colname);
  const defaultConstraint = constraints.find(({ contype }) => contype === 'CONSTR_DEFAULT');
  return {
    name: definition.colname,
    type: resolveSqlType(typeName),
    notNull: isKey || constraints.some(({ contype }) => contype === 'CONSTR_NOTNULL'),
    serial: typeName.includes('serial'),
    defaultValue: defaultConstraint?.raw_expr,
  };
}
