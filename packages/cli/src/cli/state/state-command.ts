/** `state`: the whole state of one process. */
import type { CommandContext } from '../../types/command.js';

/** Prints the state of the process that answers. */
export async function printState({ client, output }: CommandContext): Promise<void> {
  const reply = await client.get('/v1/state');
  output.printReply(reply, (body) => JSON.stringify(body, undefined, 2).split('\n'));
}
