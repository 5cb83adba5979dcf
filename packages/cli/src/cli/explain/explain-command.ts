import type { CommandContext } from '../../types/command.js';

/** Body of the API request. */
export interface ExplainRequest {
  readonly organisation: string;
  readonly database: string;
  /** SQL text. */
  readonly text: string;
}

/** Body of the API reply. */
interface ExplanationBody {
  /** Absent if the request is refused before a group is chosen. */
  readonly group?: string;
  /** Kind of each statement. */
  readonly statements: readonly string[];
  /** Members that may serve the request, best first. */
  readonly members: readonly { member: string; isPrimary: boolean }[];
  readonly refusal?: { readonly name: string; readonly message: string };
}

/**
 * Runs `explain`: prints the route, the members and the refusal that a request would get.
 *
 * @param context - client and output
 * @param request - the request to explain; it is not run
 */
export async function printExplanation(
  { client, output }: CommandContext,
  request: ExplainRequest,
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
