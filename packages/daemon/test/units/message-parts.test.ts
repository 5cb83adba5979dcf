import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  type Envelope,
  IncomingParts,
  IncompleteMessageMemory,
  MAX_PART_BYTES,
  MAX_PEER_MESSAGE_BYTES,
  OutgoingParts,
  type PartFrame,
} from '../../src/index.js';

type Part = Extract<PartFrame, { frame: 'part' }>;

const TOTAL = 3 * MAX_PART_BYTES + 7;

function createEnvelope(ask: number): Envelope {
  return { ask, body: { kind: 'peer.ping' } };
}

function createBytes(length: number, fill: number): Buffer {
  return Buffer.alloc(length, fill);
}

describe('messages in parts', () => {
  let frames: PartFrame[];
  /** Confirms that the socket has taken the last frame. */
  let confirm: () => void;
  let sent: Envelope[];
  let outgoing: OutgoingParts;

  beforeEach(() => {
    frames = [];
    sent = [];
    outgoing = new OutgoingParts(
      (frame, onWritten) => {
        frames.push(frame);
        if (frame.frame === 'part') confirm = onWritten;
      },
      (envelope) => sent.push(envelope),
    );
  });

  const listParts = (): Part[] => frames.filter((frame) => frame.frame === 'part');

  describe('being sent', () => {
    it('wait for the socket between parts, and take turns', () => {
      outgoing.add(createEnvelope(1), createBytes(TOTAL, 1));
      outgoing.add(createEnvelope(2), createBytes(2 * MAX_PART_BYTES, 2));
      expect(frames).toHaveLength(1);
      for (let count = 0; count < 6; count += 1) confirm();
      expect(listParts().map(({ ask, offset }) => [ask, offset / MAX_PART_BYTES])).toEqual([
        [1, 0],
        [1, 1],
        [2, 0],
        [1, 2],
        [2, 1],
        [1, 3],
      ]);
      expect(sent.map(({ ask }) => ask)).toEqual([2, 1]);
    });

    it('count as sent once the last part is handed over', () => {
      outgoing.add(createEnvelope(1), createBytes(MAX_PART_BYTES + 1, 1));
      expect(sent).toEqual([]);
      expect(outgoing.cancel(1)).toBe(true);
      confirm();
      expect(sent).toEqual([]);
      expect(frames.at(-1)).toEqual({ frame: 'parts.cancelled', message: 1 });
    });

    it('cannot be cancelled after that', () => {
      outgoing.add(createEnvelope(1), createBytes(MAX_PART_BYTES + 1, 1));
      confirm();
      expect(sent).toHaveLength(1);
      expect(outgoing.cancel(1)).toBe(false);
    });

    it('are limited, alone and together', () => {
      expect(outgoing.add(createEnvelope(1), createBytes(MAX_PEER_MESSAGE_BYTES + 1, 1))).toBe(
        false,
      );
      const message = createBytes(MAX_PEER_MESSAGE_BYTES, 1);
      expect([2, 3, 4].map((ask) => outgoing.add(createEnvelope(ask), message))).toEqual([
        true,
        true,
        false,
      ]);
      outgoing.cancel(2);
      expect(outgoing.add(createEnvelope(5), message)).toBe(true);
    });
  });

  describe('being received', () => {
    let refused: unknown[];
    let memory: IncompleteMessageMemory;
    let incoming: IncomingParts;

    beforeEach(() => {
      vi.useFakeTimers();
      refused = [];
      memory = new IncompleteMessageMemory();
      incoming = new IncomingParts(memory, (message, numbers) =>
        refused.push({ message, ...numbers }),
      );
    });

    afterEach(() => {
      vi.useRealTimers();
    });

    const createPart = (changes: Partial<Part>): Part => ({
      frame: 'part',
      message: 1,
      total: 4,
      offset: 0,
      bytes: createBytes(2, 1),
      ask: 9,
      ...changes,
    });

    it('are put together as they were sent', () => {
      const bytes = Buffer.from(Array.from({ length: TOTAL }, (_, index) => index % 251));
      outgoing.add(createEnvelope(1), bytes);
      outgoing.add(createEnvelope(2), createBytes(TOTAL, 2));
      for (let count = 0; count < 8; count += 1) confirm();
      const complete = listParts().flatMap((part) => {
        const result = incoming.take(part);
        return result.kind === 'complete' ? [result.bytes] : [];
      });
      expect(complete.map((message) => Buffer.compare(message, bytes))[0]).toBe(0);
      expect(complete).toHaveLength(2);
    });

    it('are refused while those that are incomplete take all memory, until they are gone', () => {
      const total = MAX_PEER_MESSAGE_BYTES;
      incoming.take(createPart({ total }));
      const other = new IncomingParts(memory, (message) => refused.push(message));
      other.take(createPart({ total, message: 7 }));
      other.take(createPart({ total, message: 7, offset: 2 }));
      expect(refused).toEqual([7]);
      incoming.close();
      other.take(createPart({ total, message: 8 }));
      expect(refused).toEqual([7]);
    });

    it('are discarded when nothing more of them arrives', () => {
      incoming.take(createPart({}));
      vi.advanceTimersByTime(4900);
      expect(refused).toEqual([]);
      vi.advanceTimersByTime(200);
      expect(refused).toEqual([{ message: 1, ask: 9, answer: undefined }]);
      expect(incoming.take(createPart({ offset: 2 }))).toEqual({ kind: 'incomplete' });
    });

    it('are discarded when the sender cancels them', () => {
      incoming.take(createPart({}));
      incoming.discard(1);
      vi.advanceTimersByTime(10_000);
      expect(refused).toEqual([]);
    });

    it.each<[string, Partial<Part>]>([
      ['begins again', { offset: 0 }],
      ['leaves a gap', { offset: 3 }],
      ['has another length', { offset: 2, total: 5 }],
      ['is longer than the message', { offset: 2, bytes: createBytes(3, 1) }],
    ])('are malformed if a part %s', (_, changes) => {
      incoming.take(createPart({}));
      expect(incoming.take(createPart(changes))).toEqual({ kind: 'malformed' });
    });
  });
});
