import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import {
  createPreparedStatement,
  decodeStatement,
  encodeStatement,
  MAX_PREPARED_STATEMENTS,
  type MemberCommand,
  PreparedNames,
  type PreparedStatement,
} from '../../src/index.js';

/** Definitions that a connection of a member holds, by name; refuses what a member may refuse. */
class MemberNames {
  readonly definitions = new Map<string, string>();

  apply(command: MemberCommand): void {
    if (command.kind === 'deallocate') {
      expect(this.definitions.delete(command.name)).toBe(true);
    } else if (command.kind === 'prepare') {
      expect(this.definitions.has(command.name)).toBe(false);
      this.definitions.set(command.name, `${command.access} ${command.shape}`);
    }
  }
}

function resolveAt(member: MemberNames, names: PreparedNames, statement: PreparedStatement) {
  const { name, removal, preparation } = names.resolve(statement);
  const setup = [...removal, ...preparation];
  for (const command of setup) member.apply(command);
  return { name, definition: member.definitions.get(name), setup };
}

const ACCESS = fc.constantFrom('read' as const, 'write' as const);
/** Shapes that hold the words and separators of commands and of each other. */
const SHAPE = fc.oneof(
  fc.stringMatching(/^[ab READWIT_\r]{1,6}$/),
  fc.integer({ min: 0, max: 2 * MAX_PREPARED_STATEMENTS }).map((number) => `q${number}`),
);
const STATEMENT = fc
  .tuple(ACCESS, SHAPE, fc.integer({ min: 1, max: 3 }))
  .map(([access, shape, nameLength]) => createPreparedStatement(access, shape, nameLength));

describe('PreparedNames', () => {
  it('names every statement so that the member runs its definition, whatever its shape holds', () => {
    fc.assert(
      fc.property(fc.array(STATEMENT, { maxLength: 300 }), (statements) => {
        const names = new PreparedNames();
        const member = new MemberNames();
        for (const statement of statements) {
          const { definition } = resolveAt(member, names, statement);
          expect(definition).toBe(`${statement.access} ${statement.shape}`);
        }
      }),
    );
  });

  it('gives names that are never longer than the name that a caller chose', () => {
    const names = new PreparedNames();
    for (const nameLength of [1, 2, 3]) {
      for (let index = 0; index < 2 * MAX_PREPARED_STATEMENTS; index += 1) {
        const statement = createPreparedStatement('read', `q${index}`, nameLength);
        expect(names.resolve(statement).name.length).toBeLessThanOrEqual(nameLength);
      }
    }
  });

  it('keeps a bounded number of statements, and those that were used last', () => {
    const names = new PreparedNames();
    const member = new MemberNames();
    for (const nameLength of [1, 2]) {
      const frequent = createPreparedStatement('write', 'frequent', nameLength);
      for (let index = 0; index < 2 * MAX_PREPARED_STATEMENTS; index += 1) {
        resolveAt(member, names, createPreparedStatement('read', `q${index}`, nameLength));
        expect(resolveAt(member, names, frequent).setup).toHaveLength(index === 0 ? 1 : 0);
      }
    }
    expect(member.definitions.size).toBe(MAX_PREPARED_STATEMENTS);
  });

  it('prepares again what a reset has removed', () => {
    const names = new PreparedNames();
    const statement = createPreparedStatement('read', 'q', 1);
    names.resolve(statement);
    names.clear();
    expect(names.resolve(statement).preparation).toHaveLength(1);
  });
});

describe('statements on links between instances', () => {
  // What follows the name of a prepared statement begins with a blank, if there is anything.
  const statement = fc.oneof(
    fc.record({ requestId: fc.string(), text: fc.string(), prepared: fc.constant(undefined) }),
    fc.record({
      requestId: fc.string(),
      text: fc.oneof(
        fc.constant(''),
        fc.string().map((args) => ` ${args}`),
      ),
      prepared: STATEMENT,
    }),
  );

  it('are the same at the host', () => {
    fc.assert(
      fc.property(statement, (sent) => {
        expect(decodeStatement(encodeStatement(sent))).toEqual(sent);
      }),
    );
  });

  it('of earlier versions are prepared under names of this version', () => {
    const received = decodeStatement({
      request: 'r',
      text: 'EXECUTE read_qd READ x i1 data',
      prepared: { name: 'read_qd READ x', access: 'read', shape: 'qd READ x' },
    });
    const prepared = createPreparedStatement('read', 'qd READ x', 1);
    expect(received).toEqual({ requestId: 'r', text: ' i1 data', prepared });
  });

  it('name a statement in one word, as hosts of earlier versions prepare it under that name', () => {
    const prepared = createPreparedStatement('read', 'qd READ x', 1);
    const { text, prepared: encoded } = encodeStatement({ requestId: 'r', text: ' i1', prepared });
    expect(encoded?.name).toMatch(/^[\w-]+$/);
    expect(text).toBe(`EXECUTE ${encoded?.name} i1`);
  });

  it('are not run if the text executes another name', () => {
    const prepared = { name: 'a', access: 'read' as const, shape: 'q' };
    for (const text of ['READ i1', 'EXECUTE ab i1', 'EXECUTE a2']) {
      expect(decodeStatement({ request: 'r', text, prepared })).toBeUndefined();
    }
  });
});
