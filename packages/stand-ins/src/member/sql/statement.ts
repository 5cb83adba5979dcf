import { loadModule, parseSync } from 'libpg-query';
import {
  describeTargets,
  executeSelect,
  type ResultColumn,
  type StatementResult,
} from './execute-select.js';
import {
  executeCreateTable,
  executeDelete,
  executeDropTable,
  executeInsert,
  executeUpdate,
  type StatementContext,
} from './execute-write.js';
import type { TableOverlay } from './table-store.js';
import { SqlError } from './values.js';

/** A parse tree node, or the body of one. */
type ParseNode = Record<string, any>;

/**
 * Class of a statement, by which the member decides how to run it. `read` is a SELECT; `write`
 * changes data or locks rows; `control` calls a function of the schema `heatherledge`; `session` is
 * any other statement; only those that set or show session parameters have an effect.
 */
export type StatementKind =
  'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'control' | 'session';

/** A parsed statement. */
export interface Statement {
  readonly kind: StatementKind;
  /** Node type in PostgreSQL's parse tree, such as `SelectStmt`. */
  readonly nodeType: string;
  /** Body of that node. */
  readonly body: ParseNode;
}

/** Functions that execute the statements of the kind `write`, by node type. */
const EXECUTORS: Record<string, (body: ParseNode, context: StatementContext) => StatementResult> = {
  InsertStmt: executeInsert,
  UpdateStmt: executeUpdate,
  DeleteStmt: executeDelete,
  CreateStmt: executeCreateTable,
  DropStmt: executeDropTable,
};

const TRANSACTION_KINDS: Record<string, StatementKind> = {
  TRANS_STMT_BEGIN: 'begin',
  TRANS_STMT_START: 'begin',
  TRANS_STMT_COMMIT: 'commit',
  TRANS_STMT_ROLLBACK: 'rollback',
};

/** Loads PostgreSQL's parser; must be awaited before {@link parseStatements}. */
export async function loadParser(): Promise<void> {
  await loadModule();
}

/**
 * Parses SQL with PostgreSQL's own parser. A prepared statement is parsed once.
 *
 * @param text - SQL text
 * @returns its statements
 * @throws SqlError if the text has a syntax error
 */
export function parseStatements(text: string): Statement[] {
  let tree: ParseNode;
  try {
    tree = parseSync(text) as ParseNode;
  } catch (error) {
    throw new SqlError('42601', error instanceof Error ? error.message : 'syntax error');
  }
  return (tree.stmts ?? []).map(({ stmt }: ParseNode) => createStatement(stmt));
}

/**
 * Executes a statement on the transaction's tables.
 *
 * @param statement - a statement of the kind `read` or `write`
 * @param context - parameters and tables
 * @returns the result
 * @throws SqlError if the statement is not supported or fails
 */
export function executeStatement(statement: Statement, context: StatementContext): StatementResult {
  if (statement.kind === 'read') {
    return executeSelect(statement.body, context.params, context.tables);
  }
  const execute = EXECUTORS[statement.nodeType];
  if (execute === undefined) {
    throw new SqlError('0A000', `${statement.nodeType} is not supported by the stand-in`);
  }
  return execute(statement.body, context);
}

/**
 * Determines the result columns of a statement without executing it.
 *
 * @param statement - the statement
 * @param tables - the tables as the transaction sees them
 * @returns the columns; undefined if the statement returns no rows
 */
export function describeStatement(
  statement: Statement,
  tables: TableOverlay,
): readonly ResultColumn[] | undefined {
  const { body } = statement;
  if (statement.kind === 'control') return [{ name: 'answer', type: 'text' }];
  if (statement.nodeType === 'VariableShowStmt') return [{ name: body.name, type: 'text' }];
  if (statement.kind === 'read') {
    const name = body.fromClause?.[0]?.RangeVar?.relname as string | undefined;
    return describeTargets(body.targetList ?? [], name ? tables.getDefinition(name) : undefined);
  }
  const targets = body.returningClause?.exprs ?? body.returningList;
  if (statement.kind !== 'write' || targets === undefined) return undefined;
  return describeTargets(targets, tables.getDefinition(body.relation.relname));
}

/**
 * Counts the parameters of a statement.
 *
 * @param statement - the statement
 * @returns the highest parameter number that it refers to; 0 without parameters
 */
export function countParameters(statement: Statement): number {
  const matches = [...JSON.stringify(statement.body).matchAll(/"ParamRef":\{"number":(\d+)/g)];
  return matches.reduce((highest, match) => Math.max(highest, Number(match[1])), 0);
}

function createStatement(stmt: ParseNode): Statement {
  const [nodeType, body] = Object.entries(stmt)[0] as [string, ParseNode];
  return { nodeType, body, kind: resolveStatementKind(nodeType, body) };
}

function resolveStatementKind(nodeType: string, body: ParseNode): StatementKind {
  if (nodeType === 'TransactionStmt') return TRANSACTION_KINDS[body.kind] ?? 'session';
  if (nodeType === 'SelectStmt') {
    if (body.lockingClause) return 'write';
    const call = body.targetList?.[0]?.ResTarget?.val?.FuncCall;
    if (call?.funcname.at(-1)?.String?.sval === 'set_config') return 'session';
    const isControl = call?.funcname[0]?.String?.sval === 'heatherledge';
    return isControl ? 'control' : 'read';
  }
  return nodeType in EXECUTORS ? 'write' : 'session';
}
