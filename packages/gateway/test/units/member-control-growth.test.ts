import { ManualClock, type MemberEndpoint, type MemberId, toBrand } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import { MemberControl } from '../../src/index.js';
import { FakeConnector } from '../fixtures/fake-connector.js';

const RESTARTS = 200;

describe('MemberControl', () => {
  /** Load pattern: members restart under their ids for weeks, and others come and go. */
  it('forgets the connections of members that are gone', async () => {
    const connector = new FakeConnector();
    const clock = new ManualClock(1000);
    const control = new MemberControl(connector, clock, () => []);
    for (let incarnation = 1; incarnation <= RESTARTS; incarnation += 1) {
      const member = { id: toBrand<MemberId>('m1'), group: toBrand('g'), host: 'h', port: 1 };
      const exchange = control.exchange({ ...member, incarnation } as MemberEndpoint, {
        kind: 'status',
      });
      connector.channels.at(-1)?.destroy();
      expect(await exchange).toEqual({ kind: 'lost' });
    }
    expect(connector.channels).toHaveLength(RESTARTS);
    expect(control.connectionCount).toBeLessThanOrEqual(1);
  });
});
