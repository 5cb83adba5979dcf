import { loadModule, parseSync } from 'libpg-query';

/** Node of a syntax tree as libpg-query returns it. */
type AstNode = Record<string, any>;

/** Class of a statement, which decides where and how it runs. */
export type StatementClass =
  | { readonly kind: 'read' }
  | { readonly kind: 'write' }
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  /** Sets one of the proxy's own parameters. */
  | { readonly kind: 'set-proxy'; readonly name: string; readonly value: string }
  | { readonly kind: 'show-proxy'; readonly name: string }
  /** Sets a session parameter, which the proxy keeps and applies to each connection it uses. */
  | { readonly kind: 'set-session'; readonly name: string; readonly text: string }
  | { readonly kind: 'reset-session' }
  /** Needs a dedicated connection, which transaction pooling does not provide. */
  | { readonly kind: 'refused'; readonly feature: string }
  /** Cannot be parsed; the member reports the syntax error. */
  | { readonly kind: 'invalid' };

/** Prefix of the proxy's own parameters. */
export const PROXY_PARAMETER_PREFIX = 'heatherledge.';

/** Features named in refusals, by the type of the statement node. */
const REFUSED_STATEMENTS: Record<string, string> = {
  ListenStmt: 'LISTEN',
  UnlistenStmt: 'UNLISTEN',
  NotifyStmt: 'NOTIFY',
  PrepareStmt: 'PREPARE as a statement',
  ExecuteStmt: 'EXECUTE as a statement',
  DeallocateStmt: 'DEALLOCATE as a statement',
  CopyStmt: 'COPY',
  LoadStmt: 'LOAD',
};

/** Functions that make a SELECT a write. */
const WRITING_FUNCTIONS = new Set([
  'nextval',
  'setval',
  'pg_advisory_xact_lock',
  'pg_try_advisory_xact_lock',
  'txid_current',
  'pg_current_xact_id',
]);
/** Functions that take or release locks of a session instead of a transaction. */
const SESSION_LOCK_FUNCTIONS = /^pg_(try_)?advisory_(un)?lock/;
/** Schema of the functions with which the proxy controls members; callers must not use it. */
const CONTROL_SCHEMA = 'heatherledge';

/** Classifies statements with PostgreSQL's grammar and caches the classes by SQL text. */
export class StatementClassifier {
  private readonly cache = new Map<string, readonly StatementClass[]>();

  /** @param cacheSize - maximum number of cached texts; the oldest entry is evicted first */
  constructor(private readonly cacheSize: number) {}

  /** Loads the parser; must be awaited once per process before the first call of `classify`. */
  static async load(): Promise<void> {
    await loadModule();
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
  const refused = REFUSED_STATEMENTS[nodeType];
  if (refused !== undefined) return { kind: 'refused', feature: refused };
  switch (nodeType) {
    case 'TransactionStmt':
      return classifyTransaction(body);
    case 'VariableSetStmt':
      return classifySet(body, text);
    case 'VariableShowStmt':
      return body.name?.startsWith(PROXY_PARAMETER_PREFIX)
        ? { kind: 'show-proxy', name: body.name.slice(PROXY_PARAMETER_PREFIX.length) }
        : { kind: 'read' };
    case 'DiscardStmt':
      return { kind: 'reset-session' };
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

function classifyTransaction(body: AstNode): StatementClass {
  switch (body.kind) {
    case 'TRANS_STMT_BEGIN':
    case 'TRANS_STMT_START':
      return { kind: 'begin', readOnly: isReadOnly(body) };
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

function classifySet(body: AstNode, text: string): StatementClass {
  const name: string = body.name ?? '';
  if (name.startsWith(PROXY_PARAMETER_PREFIX)) {
    const constant = body.args?.[0]?.A_Const;
    const value = constant?.sval?.sval ?? constant?.ival?.ival ?? constant?.fval?.fval ?? '';
    return {
      kind: 'set-proxy',
      name: name.slice(PROXY_PARAMETER_PREFIX.length),
      value: String(value),
    };
  }
  if (body.is_local || name === 'TRANSACTION') return { kind: 'read' };
  if (body.kind === 'VAR_RESET_ALL') return { kind: 'reset-session' };
  return { kind: 'set-session', name, text };
}

function classifySelect(body: AstNode): StatementClass {
  if (body.intoClause) return { kind: 'write' };
  let kind: 'read' | 'write' = 'read';
  let refused: string | undefined;
  visitFields(body, (field, value) => {
    if (field === 'lockingClause' || field.endsWith('Stmt')) {
      if (field !== 'SelectStmt') kind = 'write';
    }
    if (field !== 'FuncCall') return;
    const names: string[] = value.funcname.map((part: AstNode) => part.String?.sval ?? '');
    const name = names.at(-1) ?? '';
    if (names.length > 1 && names[0] === CONTROL_SCHEMA) refused = 'an order to a member';
    if (SESSION_LOCK_FUNCTIONS.test(name)) refused = 'a session advisory lock';
    if (WRITING_FUNCTIONS.has(name)) kind = 'write';
  });
  return refused === undefined ? { kind } : { kind: 'refused', feature: refused };
}

function isTemporary(body: AstNode): boolean {
  const relation = body.relation ?? body.into?.rel;
  return relation?.relpersistence === 't';
}

/** Calls a visitor for each field of a syntax tree, with the name and value of the field. */
function visitFields(tree: unknown, visitor: (field: string, value: AstNode) => void): void {
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
