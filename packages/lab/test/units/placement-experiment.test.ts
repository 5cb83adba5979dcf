import { beforeAll, describe, expect, it } from 'vitest';
import {
  LOAD_PATTERNS,
  PlacementExperiment,
  type PlacementResult,
  POLICY_PLANS,
} from '../../src/index.js';

const SIZE = { instances: 195, groups: 14, organisations: 140, perSecond: 2000, seconds: 10 };
const SEED = 1;

function run(patternName: string, policyName: string): PlacementResult {
  const pattern = LOAD_PATTERNS.find(({ name }) => name === patternName);
  const plan = POLICY_PLANS.find(({ name }) => name === policyName);
  if (pattern === undefined || plan === undefined) throw new Error('unknown pattern or policy');
  return new PlacementExperiment(pattern, plan, SIZE, SEED).run();
}

describe('placement at 195 instances and 42 members', () => {
  describe.each(['burst', 'hot-organisation', 'lagging-replicas'])(
    'load pattern: %s',
    (pattern) => {
      let hosts: PlacementResult;
      let lastVersion: PlacementResult;
      let bound: PlacementResult;

      beforeAll(() => {
        hosts = run(pattern, 'hosts');
        lastVersion = run(pattern, 'last version');
        bound = run(pattern, 'all-knowing');
      });

      it('hosts serve more within the objective than instances that connect by themselves', () => {
        expect(hosts.inObjective).toBeGreaterThan(lastVersion.inObjective + 0.1);
        expect(hosts.worstOrganisation).toBeGreaterThan(lastVersion.worstOrganisation);
      });

      it('hosts come close to a policy that knows every queue', () => {
        expect(hosts.inObjective).toBeGreaterThan(bound.inObjective - 0.03);
      });

      it('hosts open few connections', () => {
        expect(hosts.handshakes).toBeLessThan(0.4);
      });
    },
  );

  it('a run repeats with its seed', () => {
    expect(run('steady', 'hosts')).toEqual(run('steady', 'hosts'));
  });
});
