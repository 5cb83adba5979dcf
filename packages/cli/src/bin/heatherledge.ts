#!/usr/bin/env node
/** Command line for operators and on-call engineers: a client of the administration API. */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { AdminClient, OutcomeUnknownError } from '../core/admin-client.js';
import { EXIT_CODES } from '../core/exit-codes.js';
import { Output, PROCESS_OUTPUT } from '../core/output.js';
import type { CommandContext } from '../types/command.js';

const DEFAULT_ENDPOINT = 'http://127.0.0.1:6480';

/** Options that every command takes. */
interface GlobalOptions {
  /** Base URL of the administration API. */
  readonly endpoint: string;
  readonly token?: string;
  readonly json: boolean;
}

function createContext(args: GlobalOptions): CommandContext {
  const client = new AdminClient({ endpoint: args.endpoint, token: args.token });
  return { client, output: new Output(PROCESS_OUTPUT, args.json) };
}

const revision = { type: 'number', describe: 'revision that the change builds on' } as const;
const path = { type: 'string', demandOption: true, describe: 'settings path' } as const;
const file = {
  type: 'string',
  demandOption: true,
  describe: 'file in JSON with comments',
} as const;

await yargs(hideBin(process.argv))
  .scriptName('heatherledge')
  .env('HEATHERLEDGE')
  .option('endpoint', { type: 'string', default: DEFAULT_ENDPOINT, describe: 'administration API' })
  .option('token', { type: 'string', describe: 'bearer token (or HEATHERLEDGE_TOKEN)' })
  .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
  .command('settings', 'read and change settings', (settings) =>
    settings
      .command(
        ['list [prefix]', 'get [prefix]'],
        'print paths and values',
        (y) => y.positional('prefix', { type: 'string', default: '' }),
        async (args) => {
          const { listSettings } = await import('../cli/settings/settings-commands.js');
          await listSettings(createContext(args), args.prefix);
        },
      )
      .command(
        'put <path> <value>',
        'set one path',
        (y) =>
          y
            .positional('path', path)
            .positional('value', { type: 'string', demandOption: true })
            .option('revision', revision),
        async (args) => {
          const { putSetting } = await import('../cli/settings/settings-commands.js');
          await putSetting(createContext(args), args.path, args.value, args.revision);
        },
      )
      .command(
        'delete <path>',
        'delete one path',
        (y) => y.positional('path', path).option('revision', revision),
        async (args) => {
          const { deleteSetting } = await import('../cli/settings/settings-commands.js');
          await deleteSetting(createContext(args), args.path, args.revision);
        },
      )
      .command(
        'apply <file>',
        'make all paths of a file so, together or not at all',
        (y) => y.positional('file', file).option('revision', revision),
        async (args) => {
          const { applySettingsFile } = await import('../cli/settings/settings-commands.js');
          await applySettingsFile(createContext(args), args.file, args.revision);
        },
      )
      .command(
        'diff <file>',
        'print what applying a file would change',
        (y) => y.positional('file', file),
        async (args) => {
          const { diffSettingsFile } = await import('../cli/settings/settings-commands.js');
          await diffSettingsFile(createContext(args), args.file);
        },
      )
      .command('history', 'print accepted changes', {}, async (args) => {
        const { printHistory } = await import('../cli/settings/settings-commands.js');
        await printHistory(createContext(args as unknown as GlobalOptions));
      })
      .demandCommand(1),
  )
  .command('key', 'issue and withdraw tenant keys', (key) =>
    key
      .command(
        'issue <path> <organisation>',
        'issue a key and print it once',
        (y) =>
          y
            .positional('path', path)
            .positional('organisation', { type: 'string', demandOption: true }),
        async (args) => {
          const { issueKey } = await import('../cli/keys/key-commands.js');
          await issueKey(createContext(args), args.path, args.organisation);
        },
      )
      .command(
        'withdraw <path>',
        'withdraw a key',
        (y) => y.positional('path', path),
        async (args) => {
          const { withdrawKey } = await import('../cli/keys/key-commands.js');
          await withdrawKey(createContext(args), args.path);
        },
      )
      .demandCommand(1),
  )
  .command(
    'check <file>',
    'check a settings file offline',
    (y) => y.positional('file', file),
    async (args) => {
      const { checkSettingsFile } = await import('../cli/check/check-command.js');
      checkSettingsFile(createContext(args), args.file);
    },
  )
  .command(
    'explain <organisation> <database> <sql>',
    'print which route, member and refusal a request would get',
    (y) =>
      y
        .positional('organisation', { type: 'string', demandOption: true })
        .positional('database', { type: 'string', demandOption: true })
        .positional('sql', { type: 'string', demandOption: true }),
    async (args) => {
      const { printExplanation } = await import('../cli/explain/explain-command.js');
      const { organisation, database, sql: text } = args;
      await printExplanation(createContext(args), { organisation, database, text });
    },
  )
  .command('status', 'print the fleet and each group', {}, async (args) => {
    const { printStatus } = await import('../cli/status/status-command.js');
    await printStatus(createContext(args as unknown as GlobalOptions));
  })
  .command('state', 'print the whole state of one process', {}, async (args) => {
    const { printState } = await import('../cli/state/state-command.js');
    await printState(createContext(args as unknown as GlobalOptions));
  })
  .example('$0 settings list teams/riders/', 'print one subtree')
  .example('$0 key issue teams/riders/keys/tins-2 tins', 'issue a second key for rotation')
  .epilogue(
    `exit codes: ${Object.entries(EXIT_CODES)
      .map(([name, code]) => `${code} ${name}`)
      .join(', ')}`,
  )
  .completion()
  .demandCommand(1)
  .strict()
  .fail((message, error) => {
    process.stderr.write(`${error?.message ?? message}\n`);
    if (error === undefined) process.exit(EXIT_CODES.badUsage);
    const isUnknown = error instanceof OutcomeUnknownError;
    process.exit(isUnknown ? EXIT_CODES.unknown : EXIT_CODES.unavailable);
  })
  .parse();
