import type { CommandContext } from '../../types/command.js';

/** Body of the reply to `GET /v1/status`. */
interface StatusBody {
  /** Revision of the settings. */
  readonly revision: number;
  readonly instances: readonly { id: string; failureDomain: string; state: string }[];
  /** The view is null if the group is not used through this instance. */
  readonly groups: readonly { group: string; view: GroupSummary | null }[];
}

/** State of a group as this instance last observed it. */
interface GroupSummary {
  readonly term: number;
  readonly primary?: string;
  /** `applied` is the log position that reads see, `position` the end of the received log. */
  readonly members: readonly { member: string; role: string; applied: number; position: number }[];
}

/**
 * Runs `status`: prints the instances and groups as reported by the instance at the endpoint.
 *
 * @param context - client and output
 */
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
