import type { CommandContext } from '../../types/command.js';

/**
 * Runs `state`: prints the whole state of the process at the endpoint.
 *
 * @param context - client and output
 */
export async function printState({ client, output }: CommandContext): Promise<void> {
  const reply = await client.get('/v1/state');
  output.printReply(reply, (body) => JSON.stringify(body, undefined, 2).split('\n'));
}
