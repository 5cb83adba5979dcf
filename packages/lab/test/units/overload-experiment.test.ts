import { describe, expect, it } from 'vitest';
import {
  DEPLOYMENTS,
  OVERLOAD_PATTERNS,
  OVERLOAD_PLANS,
  OverloadExperiment,
  type OverloadResult,
} from '../../src/index.js';

const SEED = 1;

function run(patternName: string, planName: string): OverloadResult {
  const pattern = OVERLOAD_PATTERNS.find(({ name }) => name === patternName);
  const plan = OVERLOAD_PLANS.find(({ name }) => name === planName);
  const [deployment] = DEPLOYMENTS;
  if (pattern === undefined || plan === undefined || deployment === undefined) {
    throw new Error('unknown pattern or plan');
  }
  return new OverloadExperiment(deployment, pattern, plan, SEED).run();
}

describe('queueing at members under overload', () => {
  // Guards against idle transactions that take the connections of everybody else.
  it('serves every class beside idle transactions, unlike the last version', () => {
    expect(run('idle-transactions', 'product').worstClass).toBeGreaterThan(0.98);
    expect(run('idle-transactions', 'last version').worstClass).toBeLessThan(0.6);
  });
});
