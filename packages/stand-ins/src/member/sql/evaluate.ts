/** Evaluates expressions of PostgreSQL's syntax tree. */
import type { Node } from 'libpg-query';
import {
  compareValues,
  convertValue,
  resolveSqlType,
  SqlFailure,
  type SqlRow,
  type SqlValue,
} from './values.js';

/** What an expression may refer to. */
export interface EvaluationScope {
  readonly params: readonly SqlValue[];
  readonly row?: SqlRow;
  /** The proposed row of an upsert. */
  readonly excluded?: SqlRow;
}

/** A node of the syntax tree, by its single key. */
export type SyntaxNode = Record<string, never> & Node;

type Tree = Record<string, any>;

/**
 * @param node - an expression
 * @param scope - what it may refer to
 * @returns its value
 * @throws SqlFailure if the stand-in does not know the expression
 */
export function evaluate(node: unknown, scope: EvaluationScope): SqlValue {
  const [kind, body] = Object.entries(node as Tree)[0] ?? ['', {}];
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
      return 'heatherledge';
    default:
      throw new SqlFailure('0A000', `expression ${kind} is not supported by the stand-in`);
  }
}

function evaluateConstant(body: Tree): SqlValue {
  if (body.isnull) return null;
  if (body.ival) return body.ival.ival ?? 0;
  if (body.fval) return Number(body.fval.fval);
  if (body.boolval) return body.boolval.boolval ?? false;
  return body.sval?.sval ?? '';
}

function evaluateColumn(body: Tree, scope: EvaluationScope): SqlValue {
  const names: string[] = body.fields.map((field: Tree) => field.String?.sval ?? '*');
  const name = names.at(-1) ?? '';
  const row = names.length > 1 && names[0] === 'excluded' ? scope.excluded : scope.row;
  const value = row?.[name];
  if (value === undefined) throw new SqlFailure('42703', `column "${name}" does not exist`);
  return value;
}

function evaluateOperator(body: Tree, scope: EvaluationScope): SqlValue {
  if (body.kind === 'AEXPR_IN') return evaluateIn(body, scope);
  if (body.kind === 'AEXPR_BETWEEN') return evaluateBetween(body, scope);
  const operator = body.name[0].String.sval as string;
  const left = body.lexpr ? evaluate(body.lexpr, scope) : 0;
  const right = evaluate(body.rexpr, scope);
  if (operator === '||') return left === null || right === null ? null : `${left}${right}`;
  if (operator === '~~') return matchesPattern(left, right);
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
      throw new SqlFailure('42883', `operator ${operator} is not supported by the stand-in`);
  }
}

function computeArithmetic(operator: string, left: SqlValue, right: SqlValue): SqlValue {
  if (left === null || right === null) return null;
  const [a, b] = [Number(left), Number(right)];
  if (operator === '+') return a + b;
  if (operator === '-') return a - b;
  if (operator === '*') return a * b;
  if (b === 0) throw new SqlFailure('22012', 'division by zero');
  if (operator === '%') return a % b;
  return Number.isInteger(a) && Number.isInteger(b) ? Math.trunc(a / b) : a / b;
}

function matchesPattern(value: SqlValue, pattern: SqlValue): SqlValue {
  if (value === null || pattern === null) return null;
  const escaped = String(pattern).replace(/[.*+?^${}()|[\]\\]/g, '\\$&');
  return new RegExp(`^${escaped.replaceAll('%', '.*').replaceAll('_', '.')}$`, 's').test(
    String(value),
  );
}

function evaluateIn(body: Tree, scope: EvaluationScope): SqlValue {
  const value = evaluate(body.lexpr, scope);
  const { items }: { items: unknown[] } = body.rexpr.List;
  const found = items.some((item) => compareValues(value, evaluate(item, scope)) === 0);
  return body.name[0].String.sval === '<>' ? !found : found;
}

function evaluateBetween(body: Tree, scope: EvaluationScope): SqlValue {
  const value = evaluate(body.lexpr, scope);
  const [low, high] = body.rexpr.List.items as unknown[];
  const aboveLow = compareValues(value, evaluate(low, scope));
  const belowHigh = compareValues(value, evaluate(high, scope));
  if (aboveLow === undefined || belowHigh === undefined) return null;
  return aboveLow >= 0 && belowHigh <= 0;
}

function evaluateBoolean(body: Tree, scope: EvaluationScope): SqlValue {
  const values = (body.args as unknown[]).map((arg) => evaluate(arg, scope));
  if (body.boolop === 'NOT_EXPR') return values[0] === null ? null : !values[0];
  const decisive = body.boolop === 'OR_EXPR';
  if (values.includes(decisive)) return decisive;
  return values.includes(null) ? null : !decisive;
}

function evaluateCast(body: Tree, scope: EvaluationScope): SqlValue {
  const name = body.typeName.names.at(-1)?.String?.sval ?? 'text';
  return convertValue(evaluate(body.arg, scope), resolveSqlType(name));
}

function evaluateCoalesce(body: Tree, scope: EvaluationScope): SqlValue {
  for (const arg of body.args) {
    const value = evaluate(arg, scope);
    if (value !== null) return value;
  }
  return null;
}

function evaluateFunction(body: Tree, scope: EvaluationScope): SqlValue {
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
      return '';
    default:
      throw new SqlFailure('42883', `function ${name} does not exist in the stand-in`);
  }
}
