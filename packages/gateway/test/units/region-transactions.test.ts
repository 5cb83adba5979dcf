import { toMilliseconds } from '@heatherledge/core';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import { createRegionRoute } from '../fixtures/region-fleet.js';
import { RegionSession } from '../fixtures/region-session.js';

describe('transactions with allowed regions', () => {
  let session: RegionSession;

  beforeEach(() => {
    session = new RegionSession();
  });

  /** Guards against a BEGIN that reaches the primary elsewhere. */
  it('are rejected at once if the primary is elsewhere', async () => {
    const transaction = session.begin(session.restrict(['north']), false);
    await session.expectRefusal(
      async () => transaction.execute(session.createStatement('write')),
      'the primary is outside the allowed regions',
    );
  });

  it('that only read run at a replica in an allowed region', async () => {
    const transaction = session.begin(session.restrict(['north']), true);
    expect((await transaction.execute(session.createStatement('read'))).error).toBeUndefined();
    expect(session.listMembers()).toEqual(['north']);
  });

  /** Guards against a read-only transaction that falls back to the primary elsewhere. */
  it('that only read are rejected at once if they need the primary elsewhere', async () => {
    const transaction = session.begin(
      session.restrict(['north'], undefined, { consistency: 'latest' }),
      true,
    );
    await session.expectRefusal(
      async () => transaction.execute(session.createStatement('read')),
      'the primary is outside the allowed regions',
    );
  });

  /** Guards against statements of an open transaction that reach a member no longer allowed. */
  it('end at the next statement after the settings have changed', async () => {
    const transaction = session.begin(session.restrict(['south']), false);
    await transaction.execute(session.createStatement('write'));
    session.fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['north']) })]);
    const { error } = await transaction.execute(session.createStatement('write'));
    expect(error).toEqual({ code: 'aborted', text: 'the allowed regions have changed' });
    const commit = await transaction.commit('c', 'COMMIT', toMilliseconds(performance.now()));
    expect(commit).toMatchObject({ state: 'idle', error: { code: 'aborted' } });
    expect(session.transactionTexts).toEqual(['WRITE i1', '(end)']);
    expect(await session.countRefusals('transaction-elsewhere')).toBe(1);
  });

  /** Guards against a commit at a member that is no longer allowed. */
  it('are not committed after the settings have changed', async () => {
    const transaction = session.begin(session.restrict(['south']), false);
    await transaction.execute(session.createStatement('write'));
    session.fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['north']) })]);
    const commit = await transaction.commit('c', 'COMMIT', toMilliseconds(performance.now()));
    expect(commit).toMatchObject({ state: 'idle', error: { code: 'aborted' } });
    expect(session.transactionTexts).toEqual(['WRITE i1', '(end)']);
  });

  /** Guards against statements that pass through a host which is no longer allowed. */
  it('end if their host is outside the changed regions although the member is not', async () => {
    session.transactionHost = 'n1';
    const transaction = session.begin(session.restrict(undefined), false);
    await transaction.execute(session.createStatement('write'));
    session.fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['south']) })]);
    transaction.checkRegions();
    expect(transaction.isFailed).toBe(true);
    await vi.waitFor(() => expect(session.transactionTexts).toEqual(['WRITE i1', '(end)']));
  });

  /** Guards against aborted transactions when other settings change. */
  it('go on if the changed settings still allow their member and host', async () => {
    session.transactionHost = 'n1';
    const transaction = session.begin(session.restrict(undefined), false);
    await transaction.execute(session.createStatement('write'));
    session.fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['south', 'north']) })]);
    transaction.checkRegions();
    expect((await transaction.execute(session.createStatement('write'))).error).toBeUndefined();
  });
});
