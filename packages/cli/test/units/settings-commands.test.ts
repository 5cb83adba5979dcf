import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import {
  type AdminClient,
  applySettingsFile,
  EXIT_CODES,
  Output,
  putSetting,
} from '../../src/index.js';

describe('settings commands', () => {
  let posted: unknown[];
  let errors: string;
  let exitCode: number | undefined;
  let folder: string;

  beforeEach(() => {
    posted = [];
    errors = '';
    exitCode = undefined;
    folder = mkdtempSync(join(tmpdir(), 'settings-'));
  });

  afterEach(() => rmSync(folder, { recursive: true }));

  function createContext() {
    const output = new Output(
      {
        write() {},
        writeError(text) {
          errors += text;
        },
        setExitCode(code) {
          exitCode = code;
        },
      },
      false,
    );
    const client = {
      post: async (_: string, body: unknown) => {
        posted.push(body);
        return { status: 200, body: { revision: 1, changeId: 'c' } };
      },
    } as unknown as AdminClient;
    return { client, output };
  }

  /** Guards against a value that is not JSON being sent as a deletion of its path. */
  it.each(['abc', '', '{"a":', '1 2'])('put refuses the value %j', async (value) => {
    await putSetting(createContext(), 'teams/a/limit', value, undefined);
    expect(posted).toEqual([]);
    expect(exitCode).toBe(EXIT_CODES.invalid);
    expect(errors).toContain('teams/a/limit');
  });

  it('put sends a value in JSON', async () => {
    await putSetting(createContext(), 'teams/a/limit', '{"a":1}', undefined);
    expect(posted).toMatchObject([{ changes: [{ path: 'teams/a/limit', value: { a: 1 } }] }]);
  });

  it.each(['{"a": }', '[1]', 'nothing'])('apply refuses a file with %j', async (text) => {
    const file = join(folder, 'settings.jsonc');
    writeFileSync(file, text);
    await applySettingsFile(createContext(), file, undefined);
    expect(posted).toEqual([]);
    expect(exitCode).toBe(EXIT_CODES.invalid);
    expect(errors).toContain(file);
  });

  it('apply sends the paths of a file with comments and trailing commas', async () => {
    const file = join(folder, 'settings.jsonc');
    writeFileSync(file, '{\n  // a limit\n  "teams/a/limit": 1,\n}');
    await applySettingsFile(createContext(), file, undefined);
    expect(posted).toMatchObject([{ changes: [{ path: 'teams/a/limit', value: 1 }] }]);
  });
});
