import { MAX_PEER_FRAME_BYTES } from '@heatherledge/daemon';
import { describe, expect, it } from 'vitest';
import {
  ChangeBuffer,
  type StoreEra,
  type StoreEvent,
  type StoreRevision,
} from '../../src/index.js';

function createEvent(key: string, revision: number, bytes: number): StoreEvent {
  const stored = { revision: revision as StoreRevision, createdRevision: 1 as StoreRevision };
  return { kind: 'written', item: { key, value: Buffer.alloc(bytes), ...stored } };
}

/** Adds one change for each revision from 1 on. */
function fill(buffer: ChangeBuffer, count: number, bytes: number): void {
  for (let revision = 1; revision <= count; revision += 1) {
    buffer.add((revision - 1) as StoreRevision, {
      events: [createEvent('k', revision, bytes)],
      revision: revision as StoreRevision,
      era: 1 as StoreEra,
    });
  }
}

describe('ChangeBuffer', () => {
  it('lists the changes after a revision', () => {
    const buffer = new ChangeBuffer();
    fill(buffer, 3, 1);
    expect(buffer.start).toBe(0);
    const listed = buffer.listAfter(1 as StoreRevision);
    expect(listed).toEqual([createEvent('k', 2, 1), createEvent('k', 3, 1)]);
  });

  // Guards against memory that grows with the size of what others write.
  it('keeps no more than one message between instances can carry', () => {
    const buffer = new ChangeBuffer();
    fill(buffer, 100, 1024 * 1024);
    const { start = 0 as StoreRevision } = buffer;
    const kept = 100 - start;
    expect(kept).toBeGreaterThan(1);
    expect(kept * 1024 * 1024).toBeLessThan(MAX_PEER_FRAME_BYTES);
    expect(buffer.listAfter(start)).toHaveLength(kept);
  });

  it('keeps nothing of changes that are too large by themselves', () => {
    const buffer = new ChangeBuffer();
    fill(buffer, 1, MAX_PEER_FRAME_BYTES);
    expect(buffer.start).toBeUndefined();
  });

  it('keeps a bounded number of changes', () => {
    const buffer = new ChangeBuffer();
    fill(buffer, 1000, 1);
    expect(buffer.start).toBe(800);
  });
});
