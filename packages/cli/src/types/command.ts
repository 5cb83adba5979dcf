/** What every command is given. */
import type { AdminClient } from '../core/admin-client.js';
import type { Output } from '../core/output.js';

/** Everything that a command needs. */
export interface CommandContext {
  readonly client: AdminClient;
  readonly output: Output;
}
