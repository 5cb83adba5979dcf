import { evaluate } from './sql/evaluate.js';
import type { StatementResult } from './sql/execute-select.js';
import type { Statement } from './sql/statement.js';
import type { SqlValue } from './sql/values.js';

/** Parameters that RESET ALL leaves as they are, as in PostgreSQL. */
const KEPT_BY_RESET_ALL = new Set(['role', 'session_authorization']);

const DEFAULT_VALUES: ReadonlyMap<string, string> = new Map([
  ['search_path', '"$user", public'],
  ['role', 'none'],
  ['session_authorization', 'heatherledge'],
  ['datestyle', 'ISO, MDY'],
]);

/** Session parameters of a member's session, by name. Only those that forbid writes have an effect beside SHOW. */
export class SessionParameters {
  private values = new Map<string, string>();

  /** Values that COMMIT makes lasting; undefined outside of transactions. */
  private lasting: Map<string, string> | undefined;

  private valuesAtBegin = new Map<string, string>();

  /** @returns whether the session or its transaction refuses writes */
  get isReadOnly(): boolean {
    const value =
      this.values.get('transaction_read_only') ?? this.values.get('default_transaction_read_only');
    return value === 'on' || value === 'true';
  }

  /**
   * Starts a transaction.
   *
   * @param statement - the BEGIN statement
   */
  begin({ body }: Statement): void {
    this.valuesAtBegin = new Map(this.values);
    this.lasting = new Map(this.values);
    const value = readAccessMode(body.options);
    if (value !== undefined) this.values.set('transaction_read_only', value);
  }

  /** Ends a transaction; what was set for the transaction only is undone. */
  commit(): void {
    if (this.lasting !== undefined) this.values = this.lasting;
    this.lasting = undefined;
  }

  /** Ends a transaction; everything that it has set is undone. */
  rollback(): void {
    if (this.lasting !== undefined) this.values = this.valuesAtBegin;
    this.lasting = undefined;
  }

  /**
   * Executes SET, RESET, SHOW, DISCARD ALL or `SELECT set_config(...)`; other statements have no effect.
   *
   * @param statement - a statement of the kind `session`
   * @param params - values of its parameters
   * @param isInTransaction - whether a transaction is open
   * @returns the result
   */
  execute(
    statement: Statement,
    params: readonly SqlValue[],
    isInTransaction: boolean,
  ): StatementResult {
    const { nodeType, body } = statement;
    if (nodeType === 'VariableShowStmt') return this.show(body.name as string);
    if (nodeType === 'SelectStmt') return this.runSetConfig(body, params, isInTransaction);
    if (nodeType === 'DiscardStmt') this.update((values) => values.clear());
    if (nodeType === 'VariableSetStmt') this.set(body, isInTransaction);
    return { tag: 'SET', rows: [] };
  }

  private show(name: string): StatementResult {
    const value = this.values.get(name) ?? DEFAULT_VALUES.get(name) ?? '';
    return { tag: 'SHOW', columns: [{ name, type: 'text' }], rows: [[value]] };
  }

  private set(body: Statement['body'], isInTransaction: boolean): void {
    const name = (body.name ?? '') as string;
    const isLocal = body.is_local === true;
    if (isLocal && !isInTransaction) return;
    if (body.kind === 'VAR_RESET_ALL') {
      this.update((values) => {
        for (const key of values.keys()) if (!KEPT_BY_RESET_ALL.has(key)) values.delete(key);
      });
      return;
    }
    if (body.kind === 'VAR_SET_MULTI') {
      this.setCharacteristics(name, readAccessMode(body.args));
      return;
    }
    const value = body.kind === 'VAR_SET_VALUE' ? formatArguments(body) : undefined;
    this.put(name, value, isLocal);
    if (name === 'session_authorization') this.put('role', undefined, isLocal);
  }

  private setCharacteristics(name: string, accessMode: string | undefined): void {
    if (accessMode === undefined) return;
    if (name === 'TRANSACTION') this.put('transaction_read_only', accessMode, true);
    else this.put('default_transaction_read_only', accessMode, false);
  }

  private runSetConfig(
    body: Statement['body'],
    params: readonly SqlValue[],
    isInTransaction: boolean,
  ): StatementResult {
    const call = body.targetList[0].ResTarget.val.FuncCall;
    const [name, value, isLocal] = call.args.map((arg: unknown) => evaluate(arg, { params }));
    if (isLocal !== true || isInTransaction) {
      this.put(String(name).toLowerCase(), String(value), isLocal === true);
    }
    return { tag: 'SELECT 1', columns: [{ name: 'set_config', type: 'text' }], rows: [[value]] };
  }

  private put(name: string, value: string | undefined, isLocal: boolean): void {
    this.update((values) => {
      if (value === undefined) values.delete(name);
      else values.set(name, value);
    }, isLocal);
  }

  private update(change: (values: Map<string, string>) => void, isLocal = false): void {
    change(this.values);
    if (this.lasting !== undefined && !isLocal) change(this.lasting);
  }
}

function formatArguments(body: Statement['body']): string {
  return (body.args ?? [])
    .map(({ A_Const: constant }: Statement['body']) =>
      String(constant?.sval?.sval ?? constant?.ival?.ival ?? constant?.fval?.fval ?? ''),
    )
    .join(', ');
}

/** Returns on or off as set by READ ONLY or READ WRITE among the options of a transaction. */
function readAccessMode(options: readonly Statement['body'][] = []): string | undefined {
  const option = options.find(({ DefElem: item }) => item?.defname === 'transaction_read_only');
  if (option === undefined) return undefined;
  return option.DefElem.arg.A_Const.ival.ival === 1 ? 'on' : 'off';
}
