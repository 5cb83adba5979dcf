import {
  FreshnessGuard,
  type InstanceId,
  SettingsReplica,
  type SettingsRevision,
  toBrand,
  toMilliseconds,
  validateChange,
} from '@heatherledge/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const at = toMilliseconds;
const revision = (value: number): SettingsRevision => toBrand<SettingsRevision>(value);
const organisation = { requestsPerSecond: 10, burst: 5 };
const path = 'teams/t/organisations/o';

describe('SettingsReplica', () => {
  it('ignores a state older than its own', () => {
    const replica = new SettingsReplica();
    replica.apply({
      kind: 'state',
      revision: revision(5),
      entries: [{ path, value: organisation }],
    });
    expect(replica.apply({ kind: 'state', revision: revision(4), entries: [] })).toBe('old');
    expect(replica.current.organisations.size).toBe(1);
  });

  it('reports a gap if earlier updates are missing', () => {
    const replica = new SettingsReplica();
    replica.apply({ kind: 'state', revision: revision(5), entries: [] });
    const gap = { kind: 'delta', from: revision(7), to: revision(8), changes: [{ path }] } as const;
    expect(replica.apply(gap)).toBe('gap');
  });

  it('never returns to an older revision, whatever the order of updates', () => {
    const update = fc.oneof(
      fc.record({
        kind: fc.constant('state' as const),
        revision: fc.nat(20),
        entries: fc.constant([]),
      }),
      fc.record({
        kind: fc.constant('delta' as const),
        from: fc.nat(20),
        to: fc.nat(20),
        changes: fc.constant([]),
      }),
    );
    fc.assert(
      fc.property(fc.array(update, { maxLength: 30 }), (updates) => {
        const replica = new SettingsReplica();
        let newest = 0;
        for (const item of updates) {
          replica.apply(item as never);
          expect(replica.current.revision).toBeGreaterThanOrEqual(newest);
          newest = replica.current.revision;
        }
      }),
      { seed: 1 },
    );
  });

  it('builds the same index from deltas as from a whole state', () => {
    const value = fc.option(
      fc.record({
        requestsPerSecond: fc.integer({ min: 1, max: 9 }),
        burst: fc.integer({ min: 1, max: 9 }),
      }),
    );
    const change = fc.record({ id: fc.constantFrom('a', 'b', 'c'), value });
    fc.assert(
      fc.property(fc.array(change, { maxLength: 20 }), (changes) => {
        const [stepped, whole] = [new SettingsReplica(), new SettingsReplica()];
        stepped.apply({ kind: 'state', revision: revision(1), entries: [] });
        changes.forEach(({ id, value: next }, index) => {
          const item = { path: `teams/t/organisations/${id}`, value: next ?? undefined };
          const [from, to] = [revision(index + 1), revision(index + 2)];
          stepped.apply({ kind: 'delta', from, to, changes: [item] });
        });
        const entries = [...stepped.current.values].map(([name, item]) => ({
          path: name,
          value: item,
        }));
        whole.apply({ kind: 'state', revision: revision(99), entries });
        expect([...whole.current.organisations].sort()).toEqual(
          [...stepped.current.organisations].sort(),
        );
      }),
      { seed: 2 },
    );
  });
});

describe('validateChange', () => {
  it('reports all problems with their locations', () => {
    const findings = validateChange(new Map(), [
      { path: 'nowhere', value: 1 },
      { path, value: { requestsPerSecond: -1, burst: 0 } },
      { path: 'teams/t/routes/d', value: { group: 'missing' } },
    ]);
    const locations = findings.map(({ source, field }) => `${source} ${field}`.trim());
    expect(locations).toEqual([
      'nowhere',
      `${path} requestsPerSecond`,
      `${path} burst`,
      'teams/t/routes/d group',
    ]);
  });

  it('refuses to delete a value that others refer to', () => {
    const values = new Map<string, unknown>([
      [path, organisation],
      ['teams/t/keys/k', { organisation: 'o', digest: 'a'.repeat(64) }],
    ]);
    expect(validateChange(values, [{ path }])).toHaveLength(1);
  });

  it('accepts any JSON value without throwing', () => {
    fc.assert(
      fc.property(
        fc.jsonValue(),
        fc.constantFrom('organisations', 'keys', 'groups', 'routes'),
        (value, kind) => {
          validateChange(new Map(), [{ path: `teams/t/${kind}/x`, value }]);
        },
      ),
      { seed: 3, numRuns: 300 },
    );
  });
});

describe('FreshnessGuard', () => {
  const writers = ['w1', 'w2'].map((id) => toBrand<InstanceId>(id));
  const attest = (
    writer: InstanceId,
    requestedAt: number,
    quietForMs: number,
  ): Parameters<FreshnessGuard['addAttestation']>[0] => ({
    writer,
    requestedAt: at(requestedAt),
    receivedAt: at(requestedAt + 10),
    quietForMs,
  });

  function createGuard(): FreshnessGuard {
    const guard = new FreshnessGuard(at(5000), 'refuse');
    guard.setWriters(new Set(writers));
    guard.recordFreshness(at(1000));
    return guard;
  }

  it('refuses keys once a withdrawal may have gone unnoticed for longer than the limit', () => {
    const guard = createGuard();
    expect(guard.allowsKeys(at(6000))).toBe(true);
    expect(guard.allowsKeys(at(6001))).toBe(false);
  });

  it('allows keys while every writer attests that it has written nothing', () => {
    const guard = createGuard();
    for (const writer of writers) guard.addAttestation(attest(writer, 4000, 9000));
    expect(guard.allowsKeys(at(9000))).toBe(true);
  });

  it('refuses keys if only some of the writers attest', () => {
    const guard = createGuard();
    guard.addAttestation(attest(writers[0] as InstanceId, 4000, 9000));
    expect(guard.allowsKeys(at(9000))).toBe(false);
  });

  it('ignores an attestation that leaves a gap', () => {
    const guard = createGuard();
    for (const writer of writers) guard.addAttestation(attest(writer, 4000, 2000));
    expect(guard.allowsKeys(at(9000))).toBe(false);
  });

  it('allows keys without limit if the policy is to serve stale settings', () => {
    const guard = new FreshnessGuard(at(5000), 'serve');
    guard.recordFreshness(at(0));
    expect(guard.allowsKeys(at(1_000_000))).toBe(true);
  });
});
