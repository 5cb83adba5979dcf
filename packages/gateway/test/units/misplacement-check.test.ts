import {
  type AllowedRegions,
  HolderPresenceTracker,
  type ManualClock,
  type MemberEntry,
} from '@heatherledge/core';
import { beforeEach, describe, expect, it } from 'vitest';
import {
  computeRegionDistance,
  type FencingServices,
  type MemberControl,
  MemberFencing,
  MisplacementCheck,
} from '../../src/index.js';
import {
  createRegionMember,
  createRegionRoute,
  REGION_BY_DOMAIN,
  REGION_GROUP,
  RegionFleet,
} from '../fixtures/region-fleet.js';

const NORTH: AllowedRegions = new Set(['north']);
const STEP_MS = 100;
const PRIMARY = createRegionMember('south', 'south-1', { role: 'primary' });
const REPLICA = createRegionMember('north', 'north-1');

describe('primaries in a region that few routes allow', () => {
  let fleet: RegionFleet;
  let check: MisplacementCheck;
  let services: FencingServices;
  /** Members that have just started, or whose domain was evacuated until now. */
  let cold: Set<string>;
  /** Log positions of members that are not caught up. */
  let behind: Set<string>;
  let commands: string[];
  /** Members that do not respond. */
  let silent: Set<string>;

  beforeEach(() => {
    fleet = new RegionFleet();
    behind = new Set();
    silent = new Set();
    cold = new Set();
    commands = [];
    const control = {
      sendCommand: async ({ id }: MemberEntry, { kind }: { kind: string }) => {
        commands.push(`${kind} ${id}`);
        if (silent.has(id)) return undefined;
        const isPrimary = id === 'south' && kind === 'status';
        const position = behind.has(id) ? 5 : 9;
        const received = { term: 1, position };
        return { role: isPrimary ? 'primary' : 'replica', term: 1, received, heldTerm: 2 };
      },
    } as unknown as MemberControl;
    const warmups = { isCold: ({ id }: MemberEntry) => cold.has(id) };
    services = {
      memberRegistry: { warmups },
      clock: fleet.clock,
      view: fleet.view,
      log: fleet.log,
      control,
      regionByDomain: REGION_BY_DOMAIN,
      holderPresence: new HolderPresenceTracker(),
    };
    check = new MisplacementCheck(services);
    fleet.setMembers(PRIMARY, createRegionMember('south-b', 'south-2'), REPLICA);
    fleet.setPrimary('south');
  });

  /** Runs the checks of a period as the coordinator does, and returns how often a switchover was due. */
  async function countSwitchovers(ms: number): Promise<number> {
    let count = 0;
    for (let passed = 0; passed < ms; passed += STEP_MS) {
      (fleet.clock as ManualClock).advance(STEP_MS);
      if (await check.needsSwitchover(REGION_GROUP, PRIMARY)) count += 1;
    }
    return count;
  }

  function restrict(...regions: readonly (AllowedRegions | undefined)[]): void {
    fleet.setSettings(
      regions.map((allowedRegions, index) =>
        createRegionRoute({ name: `r${index}`, database: `d${index}`, allowedRegions }),
      ),
    );
  }

  /** Guards against a restricted route whose writes are rejected for as long as the primary works. */
  it('are replaced once after 2 s, and again after 30 s at the earliest', async () => {
    restrict(NORTH);
    expect(await countSwitchovers(2000)).toBe(0);
    expect(await countSwitchovers(200)).toBe(1);
    expect(await countSwitchovers(29_000)).toBe(0);
    expect(await countSwitchovers(2000)).toBe(1);
  });

  /** Guards against a new coordinator that repeats a switchover after 2 s because it did not begin the last. */
  it('stay for 30 s after a switchover of another coordinator, also if that failed', async () => {
    restrict(NORTH);
    check.observeRecord(REGION_GROUP);
    fleet.setPrimary('south', { isRegionMove: true });
    for (let count = 0; count < 2; count += 1) check.observeRecord(REGION_GROUP);
    expect(await countSwitchovers(29_000)).toBe(0);
    expect(await countSwitchovers(2000)).toBe(1);
  });

  /** Guards against restricted writes that are rejected for 30 s after a primary has crashed. */
  it('are replaced after 2 s if the last change had another cause', async () => {
    restrict(NORTH);
    check.observeRecord(REGION_GROUP);
    fleet.setPrimary('south');
    check.observeRecord(REGION_GROUP);
    expect(await countSwitchovers(2200)).toBe(1);
  });

  /** Guards against writes that stop because no replica in the better region holds the whole log. */
  it('stay until a member in the better region has caught up', async () => {
    restrict(NORTH);
    behind.add('north');
    expect(await countSwitchovers(10_000)).toBe(0);
    behind.clear();
    expect(await countSwitchovers(600)).toBe(1);
  });

  /** Guards against status commands ten times a second for as long as a replica lags. */
  it('cause at most two checks a second while no member has caught up', async () => {
    restrict(NORTH);
    behind.add('north');
    await countSwitchovers(12_000);
    expect(commands.filter((command) => command === 'status south').length).toBeLessThanOrEqual(21);
  });

  /** Guards against switchovers, and commands to members, without a better region. */
  it.each<[string, (AllowedRegions | undefined)[]]>([
    ['no route is restricted', [undefined]],
    ['the routes are divided equally', [NORTH, new Set(['south'])]],
    ['most routes allow the region', [NORTH, new Set(['south']), new Set(['south', 'east'])]],
    ['the routes allow no region of a member', [new Set(['east'])]],
    ['the routes allow every region of a member', [new Set(['south', 'north'])]],
  ])('stay if %s', async (_, regions) => {
    restrict(...regions);
    expect(await countSwitchovers(5000)).toBe(0);
    expect(commands).toEqual([]);
  });

  /** Guards against a successor that callers cannot be sent to for long. */
  it('stay if the only better member drains or is in an unknown failure domain', async () => {
    restrict(NORTH);
    fleet.setMembers({ ...REPLICA, isDraining: true }, createRegionMember('n2', 'x'));
    expect(await countSwitchovers(5000)).toBe(0);
  });

  /** Guards against a cold primary, as when the evacuation of the better region has just ended. */
  it('stay until the better member is warm', async () => {
    restrict(NORTH);
    cold.add('north');
    expect(await countSwitchovers(5000)).toBe(0);
    cold.clear();
    expect(await countSwitchovers(2500)).toBe(1);
  });

  /** Guards against a switchover while the primary cannot step down, which would stop all writes. */
  it('stay if they do not respond', async () => {
    restrict(NORTH);
    silent.add('south');
    expect(await countSwitchovers(5000)).toBe(0);
  });

  /** Guards against counting routes of other groups, or members that have left. */
  it('are told by the routes of their group that do not allow the region of a member', () => {
    restrict(NORTH, new Set(['north', 'south']), undefined);
    const compute = (id: string) => computeRegionDistance(services, REGION_GROUP, id as never);
    expect([compute('north'), compute('south'), compute('gone')]).toEqual([0, 1, 2]);
    fleet.setSettings([createRegionRoute()]);
    expect([compute('north'), compute('south'), compute('gone')]).toEqual([0, 0, 0]);
  });

  describe('are succeeded', () => {
    async function chooseSuccessor(): Promise<string | undefined> {
      const fencing = new MemberFencing(REGION_GROUP, services);
      return (await fencing.chooseSuccessor(PRIMARY.id, false))?.id;
    }

    /** Guards against a successor in a region that fewer routes allow, chosen by its id. */
    it('by the member whose region most routes allow', async () => {
      fleet.setMembers(createRegionMember('a-south', 'south-2'));
      restrict(NORTH);
      expect(await chooseSuccessor()).toBe('north');
    });

    /** Guards against a lost commit for the sake of a region. */
    it('by a member elsewhere if the one in the best region lacks commits', async () => {
      restrict(NORTH);
      behind.add('north');
      expect(await chooseSuccessor()).toBe('south-b');
    });

    /** Guards against a cold primary while a warm member of the same region holds the log. */
    it('by a warm member if the region is as good', async () => {
      fleet.setMembers(createRegionMember('north-b', 'north-2'));
      restrict(NORTH);
      cold.add('north');
      expect(await chooseSuccessor()).toBe('north-b');
    });

    /** Guards against another choice in deployments that restrict nothing. */
    it('as before if no route is restricted', async () => {
      fleet.setMembers(createRegionMember('a-south', 'south-2'));
      restrict(undefined);
      expect(await chooseSuccessor()).toBe('a-south');
    });
  });
});
