import { readFileSync } from 'node:fs';
import { EXIT_CODES } from '../../core/exit-codes.js';
import { type ParsedText, parseSettingsText } from '../../core/settings-text.js';
import type { CommandContext } from '../../types/command.js';

/** A settings path and its value. */
interface SettingsEntry {
  readonly path: string;
  readonly value: unknown;
}

/** Body of the reply to `GET /v1/settings`. */
interface SettingsBody {
  readonly revision: number;
  readonly entries: readonly SettingsEntry[];
}

/**
 * Body of the reply to `GET /v1/history`: the accepted changes, each with the paths that it sets or
 * deletes.
 */
interface HistoryBody {
  readonly changes: readonly {
    readonly revision: number;
    readonly author: string;
    readonly changeId: string;
    readonly changes: readonly SettingsEntry[];
  }[];
}

/** A change of one path. */
interface PathChange {
  readonly path: string;
  /** The new value; if absent, the path is deleted. */
  readonly value?: unknown;
}

/**
 * Runs `settings list`: prints the revision, and the paths and values below a prefix.
 *
 * @param context - client and output
 * @param prefix - prefix of the paths; empty for all
 */
export async function listSettings(
  { client, output }: CommandContext,
  prefix: string,
): Promise<void> {
  const reply = await client.get(`/v1/settings?prefix=${encodeURIComponent(prefix)}`);
  output.printReply(reply, (body) => {
    const { revision, entries } = body as SettingsBody;
    return [`revision ${revision}`, ...entries.map(formatEntry)];
  });
}

/**
 * Runs `settings put`: sets one path.
 *
 * @param context - client and output
 * @param path - the path
 * @param value - the value in JSON
 * @param expectedRevision - revision that the change builds on; if undefined, any is accepted
 */
export async function putSetting(
  context: CommandContext,
  path: string,
  value: string,
  expectedRevision: number | undefined,
): Promise<void> {
  const parsed = parseSettingsText(value, path);
  if (parsed.kind === 'invalid') {
    context.output.printFindings(parsed.findings, EXIT_CODES.invalid);
    return;
  }
  await sendPathChanges(context, [{ path, value: parsed.value }], expectedRevision);
}

/**
 * Runs `settings delete`: deletes one path.
 *
 * @param context - client and output
 * @param path - the path
 * @param expectedRevision - revision that the change builds on; if undefined, any is accepted
 */
export async function deleteSetting(
  context: CommandContext,
  path: string,
  expectedRevision: number | undefined,
): Promise<void> {
  await sendPathChanges(context, [{ path }], expectedRevision);
}

/**
 * Runs `settings apply`: sets all paths of a file in one atomic change. Paths that are not in the
 * file stay as they are.
 *
 * @param context - client and output
 * @param file - path of a file in JSON with comments
 * @param expectedRevision - revision that the change builds on; if undefined, any is accepted
 */
export async function applySettingsFile(
  context: CommandContext,
  file: string,
  expectedRevision: number | undefined,
): Promise<void> {
  const settings = readSettingsByPath(file);
  if (settings.kind === 'invalid') {
    context.output.printFindings(settings.findings, EXIT_CODES.invalid);
    return;
  }
  const changes = Object.entries(settings.values).map(([path, value]) => ({ path, value }));
  await sendPathChanges(context, changes, expectedRevision);
}

/**
 * Runs `settings diff`: prints what applying a file would change.
 *
 * @param context - client and output
 * @param file - path of a file in JSON with comments
 */
export async function diffSettingsFile(
  { client, output }: CommandContext,
  file: string,
): Promise<void> {
  const settings = readSettingsByPath(file);
  if (settings.kind === 'invalid') {
    output.printFindings(settings.findings, EXIT_CODES.invalid);
    return;
  }
  const planned = settings.values;
  const reply = await client.get('/v1/settings');
  output.printReply(reply, (body) => {
    const currentValues = new Map(
      (body as SettingsBody).entries.map(({ path, value }) => [path, value]),
    );
    const lines = Object.entries(planned).flatMap(([path, value]) => {
      const currentValue = currentValues.get(path);
      if (currentValue === undefined) return [`+ ${formatEntry({ path, value })}`];
      if (JSON.stringify(currentValue) === JSON.stringify(value)) return [];
      return [
        `- ${formatEntry({ path, value: currentValue })}`,
        `+ ${formatEntry({ path, value })}`,
      ];
    });
    return lines.length === 0 ? ['no difference'] : lines;
  });
}

/**
 * Runs `settings history`: prints the accepted changes, oldest first.
 *
 * @param context - client and output
 */
export async function printHistory({ client, output }: CommandContext): Promise<void> {
  const reply = await client.get('/v1/history');
  output.printReply(reply, (body) =>
    (body as HistoryBody).changes.map(({ revision, author, changeId, changes }) => {
      const paths = changes.map(({ path }) => path).join(' ');
      return `${revision} ${author} ${changeId} ${paths}`;
    }),
  );
}

/**
 * Sends path changes as one atomic change and prints the outcome.
 *
 * @param context - client and output
 * @param changes - the paths to set or delete
 * @param expectedRevision - revision that the change builds on; if undefined, any is accepted
 */
export async function sendPathChanges(
  { client, output }: CommandContext,
  changes: readonly PathChange[],
  expectedRevision: number | undefined,
): Promise<void> {
  const reply = await client.post('/v1/settings', { changes, expectedRevision });
  output.printReply(reply, (body) => {
    const { revision, changeId } = body as { revision: number; changeId: string };
    return [`accepted at revision ${revision} (change ${changeId})`];
  });
}

/** Reads a file of settings by path. */
function readSettingsByPath(
  file: string,
):
  | { readonly kind: 'settings'; readonly values: Readonly<Record<string, unknown>> }
  | Extract<ParsedText, { kind: 'invalid' }> {
  const parsed = parseSettingsText(readFileSync(file, 'utf8'), file);
  if (parsed.kind === 'invalid') return parsed;
  const { value } = parsed;
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    const message = 'must be an object of values by path';
    return { kind: 'invalid', findings: [{ source: file, field: '', message }] };
  }
  return { kind: 'settings', values: value as Record<string, unknown> };
}

function formatEntry({ path, value }: SettingsEntry): string {
  return `${path} ${JSON.stringify(value)}`;
}
