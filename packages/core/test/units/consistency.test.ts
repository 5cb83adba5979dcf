import {
  AgeSamples,
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

const place = (term: number, position: number): SessionPosition =>
  ({ term, position }) as unknown as SessionPosition;
const [one, two] = ['one', 'two'].map((id) => toBrand<OrganisationId>(id)) as [
  OrganisationId,
  OrganisationId,
];
const group = toBrand<GroupId>('group');

describe('includesPosition', () => {
  it('does not take a longer log of an earlier term for a later one', () => {
    expect(includesPosition(place(1, 10), place(2, 5))).toBe(false);
  });

  it('takes a log of a later term that is long enough', () => {
    expect(includesPosition(place(3, 5), place(2, 5))).toBe(true);
  });
});

describe('PositionCodec', () => {
  const codec = new PositionCodec('secret');

  it('opens what it sealed', () => {
    fc.assert(
      fc.property(fc.nat(), fc.nat(), (term, position) => {
        const token = codec.seal(one, group, place(term, position));
        expect(codec.open(one, group, token)).toEqual({ term, position });
      }),
      { seed: 1 },
    );
  });

  it('opens nothing for another organisation, group or secret', () => {
    const token = codec.seal(one, group, place(1, 2));
    expect(codec.open(two, group, token)).toBeUndefined();
    expect(codec.open(one, toBrand<GroupId>('other'), token)).toBeUndefined();
    expect(new PositionCodec('other').open(one, group, token)).toBeUndefined();
  });

  it('opens no text that it did not seal', () => {
    fc.assert(
      fc.property(fc.string(), (text) => {
        expect(codec.open(one, group, text)).toBeUndefined();
      }),
      { seed: 2 },
    );
  });
});

describe('ReadIndexBatcher', () => {
  it('answers a read only by a question asked after it arrived', () => {
    const batcher = new ReadIndexBatcher();
    const first = batcher.join();
    const question = batcher.ask();
    const second = batcher.join();
    expect(batcher.ask()).toBeUndefined();
    expect(batcher.answer(question?.question ?? 0, place(1, 1)).tickets).toEqual([first]);
    const next = batcher.ask();
    expect(batcher.answer(next?.question ?? 0, place(1, 2)).tickets).toEqual([second]);
  });

  it('leaves an answer alone that crossed with a later question', () => {
    const batcher = new ReadIndexBatcher();
    batcher.join();
    const question = batcher.ask()?.question ?? 0;
    expect(batcher.answer(question - 1, place(1, 1)).tickets).toEqual([]);
  });
});

describe('AgeSamples', () => {
  it('finds the oldest position that is still young enough', () => {
    const samples = new AgeSamples(10_000);
    for (const moment of [0, 100, 200]) {
      samples.add({ askedAt: toMilliseconds(moment), position: place(1, moment) });
    }
    expect(samples.resolve(150, toMilliseconds(250))).toEqual(place(1, 100));
    expect(samples.resolve(10, toMilliseconds(250))).toBeUndefined();
  });
});

describe('CommitTracker', () => {
  const requested = { kind: 'commit-requested' } as const;
  const lost = { kind: 'interrupted', reason: 'lost' } as const;

  it('says not-run of a transaction whose commit was never sent', () => {
    const step = new CommitTracker(false).handle(lost);
    expect(step).toEqual({ kind: 'finish', verdict: { kind: 'not-run', reason: 'lost' } });
  });

  it('says unknown of a lost commit without a record', () => {
    const tracker = new CommitTracker(false);
    tracker.handle(requested);
    expect(tracker.handle(lost)).toMatchObject({ verdict: { kind: 'unknown' } });
  });

  it('looks a lost commit up if there is a record', () => {
    const tracker = new CommitTracker(true);
    tracker.handle(requested);
    expect(tracker.handle(lost)).toEqual({ kind: 'look-up' });
    const found = { kind: 'looked-up', found: true, position: place(2, 3) } as const;
    expect(tracker.handle(found)).toMatchObject({ verdict: { kind: 'done' } });
  });

  it('takes no refusal back what is in a log', () => {
    const tracker = new CommitTracker(false);
    tracker.handle(requested);
    tracker.handle({ kind: 'commit-applied' });
    expect(tracker.handle({ kind: 'commit-refused', reason: 'late' })).toEqual({ kind: 'wait' });
  });

  it('gives one verdict only', () => {
    const event = fc.constantFrom(
      requested,
      lost,
      { kind: 'commit-applied' } as const,
      { kind: 'commit-refused', reason: 'no' } as const,
      { kind: 'confirmed', position: place(1, 1) } as const,
      { kind: 'looked-up', found: false, position: place(1, 1) } as const,
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
