import { describe, expect, it } from 'vitest';
import { type AdminClient, Output, printHistory } from '../../src/index.js';

/** Ids and values with line ends, terminal escapes and a change of direction. */
const ODD_TEXTS = [
  'a\n9 all fake-id teams/x',
  '\u001b[2J',
  '\u009b2J',
  '\u202ea',
  '\u2028',
  '\r',
  '\u{E0001}',
];

async function printChange(changeId: string, asJson: boolean): Promise<string> {
  let printed = '';
  const port = {
    write: (text: string) => {
      printed += text;
    },
    writeError: () => {},
    setExitCode: () => {},
  };
  const changes = [{ revision: 1, author: 'all', changeId, changes: [{ path: 'teams/a/x' }] }];
  const client = { get: async () => ({ status: 200, body: { changes } }) };
  const output = new Output(port, asJson);
  await printHistory({ client: client as unknown as AdminClient, output });
  return printed;
}

describe('Output', () => {
  it.each(ODD_TEXTS)(
    "prints another's text on its own line and without control characters: %j",
    async (text) => {
      for (const asJson of [false, true]) {
        const printed = await printChange(text, asJson);
        expect(printed.endsWith('\n')).toBe(true);
        expect(printed.slice(0, -1)).not.toMatch(/[\p{Cc}\p{Cf}\u2028\u2029]/u);
      }
    },
  );

  it('prints JSON that has the same value as before', async () => {
    for (const text of [...ODD_TEXTS, 'é"\\', '\u{1F600}']) {
      const { changes } = JSON.parse(await printChange(text, true)) as {
        changes: { changeId: string }[];
      };
      expect(changes[0]?.changeId).toBe(text);
    }
  });

  it('leaves other text as it is', async () => {
    expect(await printChange('dépl-\u{1F600}', false)).toBe('1 all dépl-\u{1F600} teams/a/x\n');
  });
});
