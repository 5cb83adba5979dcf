/** Tells what a statement does, by PostgreSQL's own grammar. */
import { loadModule, parseSync } from 'libpg-query';

type Tree = Record<string, any>;

/** What one statement does. */
export type StatementClass =
  | { readonly kind: 'read' }
  | { readonly kind: 'write' }
  | { readonly kind: 'begin'; readonly readOnly: boolean }
  | { readonly kind: 'commit' }
  | { readonly kind: 'rollback' }
  /** Sets one of the proxy's own parameters. */
  | { readonly kind: 'set-proxy'; readonly name: string; readonly value: string }
  | { readonly kind: 'show-proxy'; readonly name: string }
  /** Sets a session parameter, kept by the proxy and applied to each connection used. */
  | { readonly kind: 'set-session'; readonly name: string; readonly text: string }
  | { readonly kind: 'reset-session' }
  /** Needs a connection of its own, which a transaction pool does not give. */
  | { readonly kind: 'refused'; readonly feature: string }
  /** Not SQL; the member says what is wrong with it. */
  | { readonly kind: 'invalid' };

/** Prefix of the proxy's own parameters. */
export const PROXY_PREFIX = 'heatherledge.';

const REFUSED: Record<string, string> = {
  ListenStmt: 'LISTEN',
  UnlistenStmt: 'UNLISTEN',
  NotifyStmt: 'NOTIFY',
  PrepareStmt: 'PREPARE as a statement',
  ExecuteStmt: 'EXECUTE as a statement',
  DeallocateStmt: 'DEALLOCATE as a statement',
  CopyStmt: 'COPY',
  LoadStmt: 'LOAD',
};

/** Functions that read nothing but change something. */
const WRITING_FUNCTIONS = new Set([
  'nextval',
  'setval',
  'pg_advisory_xact_lock',
  'pg_try_advisory_xact_lock',
  'txid_current',
  'pg_current_xact_id',
]);
const SESSION_FUNCTIONS = /^pg_(try_)?advisory_(un)?lock/;
const CONTROL_SCHEMA = 'heatherledge';

/** Classifies statements and remembers recent ones by their text. */
export class StatementClassifier {
  private readonly cache = new Map<string, readonly StatementClass[]>();

  /** @param cacheSize - how many texts are remembered */
  constructor(private readonly cacheSize: number) {}

  /** Loads the grammar; must be awaited once per process. */
  static async load(): Promise<void> {
    await loadModule();
  }

  /**
   * @param text - SQL text
   * @returns the class of each of its statements
   */
  classify(text: string): readonly StatementClass[] {
    const known = this.cache.get(text);
    if (known !== undefined) return known;
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
    const tree = parseSync(text) as Tree;
    return (tree.stmts ?? []).map((raw: Tree) => classifyStatement(raw.stmt, text));
  } catch {
    return [{ kind: 'invalid' }];
  }
}

function classifyStatement(stmt: Tree, text: string): StatementClass {
  const [node, body] = Object.entries(stmt)[0] as [string, Tree];
  const refused = REFUSED[node];
  if (refused !== undefined) return { kind: 'refused', feature: refused };
  switch (node) {
    case 'TransactionStmt':
      return classifyTransaction(body);
    case 'VariableSetStmt':
      return classifySet(body, text);
    case 'VariableShowStmt':
      return body.name?.startsWith(PROXY_PREFIX)
        ? { kind: 'show-proxy', name: body.name.slice(PROXY_PREFIX.length) }
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
      // Bit 32 is WITH HOLD: such a cursor would outlive its transaction.
      return (body.options & 32) === 32
        ? { kind: 'refused', feature: 'a cursor WITH HOLD' }
        : { kind: 'read' };
    default:
      return { kind: 'write' };
  }
}

function classifyTransaction(body: Tree): StatementClass {
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

function isReadOnly(body: Tree): boolean {
  return (body.options ?? []).some(
    (option: Tree) =>
      option.DefElem?.defname === 'transaction_read_only' &&
      option.DefElem.arg?.A_Const?.ival?.ival === 1,
  );
}

function classifySet(body: Tree, text: string): StatementClass {
  const name: string = body.name ?? '';
  if (name.startsWith(PROXY_PREFIX)) {
    const constant = body.args?.[0]?.A_Const;
    const value = constant?.sval?.sval ?? constant?.ival?.ival ?? constant?.fval?.fval ?? '';
    return { kind: 'set-proxy', name: name.slice(PROXY_PREFIX.length), value: String(value) };
  }
  if (body.is_local || name === 'TRANSACTION') return { kind: 'read' };
  if (body.kind === 'VAR_RESET_ALL') return { kind: 'reset-session' };
  return { kind: 'set-session', name, text };
}

function classifySelect(body: Tree): StatementClass {
  if (body.intoClause) return { kind: 'write' };
  let kind: 'read' | 'write' = 'read';
  let refused: string | undefined;
  visit(body, (node, value) => {
    if (node === 'lockingClause' || node.endsWith('Stmt')) {
      if (node !== 'SelectStmt') kind = 'write';
    }
    if (node !== 'FuncCall') return;
    const names: string[] = value.funcname.map((part: Tree) => part.String?.sval ?? '');
    const name = names.at(-1) ?? '';
    if (names.length > 1 && names[0] === CONTROL_SCHEMA) refused = 'an order to a member';
    if (SESSION_FUNCTIONS.test(name)) refused = 'a session advisory lock';
    if (WRITING_FUNCTIONS.has(name)) kind = 'write';
  });
  return refused === undefined ? { kind } : { kind: 'refused', feature: refused };
}

function isTemporary(body: Tree): boolean {
  const relation = body.relation ?? body.into?.rel;
  return relation?.relpersistence === 't';
}

function visit(tree: unknown, see: (node: string, value: Tree) => void): void {
  if (Array.isArray(tree)) {
    for (const item of tree) visit(item, see);
    return;
  }
  if (tree === null || typeof tree !== 'object') return;
  for (const [node, value] of Object.entries(tree)) {
    see(node, value as Tree);
    visit(value, see);
  }
}
