import type { StatementOutcome } from '@heatherledge/core';
import type { ExchangeResult } from '../members/exchange-result.js';
import type { AccessRefusal } from './member-access.js';

/**
 * @param result - how a statement at a member ended
 * @returns what it tells about the member
 */
export function classifyOutcome(
  result:
    | Pick<Extract<ExchangeResult, { kind: 'answered' }>, 'kind' | 'reply'>
    | Pick<Extract<ExchangeResult, { kind: 'lost' }>, 'kind' | 'wasSent'>
    | AccessRefusal,
): StatementOutcome {
  if (result.kind === 'refused') return 'unsent';
  if (result.kind === 'lost') return result.wasSent ? 'lost' : 'unsent';
  const { error } = result.reply;
  if (error === undefined) return 'answered';
  return error.code === 'busy' ? 'busy' : 'failed';
}
