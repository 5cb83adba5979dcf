import { loadModule, parseSync } from 'libpg-query';
import { findRefusedFeature, readFunctionName } from './function-calls.js';
import {
  classifyDiscard,
  classifySet,
  classifyShow,
  type ParameterClass,
} from './parameter-statements.js';
import { type AstNode, visitFields } from './syntax-tree.js';

/** Class of a statement, which decides where and how it runs. */
export type StatementClass =
  | ParameterClass
  | {
      readonly kind: 'read' | 'write';
      /** Whether it may leave other session parameters on its connection. */
      readonly changesParameters?: boolean;
    }
  /** The text is that of this statement only. */
  | { readonly kind: 'begin'; readonly readOnly: boolean; readonly text: string }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  /** Needs a dedicated connection, which transaction pooling does not provide. */
  | { readonly kind: 'refused'; readonly feature: string }
  /** Cannot be parsed; the member reports the syntax error. */
  | { readonly kind: 'invalid' };

/** Functions that make a SELECT a write. */
const WRITING_FUNCTIONS = new Set([
  'nextval',
  'setval',
  'pg_advisory_xact_lock',
  'pg_try_advisory_xact_lock',
  'txid_current',
  'pg_current_xact_id',
]);
/** Longer texts are not cached, as they are rarely sent twice and would fill the memory. */
const MAX_CACHED_TEXT_LENGTH = 4096;

/** Classifies statements with PostgreSQL's grammar and caches the classes by SQL text. */
export class StatementClassifier {
  private readonly cache = new Map<string, readonly StatementClass[]>();

  /** @param cacheSize - maximum number of cached texts; the oldest entry is evicted first */
  constructor(private readonly cacheSize: number) {}

  /** Loads the parser; must be awaited once per process before the first call of `classify`. */
  static async load(): Promise<void> {
    await loadModule();
  }

  /** @returns length of all cached texts together */
  get cachedLength(): number {
    return [...this.cache.keys()].reduce((sum, text) => sum + text.length, 0);
  }

  /**
   * Classifies the statements of an SQL text.
   *
   * @param text - SQL text
   * @returns the class of each statement, in order
   */
  classify(text: string): readonly StatementClass[] {
    const cached = this.cache.get(text);
    if (cached !== undefined) return cached;
    const classes = classifyText(text);
    if (text.length > MAX_CACHED_TEXT_LENGTH) return classes;
    if (this.cache.size >= this.cacheSize) {
      this.cache.delete(this.cache.keys().next().value as string);
    }
    this.cache.set(text, classes);
    return classes;
  }
}

function classifyText(text: string): StatementClass[] {
  try {
    const tree = parseSync(text) as AstNode;
    return (tree.stmts ?? []).map((raw: AstNode) => classifyStatement(raw.stmt, text));
  } catch {
    return [{ kind: 'invalid' }];
  }
}

function classifyStatement(statement: AstNode, text: string): StatementClass {
  const [nodeType, body] = Object.entries(statement)[0] as [string, AstNode];
  const refused = findRefusedFeature(statement);
  if (refused !== undefined) return { kind: 'refused', feature: refused };
  switch (nodeType) {
    case 'TransactionStmt':
      return classifyTransaction(body, text);
    case 'VariableSetStmt':
      return classifySet(body, text);
    case 'VariableShowStmt':
      return classifyShow(body);
    case 'DiscardStmt':
      return classifyDiscard(body);
    case 'DoStmt':
    case 'CallStmt':
      return { kind: 'write', changesParameters: true };
    case 'SelectStmt':
      return classifySelect(body);
    case 'ExplainStmt':
      return classifyStatement(body.query, text);
    case 'CreateStmt':
    case 'CreateTableAsStmt':
      return isTemporary(body)
        ? { kind: 'refused', feature: 'a temporary table' }
        : { kind: 'write' };
    case 'DeclareCursorStmt':
      // Bit 32 is WITH HOLD: such a cursor outlives its transaction.
      return (body.options & 32) === 32
        ? { kind: 'refused', feature: 'a cursor WITH HOLD' }
        : { kind: 'read' };
    default:
      return { kind: 'write' };
  }
}

function classifyTransaction(body: AstNode, text: string): StatementClass {
  switch (body.kind) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return { kind: 'begin', readOnly: isReadOnly(body), text };
    case 'TRANS_STMT_COMMIT':
      return { kind: 'commit' };
    case 'TRANS_STMT_ROLLBACK':
      return { kind: 'rollback' };
    case 'TRANS_STMT_PREPARE':
    case 'TRANS_STMT_COMMIT_PREPARED':
    case 'TRANS_STMT_ROLLBACK_PREPARED':
      return { kind: 'refused', feature: 'two-phase commit' };
    default:
      return { kind: 'write' };
  }
}

function isReadOnly(body: AstNode): boolean {
  return (body.options ?? []).some(
    (option: AstNode) =>
      option.DefElem?.defname === 'transaction_read_only' &&
      option.DefElem.arg?.A_Const?.ival?.ival === 1,
  );
}

function classifySelect(body: AstNode): StatementClass {
  let kind: 'read' | 'write' = body.intoClause ? 'write' : 'read';
  let changesParameters = false;
  visitFields(body, (field, value) => {
    const isOtherStatement = field.endsWith('Stmt') && field !== 'SelectStmt';
    if (field === 'lockingClause' || isOtherStatement) kind = 'write';
    if (field !== 'FuncCall') return;
    const name = readFunctionName(value).at(-1) ?? '';
    if (WRITING_FUNCTIONS.has(name)) kind = 'write';
    if (name === 'set_config') changesParameters = true;
  });
  return changesParameters ? { kind, changesParameters } : { kind };
}

function isTemporary(body: AstNode): boolean {
  const relation = body.relation ?? body.into?.rel;
  return relation?.relpersistence === 't';
}
