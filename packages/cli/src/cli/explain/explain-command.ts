/** `explain`: which route, member and refusal a request would get. */
import type { CommandContext } from '../../types/command.js';

/** The request that is asked about. */
export interface ExplainedRequest {
  readonly organisation: string;
  readonly database: string;
  readonly text: string;
}

interface ExplanationBody {
  readonly group?: string;
  readonly statements: readonly string[];
  readonly members: readonly { member: string; isPrimary: boolean }[];
  readonly refusal?: { readonly name: string; readonly message: string };
}

/** Prints what would become of a request. */
export async function printExplanation(
  { client, output }: CommandContext,
  request: ExplainedRequest,
): Promise<void> {
  const reply = await client.post('/v1/explain', request);
  output.printReply(reply, (body) => {
    const { group, statements, members, refusal } = body as ExplanationBody;
    const lines = [`statements ${statements.join(', ')}`];
    if (group !== undefined) lines.push(`group ${group}`);
    for (const { member, isPrimary } of members) {
      lines.push(`member ${member}${isPrimary ? ' (primary)' : ''}`);
    }
    if (refusal !== undefined) lines.push(`refused: ${refusal.name}: ${refusal.message}`);
    return lines;
  });
}
