import type { InstanceId, MemberId, Term } from '@heatherledge/core';
import type { Member } from './member.js';
import { evaluate } from './sql/evaluate.js';
import type { StatementResult } from './sql/execute-select.js';
import type { Statement } from './sql/statement.js';
import { SqlError, type SqlValue } from './sql/values.js';

type ControlHandler = (member: Member, args: readonly SqlValue[]) => Promise<unknown>;

/** The SQL functions `heatherledge.NAME(...)`; each returns JSON in one text column. */
const CONTROL_FUNCTIONS: Record<string, ControlHandler> = {
  status: async (member) => ({ accepted: true, status: member.status }),
  confirm: async (member, [timeout]) => member.confirm(Number(timeout)),
  await: async (member, [term, position, timeout]) =>
    member.waitForPosition(Number(term), Number(position), Number(timeout)),
  fence: async (member, [term, by]) => {
    const accepted = member.fence(Number(term) as Term, String(by) as InstanceId);
    return { accepted, status: member.status };
  },
  promote: async (member, [term, by]) => {
    const accepted = member.promote(Number(term) as Term, String(by) as InstanceId);
    return { accepted, status: member.status };
  },
  follow: async (member, [term, primary]) => {
    const accepted = member.follow(Number(term) as Term, String(primary) as MemberId);
    return { accepted, status: member.status };
  },
  quiesce: async (member, [term, forMs]) => {
    const accepted = member.quiesce(Number(term) as Term, Number(forMs));
    return { accepted, status: member.status };
  },
};

/**
 * Calls one of the control functions.
 *
 * @param member - the member that is controlled
 * @param statement - a statement of the kind `control`
 * @param params - values of its parameters
 * @returns the function's result in one text column
 * @throws SqlError if there is no such function
 */
export async function runControl(
  member: Member,
  statement: Statement,
  params: readonly SqlValue[],
): Promise<StatementResult> {
  const call = statement.body.targetList[0].ResTarget.val.FuncCall;
  const name = call.funcname.at(-1).String.sval as string;
  const handler = CONTROL_FUNCTIONS[name];
  if (handler === undefined) throw new SqlError('42883', `function ${name} does not exist`);
  const args = (call.args ?? []).map((arg: unknown) => evaluate(arg, { params }));
  const reply = JSON.stringify(await handler(member, args));
  return { tag: 'SELECT 1', columns: [{ name: 'answer', type: 'text' }], rows: [[reply]] };
}
