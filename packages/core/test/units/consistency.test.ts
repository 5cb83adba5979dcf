import {
  PositionHistory,
  CommitTracker,
  type GroupId,
  includesPosition,
  type OrganisationId,
  PositionCodec,
  ReadIndexBatcher,
  type SessionPosition,
  toBrand,
  toMilliseconds,
} from '@heatherledge/core';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const createPosition = (term: number, position: number): SessionPosition =>
  ({ term, position }) as unknown as SessionPosition;
const [organisation, otherOrganisation] = ['one', 'two'].map((id) =>
  toBrand<OrganisationId>(id),
) as [OrganisationId, OrganisationId];
const group = toBrand<GroupId>('group');

describe('includesPosition', () => {
  it('returns false for a member of an earlier term, even if its log is longer', () => {
    expect(includesPosition(createPosition(1, 10), createPosition(2, 5))).toBe(false);
  });

  it('returns true for a member of a later term whose log is at least as long', () => {
    expect(includesPosition(createPosition(3, 5), createPosition(2, 5))).toBe(true);
  });
});

describe('PositionCodec', () => {
  const codec = new PositionCodec('secret');

  it('decodes what it encoded', () => {
    fc.assert(
      fc.property(fc.nat(), fc.nat(), (term, position) => {
        const token = codec.encode(organisation, group, createPosition(term, position));
        expect(codec.decode(organisation, group, token)).toEqual({ term, position });
      }),
      { seed: 1 },
    );
  });

  it('refuses a token of another organisation, group or secret', () => {
    const token = codec.encode(organisation, group, createPosition(1, 2));
    expect(codec.decode(otherOrganisation, group, token)).toBeUndefined();
    expect(codec.decode(organisation, toBrand<GroupId>('other'), token)).toBeUndefined();
    expect(new PositionCodec('other').decode(organisation, group, token)).toBeUndefined();
  });

  it('refuses text that it did not encode', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(codec.decode(organisation, group, text)).toBeUndefined();
      }),
      { seed: 2 },
    );
  });
});

describe('ReadIndexBatcher', () => {
  it('completes a read only with a request that started after the read arrived', () => {
    const batcher = new ReadIndexBatcher();
    const first = batcher.addRead();
    const request = batcher.startRequest();
    const second = batcher.addRead();
    expect(batcher.startRequest()).toBeUndefined();
    expect(batcher.completeRequest(request?.requestId ?? 0, createPosition(1, 1)).tickets).toEqual([
      first,
    ]);
    const next = batcher.startRequest();
    expect(batcher.completeRequest(next?.requestId ?? 0, createPosition(1, 2)).tickets).toEqual([
      second,
    ]);
  });

  it('ignores the response to an earlier request', () => {
    const batcher = new ReadIndexBatcher();
    batcher.addRead();
    const requestId = batcher.startRequest()?.requestId ?? 0;
    expect(batcher.completeRequest(requestId - 1, createPosition(1, 1)).tickets).toEqual([]);
  });
});

describe('PositionHistory', () => {
  it('finds the oldest position within the maximum age', () => {
    const samples = new PositionHistory(10_000);
    for (const timeMs of [0, 100, 200]) {
      samples.add({ requestedAt: toMilliseconds(timeMs), position: createPosition(1, timeMs) });
    }
    expect(samples.findOldest(150, toMilliseconds(250))).toEqual(createPosition(1, 100));
    expect(samples.findOldest(10, toMilliseconds(250))).toBeUndefined();
  });
});

describe('CommitTracker', () => {
  const requested = { kind: 'commit-requested' } as const;
  const interrupted = { kind: 'interrupted', reason: 'lost' } as const;

  it('reports not-run for a transaction whose commit was never sent', () => {
    const step = new CommitTracker(false).handle(interrupted);
    expect(step).toEqual({ kind: 'finish', verdict: { kind: 'not-run', reason: 'lost' } });
  });

  it('reports unknown for an interrupted commit without a record', () => {
    const tracker = new CommitTracker(false);
    tracker.handle(requested);
    expect(tracker.handle(interrupted)).toMatchObject({ verdict: { kind: 'unknown' } });
  });

  it('looks up an interrupted commit that has a record', () => {
    const tracker = new CommitTracker(true);
    tracker.handle(requested);
    expect(tracker.handle(interrupted)).toEqual({ kind: 'look-up' });
    const found = { kind: 'looked-up', found: true, position: createPosition(2, 3) } as const;
    expect(tracker.handle(found)).toMatchObject({ verdict: { kind: 'done' } });
  });

  it('ignores a refusal of a commit that is already in a log', () => {
    const tracker = new CommitTracker(false);
    tracker.handle(requested);
    tracker.handle({ kind: 'commit-applied' });
    expect(tracker.handle({ kind: 'commit-refused', reason: 'late' })).toEqual({ kind: 'wait' });
  });

  it('finishes at most once', () => {
    const event = fc.constantFrom(
      requested,
      interrupted,
      { kind: 'commit-applied' } as const,
      { kind: 'commit-refused', reason: 'no' } as const,
      { kind: 'confirmed', position: createPosition(1, 1) } as const,
      { kind: 'looked-up', found: false, position: createPosition(1, 1) } as const,
      { kind: 'look-up-failed' } as const,
      { kind: 'deadline' } as const,
    );
    fc.assert(
      fc.property(fc.boolean(), fc.array(event), (hasRecord, events) => {
        const tracker = new CommitTracker(hasRecord);
        const verdicts = events
          .map((item) => tracker.handle(item))
          .filter((s) => s.kind === 'finish');
        expect(verdicts.length).toBeLessThanOrEqual(1);
      }),
      { seed: 3 },
    );
  });
});
