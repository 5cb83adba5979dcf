import { describe, expect, it } from 'vitest';
import {
  countAllowingRoutes,
  findRegionRefusalReason,
  type FleetSettings,
  type GroupId,
  hasRegionRestrictions,
  isRegionAllowed,
  listUnknownRegions,
  MisplacementTracker,
  type OrganisationId,
  resolveAllowedRegions,
  type Route,
  toBrand,
  toMilliseconds,
} from '../../src/index.js';

const GROUP = toBrand<GroupId>('g');
const ORGANISATION = toBrand<OrganisationId>('o');

function createRoute(database: string, regions?: readonly string[], group = GROUP): Route {
  return {
    name: database,
    database,
    group,
    consistency: 'latest',
    statementTimeoutMs: toMilliseconds(800),
    targetLatencyMs: toMilliseconds(400),
    maxAgeMs: toMilliseconds(0),
    priority: 1,
    isPublic: true,
    allowedRegions: regions && new Set(regions),
  };
}

function createSettings(
  routes: readonly Route[],
  organisationRegions?: readonly string[],
): FleetSettings {
  const rate = { id: ORGANISATION, requestsPerSecond: 1, burst: 1 };
  const allowedRegions = organisationRegions && new Set(organisationRegions);
  return {
    version: 1,
    routesByDatabase: new Map(routes.map((route) => [route.database, route])),
    groups: new Map(),
    organisations: new Map([[ORGANISATION, { ...rate, allowedRegions }]]),
    organisationByKey: new Map(),
    transactionIdleMs: toMilliseconds(3000),
  };
}

function resolve(
  ofRoute: readonly string[] | undefined,
  ofOrganisation: readonly string[] | undefined,
): string[] | undefined {
  const route = createRoute('d', ofRoute);
  const allowed = resolveAllowedRegions(
    createSettings([route], ofOrganisation),
    route,
    ORGANISATION,
  );
  return allowed && [...allowed];
}

describe('allowed regions of a request', () => {
  /** Guards against a restriction that is dropped because the other party has another one, or none. */
  it.each([
    [undefined, undefined, undefined],
    [['a', 'b'], undefined, ['a', 'b']],
    [undefined, ['b'], ['b']],
    [['a', 'b'], ['b', 'c'], ['b']],
    [['a'], ['c'], []],
    [['__proto__'], ['__proto__', 'constructor'], ['__proto__']],
  ])('of the route %j and the organisation %j are %j', (ofRoute, ofOrganisation, expected) => {
    expect(resolve(ofRoute, ofOrganisation)).toEqual(expected);
  });

  /** Guards against an operation that goes on under the settings in which it began. */
  it('follow the route as the settings in force hold it', () => {
    const before = createRoute('d');
    const settings = createSettings([createRoute('d', ['a'])]);
    expect(resolveAllowedRegions(settings, before, undefined)).toEqual(new Set(['a']));
  });

  /** Guards against an operation that loses its restriction when its route is removed. */
  it('remain those of a route that has been removed', () => {
    const removed = createRoute('d', ['a']);
    expect(resolveAllowedRegions(createSettings([]), removed, undefined)).toEqual(new Set(['a']));
  });

  /** Guards against callers of public routes who get the restriction of nobody. */
  it('are those of the route for callers without a key', () => {
    const route = createRoute('d', ['a']);
    expect(resolveAllowedRegions(createSettings([route], ['b']), route, undefined)).toEqual(
      new Set(['a']),
    );
  });

  /** Guards against the empty name of an organisation that is taken for none, or for a restriction. */
  it('are found for an organisation whose name is empty', () => {
    const unnamed = toBrand<OrganisationId>('');
    const route = createRoute('d');
    const settings = createSettings([route]);
    expect(resolveAllowedRegions(settings, route, unnamed)).toBeUndefined();
    const rate = { id: unnamed, requestsPerSecond: 1, burst: 1, allowedRegions: new Set(['a']) };
    const restricted = { ...settings, organisations: new Map([[unnamed, rate]]) };
    expect(resolveAllowedRegions(restricted, route, unnamed)).toEqual(new Set(['a']));
  });

  /** Guards against an unknown failure domain that counts as every region. */
  it('leave out what is in no region, and the empty set leaves out everything', () => {
    expect(isRegionAllowed(undefined, new Set(['a']))).toBe(false);
    expect(isRegionAllowed('a', new Set())).toBe(false);
    expect(isRegionAllowed(undefined, undefined)).toBe(true);
    expect(isRegionAllowed('a', new Set(['a']))).toBe(true);
  });
});

