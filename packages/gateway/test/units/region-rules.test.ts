import { computeEvacuationWindow, toMilliseconds } from '@heatherledge/core';
import { beforeEach, describe, expect, it, vi } from 'vitest';
import type { StoreRevision } from '../../src/index.js';
import { createRegionMember, createRegionRoute } from '../fixtures/region-fleet.js';
import { RegionSession } from '../fixtures/region-session.js';

describe('statements with allowed regions', () => {
  let session: RegionSession;

  beforeEach(() => {
    session = new RegionSession();
  });

  describe('reads', () => {
    /** Guards against the nearest member, which is in another region. */
    it('go to a member in an allowed region, and carry the regions to the choice of the host', async () => {
      const grant = session.restrict(['north']);
      expect((await session.read(grant)).error).toBeUndefined();
      expect(session.listMembers()).toEqual(['north']);
      expect(session.requests[0]?.allowedRegions).toEqual(new Set(['north']));
    });

    /** Guards against replicas that cannot serve, as no reply of the primary elsewhere shows its log. */
    it('have the primary sampled only if it is elsewhere', async () => {
      await session.read(session.restrict(['south']));
      await session.read(session.restrict(undefined));
      expect(session.sampledGroups).toEqual([]);
      await session.read(session.restrict(['north']));
      expect(session.sampledGroups).toEqual(['g']);
    });

    /** Guards against leaving the allowed regions for a member that works. */
    it.each(['lagging', 'failed', 'timeout', 'busy'] as const)(
      'stay there when every attempt ends as %s',
      async (code) => {
        session.respond = async () =>
          session.createAnswer({ signature: undefined, error: { code, text: 't' } });
        expect((await session.read(session.restrict(['north']))).error?.code).toBe(code);
        expect(session.requests.length).toBeGreaterThan(1);
        expect(session.listMembers()).toEqual(['north']);
      },
    );

    /** Guards against a second attempt in another region while the first one takes long. */
    it('stay there when they are hedged', async () => {
      session.respond = async () =>
        session.requests.length === 1
          ? new Promise(() => {})
          : Promise.resolve(session.createAnswer({}));
      const grant = session.restrict(['north'], undefined, {
        statementTimeoutMs: toMilliseconds(900),
      });
      expect((await session.read(grant)).error).toBeUndefined();
      expect(session.requests).toHaveLength(2);
      expect(session.listMembers()).toEqual(['north']);
    });

    /** Guards against an attempt under the settings with which the read began. */
    it('follow settings that change between two attempts', async () => {
      const grant = session.restrict(['north']);
      session.respond = async () => {
        session.fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['south']) })]);
        return session.createAnswer({
          signature: undefined,
          error: { code: 'lagging', text: 't' },
        });
      };
      await session.read(grant);
      expect(session.requests[0]?.member).toBe('north');
      const later = new Set(session.requests.slice(1).map(({ member }) => member as string));
      expect(later.has('north')).toBe(false);
      expect(later.size).toBeGreaterThan(0);
    });

    /** Guards against an old copy of the primary's data in place of the latest. */
    it('of the latest data are rejected at once if the primary is elsewhere', async () => {
      const grant = session.restrict(['north'], undefined, { consistency: 'latest' });
      await session.expectRefusal(
        async () => session.read(grant),
        'the primary is outside the allowed regions',
      );
    });

    /** Guards against a wait for the primary by a read that no replica can run. */
    it('that only the primary can run are rejected at once if it is elsewhere', async () => {
      vi.spyOn(session.connector, 'mayWaitForPosition').mockReturnValue(false);
      const grant = session.restrict(['north']);
      await session.expectRefusal(
        async () => session.read(grant),
        'the primary is outside the allowed regions',
      );
    });

    /** Guards against reads that wait until their timeout for members to which nothing may be sent. */
    it('are rejected at once if all members in the regions are evacuated', async () => {
      const grant = session.restrict(['north']);
      const window = computeEvacuationWindow(toMilliseconds(0), undefined, toMilliseconds(5000));
      const evacuation = { revision: 1 as StoreRevision, learnedAt: toMilliseconds(0), window };
      const domains = new Map([['north-1', evacuation]]);
      vi.spyOn(session.fleet.view, 'evacuatedDomains', 'get').mockReturnValue(domains);
      const text = 'the failure domains of all members in the allowed regions are evacuated';
      await session.expectRefusal(async () => session.read(grant), text);
      session.fleet.setMembers(createRegionMember('north-b', 'north-2'));
      expect((await session.read(grant)).error).toBeUndefined();
      expect(session.listMembers()).toEqual(['north-b']);
    });

    /** Guards against members of unknown failure domains that count as members of every region. */
    it.each([[['nowhere']], [['x']], [['']], [['__proto__', 'constructor']]])(
      'are rejected at once if no member is in the regions %j',
      async (regions) => {
        const grant = session.restrict(regions);
        const text = 'no member of the group is in an allowed region';
        await session.expectRefusal(async () => session.read(grant), text);
        await session.expectRefusal(async () => session.write(grant), text);
        expect(await session.countRefusals('no-member')).toBe(2);
      },
    );
  });

  describe('of a route and an organisation that are both restricted', () => {
    /** Guards against a restriction that hides the other one. */
    it('are served where both allow it', async () => {
      expect(
        (await session.read(session.restrict(['north', 'south'], ['north']))).error,
      ).toBeUndefined();
      expect(session.listMembers()).toEqual(['north']);
    });

    /** Guards against an empty list that counts as no restriction. */
    it('are rejected at once if no region is allowed by both', async () => {
      const grant = session.restrict(['north'], ['south']);
      const text = 'the route and the organisation have no allowed region in common';
      await session.expectRefusal(async () => session.read(grant), text);
      await session.expectRefusal(async () => session.write(grant), text);
      expect(await session.countRefusals('no-common-region')).toBe(2);
    });
  });

  describe('writes', () => {
    /** Guards against a write that waits until its timeout, or reaches the primary elsewhere. */
    it('are rejected at once if the primary is elsewhere', async () => {
      const text = 'the primary is outside the allowed regions';
      await session.expectRefusal(async () => session.write(session.restrict(['north'])), text);
      expect(await session.countRefusals('primary-elsewhere')).toBe(1);
    });

    it('run at a primary in an allowed region', async () => {
      expect((await session.write(session.restrict(['south']))).error).toBeUndefined();
      expect(session.listMembers()).toEqual(['south']);
    });
  });

  /** Guards against a restriction where none is set. */
  it('without a restriction are served as before', async () => {
    const grant = session.restrict(undefined);
    expect(grant.allowedRegions).toBeUndefined();
    await session.read(grant);
    await session.write(grant);
    expect(session.listMembers()).toEqual(['south']);
    expect(session.requests[0]?.allowedRegions).toBeUndefined();
    expect(await session.countRefusals('no-member')).toBeUndefined();
  });
});
