import { findRefusedParameter } from './parameter-statements.js';
import { type AstNode, readConstant, visitFields } from './syntax-tree.js';

/** Schema of the functions with which the proxy controls members; callers must not use it. */
const CONTROL_SCHEMA = 'heatherledge';
/** Those that change a member; without a schema, the search path of the proxy's user finds them. */
const ORDER_FUNCTIONS = new Set(['fence', 'promote', 'follow', 'quiesce']);
/** Functions that take or release locks of a session instead of a transaction. */
const SESSION_LOCK_FUNCTIONS = /^pg_(try_)?advisory_(un)?lock/;
const CONTROL_REFUSAL = 'an order to a member';

/** Features named in refusals, by the type of the statement node. */
const REFUSED_STATEMENTS: ReadonlyMap<string, string> = new Map([
  ['ListenStmt', 'LISTEN'],
  ['UnlistenStmt', 'UNLISTEN'],
  ['NotifyStmt', 'NOTIFY'],
  ['PrepareStmt', 'PREPARE as a statement'],
  ['ExecuteStmt', 'EXECUTE as a statement'],
  ['DeallocateStmt', 'DEALLOCATE as a statement'],
  ['CopyStmt', 'COPY'],
  ['LoadStmt', 'LOAD'],
]);

/**
 * Finds what callers may not do, anywhere in a statement.
 *
 * @param statement - syntax tree of a statement
 * @returns name of the feature; undefined if there is none
 */
export function findRefusedFeature(statement: AstNode): string | undefined {
  let refused: string | undefined;
  visitFields(statement, (field, value) => {
    refused ??= REFUSED_STATEMENTS.get(field);
    if (field === 'FuncCall') refused ??= findRefusedCall(value);
    // The body of a function or DO block is a text of another language.
    if (field === 'DefElem' && value.defname === 'as') refused ??= findControlText(value.arg);
  });
  return refused;
}

function findRefusedCall(call: AstNode): string | undefined {
  const names = readFunctionName(call);
  const name = names.at(-1) ?? '';
  if (names.at(-2) === CONTROL_SCHEMA) return CONTROL_REFUSAL;
  if (names.length === 1 && ORDER_FUNCTIONS.has(name)) return CONTROL_REFUSAL;
  if (SESSION_LOCK_FUNCTIONS.test(name)) return 'a session advisory lock';
  return name === 'set_config' ? findRefusedSetConfig(call) : undefined;
}

function findRefusedSetConfig(call: AstNode): string | undefined {
  const [name, value, isLocal] = (call.args ?? []).map(readConstant) as (string | undefined)[];
  if (name === undefined || isLocal !== 'true') return 'set_config beyond a transaction';
  return findRefusedParameter(name.toLowerCase(), value?.split(',') ?? []);
}

function findControlText(body: unknown): string | undefined {
  return JSON.stringify(body ?? '').includes(CONTROL_SCHEMA) ? CONTROL_REFUSAL : undefined;
}

/**
 * @param call - a FuncCall node
 * @returns parts of the function's name, its schema first
 */
export function readFunctionName(call: AstNode): string[] {
  return call.funcname.map((part: AstNode) => part.String?.sval ?? '');
}
