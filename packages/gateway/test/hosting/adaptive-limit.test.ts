import type { StatementEnd } from '@heatherledge/core';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { EMPTY_REPLY } from '../fixtures/fake-connector.js';
import { createStatementRequest, HostingPair } from '../fixtures/hosting-pair.js';

const BUSY = { ...EMPTY_REPLY, error: { code: 'busy' as const, text: 'full' } };
const READ_ONLY = { ...EMPTY_REPLY, error: { code: 'read-only' as const, text: 'a replica' } };

describe('the limit of a member at its host', () => {
  let pair: HostingPair;
  let limit: number;
  let ends: StatementEnd[];

  beforeEach(async () => {
    limit = 1;
    ends = [];
    const recorder = {
      limit: () => limit,
      recordEnd: (end: StatementEnd) => {
        ends.push(end);
        limit = 3;
      },
    };
    pair = new HostingPair(undefined, recorder);
    await pair.start();
  });

  afterEach(() => pair.stop());

  const run = () => pair.access.run(createStatementRequest());
  const listOutcomes = () => ends.map(({ outcome }) => outcome);

  // Guards against outcomes that never reach the limit, or reach it as something else.
  it('is told how each statement ended', async () => {
    const first = run();
    const channel = await pair.acceptConnection();
    for (const [index, reply] of [EMPTY_REPLY, BUSY, READ_ONLY].entries()) {
      const result = index === 0 ? first : run();
      await vi.waitFor(() => expect(channel.commands).toHaveLength(index + 1));
      channel.handler.onReply(reply);
      await result;
    }
    expect(listOutcomes()).toEqual(['answered', 'busy', 'failed']);
    const last = run();
    await vi.waitFor(() => expect(channel.commands).toHaveLength(4));
    channel.destroy();
    await last;
    expect(listOutcomes().at(-1)).toBe('lost');
    pair.hostState.isEvacuated = true;
    await run();
    expect(listOutcomes().at(-1)).toBe('unsent');
  });

  // Guards against the start of a transaction that is not told to the limit.
  it('is told how the start of a transaction ended', async () => {
    const begun = pair.access.begin({ ...createStatementRequest(), readOnly: false });
    const channel = await pair.acceptConnection();
    await pair.waitForCommands(channel, ['begin']);
    channel.handler.onReply({ ...EMPTY_REPLY, state: 'open' });
    const result = await begun;
    expect(listOutcomes()).toEqual(['answered']);
    if (result.kind === 'open') result.transaction.end();
  });

  // Guards against statements that wait on although the limit has risen by more than one.
  it('lets waiting statements through as it rises', async () => {
    const results = Array.from({ length: 4 }, run);
    const channel = await pair.acceptConnection();
    await vi.waitFor(() => expect(channel.commands).toHaveLength(1));
    expect(pair.connector.channels).toHaveLength(1);
    channel.handler.onReply(EMPTY_REPLY);
    await results[0];
    await vi.waitFor(() => expect(pair.connector.channels).toHaveLength(3));
  });
});
