import type { Milliseconds } from '@heatherledge/core';
import type { WireError } from '../ports/caller-protocol.js';
import type { MemberReply } from '../ports/member-protocol.js';

/** How a command to a member ended. */
export type ExchangeResult =
  | { readonly kind: 'answered'; readonly reply: MemberReply; readonly sentAt: Milliseconds }
  /** The connection ended or the timeout passed before the reply was complete. */
  | {
      readonly kind: 'lost';
      readonly reason: string;
      /** False only if the command is certain not to have left this process. */
      readonly wasSent: boolean;
      /** Error that the member sent before it closed the connection. */
      readonly code?: WireError['code'] | undefined;
    };
