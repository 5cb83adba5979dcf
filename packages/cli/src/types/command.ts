import type { AdminClient } from '../core/admin-client.js';
import type { Output } from '../core/output.js';

/** Client and output that a command runs with. */
export interface CommandContext {
  readonly client: AdminClient;
  readonly output: Output;
}
