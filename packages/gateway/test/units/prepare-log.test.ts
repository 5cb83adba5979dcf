import { ManualClock, type MemberEntry } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import {
  EventLog,
  type MemberConnection,
  MemberRegistry,
  type PrepareCommand,
} from '../../src/index.js';

/** Longer than what tells shapes apart; a shape may be as long as a message, 1 MiB. */
const MAX_LOGGED_LENGTH = 2000;

describe('the log of a prepared statement', () => {
  // Up to 20 lines a second are written: whole shapes would be 20 MiB a second, written by the event loop.
  it('holds no more than the beginning of a long shape', () => {
    const lines: string[] = [];
    const log = new EventLog(new ManualClock(1000), { write: (line) => void lines.push(line) });
    const entry = { id: 'm1' } as unknown as MemberEntry;
    const connection = { number: 7, organisation: undefined } as unknown as MemberConnection;
    const shape = 'x'.repeat(1_000_000);
    const command: PrepareCommand = { kind: 'prepare', name: 'a', access: 'read', shape };
    const registry = { log } as unknown as MemberRegistry;
    MemberRegistry.prototype.onPrepare.call(registry, entry, connection, command);
    expect(lines).toHaveLength(1);
    expect(lines[0]).toContain('"connection":7');
    expect(lines[0]?.length).toBeLessThan(MAX_LOGGED_LENGTH);
  });
});
