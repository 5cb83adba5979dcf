import { ManualClock } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import { EventLog, logUnknownRegions } from '../../src/index.js';
import {
  createRegionMember,
  createRegionRoute,
  REGION_BY_DOMAIN,
  RegionFleet,
} from '../fixtures/region-fleet.js';

describe('regions that no failure domain has', () => {
  /** Guards against a misspelt region that nobody is told of, and against a line for each change of the view. */
  it('are named in one log line per settings version, of bounded length', () => {
    const lines: Record<string, unknown>[] = [];
    const write = (line: string): void => {
      lines.push(JSON.parse(line) as Record<string, unknown>);
    };
    const clock = new ManualClock(1000);
    const fleet = new RegionFleet(clock, new EventLog(clock, { write }));
    logUnknownRegions(fleet.view, REGION_BY_DOMAIN, fleet.log);
    const listLines = () => lines.filter(({ event }) => event === 'settings.regions.unknown');
    fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['north']) })]);
    expect(listLines()).toEqual([]);
    fleet.setSettings([createRegionRoute({ allowedRegions: new Set(['north', 'nroth']) })], ['x']);
    fleet.setMembers(createRegionMember('m', 'north-1'));
    fleet.addInstances(['i', 'north-1']);
    expect(listLines()).toMatchObject([{ version: 2, count: 2, regions: ['nroth', 'x'] }]);
    const many = Array.from({ length: 500 }, (_, index) => `region-${index}`);
    fleet.setSettings([createRegionRoute({ allowedRegions: new Set(many) })]);
    expect(listLines()[1]).toMatchObject({ version: 3, count: 500 });
    expect(listLines()[1]?.['regions']).toHaveLength(10);
  });
});
