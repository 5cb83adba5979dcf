import { ManualClock } from '@heatherledge/core';
import { afterEach, describe, expect, it, vi } from 'vitest';
import { EventLog } from '../../src/index.js';

const MIB = 1024 * 1024;
const MAX_LINE_BYTES = 8192;

describe('EventLog', () => {
  afterEach(() => vi.restoreAllMocks());

  /** Writes one event and returns what the log wrote for it. */
  function record(fields: Record<string, unknown>): Record<string, unknown> {
    const lines: string[] = [];
    const log = new EventLog(new ManualClock(1000), { write: (line: string) => lines.push(line) });
    log.info('test', fields);
    expect(lines).toHaveLength(1);
    expect(lines[0]?.length).toBeLessThan(MAX_LINE_BYTES);
    return JSON.parse(lines[0] ?? '') as Record<string, unknown>;
  }

  // Guards against callers' texts of 1 MiB in each line, which cost processor time and disk.
  it('cuts long texts and tells how long they were', () => {
    const { request, ms } = record({ request: 'x'.repeat(MIB), ms: 5 });
    expect(request).toMatch(/^x{500}x* \(1048576 characters\)$/);
    expect(ms).toBe(5);
  });

  it('keeps short texts, numbers and short lists as they are', () => {
    const fields = { text: 'a\nb', count: 3, list: ['a', 'b'], nested: { a: 'b' } };
    expect(record(fields)).toMatchObject(fields);
  });

  it('does not divide a character in two', () => {
    const { text } = record({ text: `${'x'.repeat(1023)}\u{1F600}${'y'.repeat(600)}` });
    expect(Buffer.from(String(text), 'utf8').toString('utf8')).toBe(text);
    expect(text).not.toContain('\uFFFD');
  });
});
