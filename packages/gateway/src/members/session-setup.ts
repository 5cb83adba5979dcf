import type { MemberCommand } from '../ports/member-protocol.js';

type Values = ReadonlyMap<string, string>;

/**
 * Creates the commands that give a connection the values of a session.
 *
 * @param known - values that the connection has at the member
 * @param wanted - values of the session
 * @returns the commands; a reset, which also removes prepared statements, comes first
 */
export function createSetupCommands(known: Values, wanted: Values): MemberCommand[] {
  const needsReset = [...known.keys()].some((name) => !wanted.has(name));
  const setup: MemberCommand[] = needsReset ? [{ kind: 'reset' }] : [];
  for (const [name, value] of wanted) {
    if (needsReset || known.get(name) !== value) setup.push({ kind: 'set', name, value });
  }
  return setup;
}
