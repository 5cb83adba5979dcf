/** `key issue|withdraw`. */
import type { CommandContext } from '../../types/command.js';
import { sendChanges } from '../settings/settings-commands.js';

/** Issues a key and prints it once. */
export async function issueKey(
  { client, output }: CommandContext,
  path: string,
  organisation: string,
): Promise<void> {
  const reply = await client.post('/v1/keys', { path, organisation });
  output.printReply(reply, (body) => {
    const { key, revision } = body as { key: string; revision: number };
    return [`key ${key}`, `issued at revision ${revision}; it is not shown again`];
  });
}

/** Withdraws a key by deleting its path. */
export async function withdrawKey(context: CommandContext, path: string): Promise<void> {
  await sendChanges(context, [{ path }], undefined);
}
