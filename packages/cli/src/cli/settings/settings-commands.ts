/** `settings list|get|put|delete|apply|diff|history`. */
import { readFileSync } from 'node:fs';
import { parse } from 'jsonc-parser';
import type { CommandContext } from '../../types/command.js';

interface Entry {
  readonly path: string;
  readonly value: unknown;
}

interface SettingsBody {
  readonly revision: number;
  readonly entries: readonly Entry[];
}

interface HistoryBody {
  readonly changes: readonly {
    readonly revision: number;
    readonly author: string;
    readonly changeId: string;
    readonly changes: readonly Entry[];
  }[];
}

/** A change of several paths. */
interface PlannedChange {
  readonly path: string;
  readonly value?: unknown;
}

/** Prints paths and values. */
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

/** Sets one path. */
export async function putSetting(
  context: CommandContext,
  path: string,
  value: string,
  expectedRevision: number | undefined,
): Promise<void> {
  await sendChanges(context, [{ path, value: parse(value) as unknown }], expectedRevision);
}

/** Deletes one path. */
export async function deleteSetting(
  context: CommandContext,
  path: string,
  expectedRevision: number | undefined,
): Promise<void> {
  await sendChanges(context, [{ path }], expectedRevision);
}

/** Makes all paths of a file so, together or not at all. */
export async function applyFile(
  context: CommandContext,
  file: string,
  expectedRevision: number | undefined,
): Promise<void> {
  const changes = Object.entries(readFile(file)).map(([path, value]) => ({ path, value }));
  await sendChanges(context, changes, expectedRevision);
}

/** Prints what applying a file would change. */
export async function diffFile({ client, output }: CommandContext, file: string): Promise<void> {
  const planned = readFile(file);
  const reply = await client.get('/v1/settings');
  output.printReply(reply, (body) => {
    const present = new Map((body as SettingsBody).entries.map(({ path, value }) => [path, value]));
    const lines = Object.entries(planned).flatMap(([path, value]) => {
      const known = present.get(path);
      if (known === undefined) return [`+ ${formatEntry({ path, value })}`];
      if (JSON.stringify(known) === JSON.stringify(value)) return [];
      return [`- ${formatEntry({ path, value: known })}`, `+ ${formatEntry({ path, value })}`];
    });
    return lines.length === 0 ? ['no difference'] : lines;
  });
}

/** Prints accepted changes, oldest first. */
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
 * Sends changes and prints what became of them.
 *
 * @param context - client and output
 * @param changes - paths changed together
 * @param expectedRevision - revision that the change builds on, if it matters
 */
export async function sendChanges(
  { client, output }: CommandContext,
  changes: readonly PlannedChange[],
  expectedRevision: number | undefined,
): Promise<void> {
  const reply = await client.post('/v1/settings', { changes, expectedRevision });
  output.printReply(reply, (body) => {
    const { revision, changeId } = body as { revision: number; changeId: string };
    return [`accepted at revision ${revision} (change ${changeId})`];
  });
}

function readFile(file: string): Record<string, unknown> {
  return parse(readFileSync(file, 'utf8')) as Record<string, unknown>;
}

function formatEntry({ path, value }: Entry): string {
  return `${path} ${JSON.stringify(value)}`;
}
