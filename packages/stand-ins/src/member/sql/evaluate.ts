import type { Node } from 'libpg-query';
import {
  compareValues,
  convertValue,
  resolveSqlType,
  SqlError,
  type SqlRow,
  type SqlValue,
} from './values.js';

/** Values that an expression may refer to. */
export interface EvaluationScope {
  /** Values of `$1`, `$2` and so on. */
  readonly params: readonly SqlValue[];
  /** The row that column names refer to. */
  readonly row?: SqlRow;
  /** The row proposed for insertion, for `excluded.column` in ON CONFLICT DO UPDATE. */
  readonly excluded?: SqlRow;
}

/** A node of PostgreSQL's parse tree: an object whose only key is the node type. */
export type SyntaxNode = Record<string, never> & Node;

/** A parse tree node, or the body of one. */
type ParseNode = Record<string, any>;

/**
 * Evaluates an expression of PostgreSQL's parse tree.
 *
 * @param node - the expression
 * @param scope - the values that it may refer to
 * @returns its value
 * @throws SqlError if the expression is not supported or its evaluation fails
 */
export function evaluate(node: unknown, scope: EvaluationScope): SqlValue {
  const [kind, body] = Object.entries(node as ParseNode)[0] ?? ['', {}];
  switch (kind) {
    case 'A_Const':
      return evaluateConstant(body);
    case 'ParamRef':
      return scope.params[body.number - 1] ?? null;
    case 'ColumnRef':
      return evaluateColumn(body, scope);
    case 'A_Expr':
      return evaluateOperator(body, scope);
    case 'BoolExpr':
      return evaluateBoolean(body, scope);
    case 'NullTest':
      return (evaluate(body.arg, scope) === null) === (body.nulltesttype === 'IS_NULL');
    case 'TypeCast':
      return evaluateCast(body, scope);
    case 'FuncCall':
      return evaluateFunction(body, scope);
    case 'CoalesceExpr':
      return evaluateCoalesce(body, scope);
    case 'SQLValueFunction':
      // CURRENT_USER and the other functions that are called without parentheses.
      return 'heatherledge';
    default:
      throw new SqlError('0A000', `expression ${kind} is not supported by the stand-in`);
  }
}

function evaluateConstant(body: ParseNode): SqlValue {
  if (body.isnull) return null;
  if (body.ival) return body.ival.ival ?? 0;
  if (body.fval) return Number(body.fval.fval);
  if (body.boolval) return body.boolval.boolval ?? false;
  return body.sval?.sval ?? '';
}

function evaluateColumn(body: ParseNode, scope: EvaluationScope): SqlValue {
  const qualifiedName: string[] = body.fields.map((field: ParseNode) => field.String?.sval ?? '*');
  const name = qualifiedName.at(-1) ?? '';
  const row =
    qualifiedName.length > 1 && qualifiedName[0] === 'excluded' ? scope.excluded : scope.row;
  const value = row?.[name];
  if (value === undefined) throw new SqlError('42703', `column "${name}" does not exist`);
  return value;
}

function evaluateOperator(body: ParseNode, scope: EvaluationScope): SqlValue {
  if (body.kind === 'AEXPR_IN') return evaluateIn(body, scope);
  if (body.kind === 'AEXPR_BETWEEN') return evaluateBetween(body, scope);
  const operator = body.name[0].String.sval as string;
  // Unary plus and minus have no left operand.
  const left = body.lexpr ? evaluate(body.lexpr, scope) : 0;
  const right = evaluate(body.rexpr, scope);
  if (operator === '||') return left === null || right === null ? null : `${left}${right}`;
  if (operator === '~~') return matchesLikePattern(left, right);
  if ('+-*/%'.includes(operator)) return computeArithmetic(operator, left, right);
  return evaluateComparison(operator, left, right);
}

