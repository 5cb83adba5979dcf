/** Statements of the stand-in: parsed once by PostgreSQL's own grammar, executed on tables. */
import { loadModule, parseSync } from 'libpg-query';
import {
  describeTargets,
  executeSelect,
  type ResultColumn,
  type StatementResult,
} from './execute-select.js';
import {
  executeCreate,
  executeDelete,
  executeDrop,
  executeInsert,
  executeUpdate,
  type WriteContext,
} from './execute-write.js';
import type { TableOverlay } from './table-store.js';
import { SqlFailure } from './values.js';

type Tree = Record<string, any>;

/** What a statement does, as far as the member must know before running it. */
export type StatementKind =
  'read' | 'write' | 'begin' | 'commit' | 'rollback' | 'control' | 'session';

/** A parsed statement. */
export interface Statement {
  readonly kind: StatementKind;
  readonly node: string;
  readonly body: Tree;
}

const WRITES: Record<string, (body: Tree, context: WriteContext) => StatementResult> = {
  InsertStmt: executeInsert,
  UpdateStmt: executeUpdate,
  DeleteStmt: executeDelete,
  CreateStmt: executeCreate,
  DropStmt: executeDrop,
};

const TRANSACTION_KINDS: Record<string, StatementKind> = {
  TRANS_STMT_BEGIN: 'begin',
  TRANS_STMT_START: 'begin',
  TRANS_STMT_COMMIT: 'commit',
  TRANS_STMT_ROLLBACK: 'rollback',
};

/** Loads the grammar; must be awaited before {@link parseStatements}. */
export async function loadGrammar(): Promise<void> {
  await loadModule();
}

/**
 * @param text - SQL text
 * @returns its statements
 * @throws SqlFailure if the text is not SQL
 */
export function parseStatements(text: string): Statement[] {
  let tree: Tree;
  try {
    tree = parseSync(text) as Tree;
  } catch (error) {
    throw new SqlFailure('42601', error instanceof Error ? error.message : 'syntax error');
  }
  return (tree.stmts ?? []).map(({ stmt }: Tree) => createStatement(stmt));
}

/**
 * @param statement - a read or a write
 * @param context - parameters and tables
 * @returns what it gives back
 */
export function executeStatement(statement: Statement, context: WriteContext): StatementResult {
  if (statement.kind === 'read') {
    return executeSelect(statement.body, context.params, context.tables);
  }
  const execute = WRITES[statement.node];
  if (execute === undefined) {
    throw new SqlFailure('0A000', `${statement.node} is not supported by the stand-in`);
  }
  return execute(statement.body, context);
}

/**
 * @param statement - a statement
 * @param tables - what the transaction sees
 * @returns the columns that it will return, or undefined if it returns none
 */
export function describeStatement(
  statement: Statement,
  tables: TableOverlay,
): readonly ResultColumn[] | undefined {
  const { body } = statement;
  if (statement.kind === 'control') return [{ name: 'answer', type: 'text' }];
  if (statement.kind === 'read') {
    const name = body.fromClause?.[0]?.RangeVar?.relname as string | undefined;
    return describeTargets(
      body.targetList ?? [],
      name ? tables.resolveDefinition(name) : undefined,
    );
  }
  const targets = body.returningClause?.exprs ?? body.returningList;
  if (statement.kind !== 'write' || targets === undefined) return undefined;
  return describeTargets(targets, tables.resolveDefinition(body.relation.relname));
}

/**
 * @param statement - a statement
 * @returns number of parameters that it refers to
 */
export function countParameters(statement: Statement): number {
  const numbers = [...JSON.stringify(statement.body).matchAll(/"ParamRef":\{"number":(\d+)/g)];
  return numbers.reduce((most, match) => Math.max(most, Number(match[1])), 0);
}

function createStatement(stmt: Tree): Statement {
  const [node, body] = Object.entries(stmt)[0] as [string, Tree];
  return { node, body, kind: resolveKind(node, body) };
}

function resolveKind(node: string, body: Tree): StatementKind {
  if (node === 'TransactionStmt') return TRANSACTION_KINDS[body.kind] ?? 'session';
  if (node === 'SelectStmt') {
    if (body.lockingClause) return 'write';
    const call = body.targetList?.[0]?.ResTarget?.val?.FuncCall;
    const isControl = call?.funcname[0]?.String?.sval === 'heatherledge';
    return isControl ? 'control' : 'read';
  }
  return node in WRITES ? 'write' : 'session';
}