describe('rejections at once', () => {
  const allowed = new Set(['a']);

  /** Guards against requests that wait until their timeout for a member that cannot appear. */
  it('name the reason that cannot change while the request waits', () => {
    const candidates = { hasMember: true, needsPrimary: true, isPrimaryAllowed: false };
    expect(findRegionRefusalReason(new Set(), candidates)).toBe('no-common-region');
    expect(findRegionRefusalReason(allowed, { ...candidates, hasMember: false })).toBe('no-member');
    expect(findRegionRefusalReason(allowed, candidates)).toBe('primary-elsewhere');
  });

  /** Guards against rejecting what a member in the allowed regions may still run. */
  it('leave out reads of replicas, and requests while the primary is not known', () => {
    const candidates = { hasMember: true, needsPrimary: true, isPrimaryAllowed: undefined };
    expect(findRegionRefusalReason(allowed, candidates)).toBeUndefined();
    const read = { hasMember: true, needsPrimary: false, isPrimaryAllowed: false };
    expect(findRegionRefusalReason(allowed, read)).toBeUndefined();
  });
});

describe('settings with allowed regions', () => {
  /** Guards against a switchover to a region that fewer routes of the group allow. */
  it('count the routes of a group that allow a region', () => {
    const other = createRoute('x', ['b'], toBrand<GroupId>('other'));
    const routes = [createRoute('d1', ['a']), createRoute('d2', ['a', 'b']), createRoute('d3')];
    const settings = createSettings([...routes, other]);
    const count = (region: string | undefined) => countAllowingRoutes(settings, GROUP, region);
    expect(['a', 'b', 'c', undefined].map(count)).toEqual([3, 2, 1, 1]);
  });

  /** Guards against misspelt regions that nobody is told of. */
  it('name regions that no failure domain has, once each', () => {
    const routes = [createRoute('d1', ['a', 'nowhere']), createRoute('d2', ['nowhere', ''])];
    const settings = createSettings(routes, ['elsewhere']);
    expect(listUnknownRegions(settings, ['a', 'b'])).toEqual(['', 'elsewhere', 'nowhere']);
  });

  /** Guards against other hosts in deployments that restrict nothing. */
  it('are told from settings without a restriction', () => {
    expect(hasRegionRestrictions(createSettings([createRoute('d')]))).toBe(false);
    expect(hasRegionRestrictions(createSettings([createRoute('d', ['a'])]))).toBe(true);
    expect(hasRegionRestrictions(createSettings([createRoute('d')], ['a']))).toBe(true);
  });
});

describe('MisplacementTracker', () => {
  function createTracker(): MisplacementTracker {
    return new MisplacementTracker({
      minDurationMs: toMilliseconds(2000),
      minIntervalMs: toMilliseconds(30_000),
    });
  }

  /** Guards against a switchover for settings that are replaced a moment later. */
  it('waits until the difference has persisted without interruption', () => {
    const tracker = createTracker();
    expect(tracker.update(GROUP, true, toMilliseconds(0))).toBe(false);
    expect(tracker.update(GROUP, false, toMilliseconds(1900))).toBe(false);
    expect(tracker.update(GROUP, true, toMilliseconds(2000))).toBe(false);
    expect(tracker.update(GROUP, true, toMilliseconds(3999))).toBe(false);
    expect(tracker.update(GROUP, true, toMilliseconds(4000))).toBe(true);
  });

  /** Guards against a primary that moves to and fro while settings or members change often. */
  it('allows one switchover of a group in 30 s, and others of other groups', () => {
    const tracker = createTracker();
    const other = toBrand<GroupId>('other');
    tracker.update(GROUP, true, toMilliseconds(0));
    tracker.update(other, true, toMilliseconds(0));
    tracker.recordSwitchover(GROUP, toMilliseconds(2000));
    expect(tracker.update(other, true, toMilliseconds(2000))).toBe(true);
    tracker.update(GROUP, true, toMilliseconds(3000));
    expect(tracker.update(GROUP, true, toMilliseconds(31_999))).toBe(false);
    expect(tracker.update(GROUP, true, toMilliseconds(32_000))).toBe(true);
  });

  /** Guards against a new coordinator that acts on what it saw in an earlier term. */
  it('starts anew after the role was lost', () => {
    const tracker = createTracker();
    tracker.update(GROUP, true, toMilliseconds(0));
    tracker.clear();
    expect(tracker.update(GROUP, true, toMilliseconds(5000))).toBe(false);
  });
});