function evaluateComparison(operator: string, left: SqlValue, right: SqlValue): SqlValue {
  const order = compareValues(left, right);
  if (order === undefined) return null;
  switch (operator) {
    case '=':
      return order === 0;
    case '<>':
      return order !== 0;
    case '<':
      return order < 0;
    case '<=':
      return order <= 0;
    case '>':
      return order > 0;
    case '>=':
      return order >= 0;
    default:
      throw new SqlError('42883', `operator ${operator} is not supported by the stand-in`);
  }
}

function computeArithmetic(operator: string, left: SqlValue, right: SqlValue): SqlValue {
  if (left === null || right === null) return null;
  const [a, b] = [Number(left), Number(right)];
  if (operator === '+') return a + b;
  if (operator === '-') return a - b;
  if (operator === '*') return a * b;
  if (b === 0) throw new SqlError('22012', 'division by zero');
  if (operator === '%') return a % b;
  return Number.isInteger(a) && Number.isInteger(b) ? Math.trunc(a / b) : a / b;
}

/** Evaluates LIKE, without support for escaped wildcards. */
function matchesLikePattern(value: SqlValue, pattern: SqlValue): SqlValue {
  if (value === null || pattern === null) return null;
  const escaped = String(pattern).replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  return new RegExp(`^${escaped.replaceAll('%', '.*').replaceAll('_', '.')}$`, 's').test(
    String(value),
  );
}

function evaluateIn(body: ParseNode, scope: EvaluationScope): SqlValue {
  const value = evaluate(body.lexpr, scope);
  const { items }: { items: unknown[] } = body.rexpr.List;
  const found = items.some((item) => compareValues(value, evaluate(item, scope)) === 0);
  return body.name[0].String.sval === '<>' ? !found : found;
}

function evaluateBetween(body: ParseNode, scope: EvaluationScope): SqlValue {
  const value = evaluate(body.lexpr, scope);
  const [low, high] = body.rexpr.List.items as unknown[];
  const aboveLow = compareValues(value, evaluate(low, scope));
  const belowHigh = compareValues(value, evaluate(high, scope));
  if (aboveLow === undefined || belowHigh === undefined) return null;
  return aboveLow >= 0 && belowHigh <= 0;
}

/** Evaluates AND, OR and NOT in SQL's three-valued logic. */
function evaluateBoolean(body: ParseNode, scope: EvaluationScope): SqlValue {
  const values = (body.args as unknown[]).map((arg) => evaluate(arg, scope));
  if (body.boolop === 'NOT_EXPR') return values[0] === null ? null : !values[0];
  // TRUE decides an OR and FALSE decides an AND, even if other operands are NULL.
  const dominant = body.boolop === 'OR_EXPR';
  if (values.includes(dominant)) return dominant;
  return values.includes(null) ? null : !dominant;
}

function evaluateCast(body: ParseNode, scope: EvaluationScope): SqlValue {
  const name = body.typeName.names.at(-1)?.String?.sval ?? 'text';
  return convertValue(evaluate(body.arg, scope), resolveSqlType(name));
}

function evaluateCoalesce(body: ParseNode, scope: EvaluationScope): SqlValue {
  for (const arg of body.args) {
    const value = evaluate(arg, scope);
    if (value !== null) return value;
  }
  return null;
}

function evaluateFunction(body: ParseNode, scope: EvaluationScope): SqlValue {
  const name = body.funcname.at(-1).String.sval as string;
  const args = ((body.args ?? []) as unknown[]).map((arg) => evaluate(arg, scope));
  const first = args[0] ?? null;
  switch (name) {
    case 'lower':
      return first === null ? null : String(first).toLowerCase();
    case 'upper':
      return first === null ? null : String(first).toUpperCase();
    case 'length':
      return first === null ? null : String(first).length;
    case 'repeat':
      return String(first ?? '').repeat(Number(args[1] ?? 0));
    case 'now':
      return new Date().toISOString();
    case 'version':
      return 'PostgreSQL 16 (heatherledge stand-in)';
    case 'pg_sleep':
      // The session waits before it executes the statement.
      return '';
    default:
      throw new SqlError('42883', `function ${name} does not exist in the stand-in`);
  }
}
