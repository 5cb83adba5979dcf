/** `status`: the fleet and each group, as one instance sees them. */
import type { CommandContext } from '../../types/command.js';

interface StatusBody {
  readonly revision: number;
  readonly instances: readonly { id: string; failureDomain: string; state: string }[];
  readonly groups: readonly { group: string; view: GroupSummary | null }[];
}

interface GroupSummary {
  readonly term: number;
  readonly primary?: string;
  readonly members: readonly { member: string; role: string; applied: number; position: number }[];
}

/** Prints instances and groups. */
export async function printStatus({ client, output }: CommandContext): Promise<void> {
  const reply = await client.get('/v1/status');
  output.printReply(reply, (body) => {
    const { revision, instances, groups } = body as StatusBody;
    return [
      `settings revision ${revision}`,
      ...instances.map(
        ({ id, failureDomain, state }) => `instance ${id} ${failureDomain} ${state}`,
      ),
      ...groups.flatMap(({ group, view }) => formatGroup(group, view)),
    ];
  });
}

function formatGroup(group: string, view: GroupSummary | null): string[] {
  if (view === null) return [`group ${group} not used through this instance`];
  const head = `group ${group} term ${view.term} primary ${view.primary ?? 'none'}`;
  const members = view.members.map(
    ({ member, role, applied, position }) =>
      `  ${member} ${role} applied ${applied} of ${position}`,
  );
  return [head, ...members];
}
