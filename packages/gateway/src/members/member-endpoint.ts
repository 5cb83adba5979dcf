import type { MemberEntry } from '@heatherledge/core';

/** @returns whether the connections of one entry's pool can also be used for the other entry */
export function isSameEndpoint(left: MemberEntry, right: MemberEntry): boolean {
  return (
    left.host === right.host &&
    left.port === right.port &&
    left.incarnation === right.incarnation &&
    left.group === right.group
  );
}
