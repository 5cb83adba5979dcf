import type { CommandContext } from '../../types/command.js';
import { sendPathChanges } from '../settings/settings-commands.js';

/**
 * Runs `key issue`: issues a tenant key and prints it. The API returns a key only once.
 *
 * @param context - client and output
 * @param path - settings path of the key
 * @param organisation - organisation that the key is issued to
 */
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

/**
 * Runs `key withdraw`: withdraws a key by deleting its settings path.
 *
 * @param context - client and output
 * @param path - settings path of the key
 */
export async function withdrawKey(context: CommandContext, path: string): Promise<void> {
  await sendPathChanges(context, [{ path }], undefined);
}
