import {
  createCommandComplete,
  createDataRow,
  createErrorResponse,
  type Frame,
} from '@heatherledge/wire';
import { describe, expect, it } from 'vitest';
import { ResponseWriter } from '../../src/callers/response-writer.js';

const REQUEST = { bytes: Buffer.alloc(0), hideParse: [], hideClose: [] };
const LARGE_VALUE = 'x'.repeat(20_000);

function toFrame(bytes: Buffer): Frame {
  return { type: bytes[0] ?? 0, bytes };
}

function createWriter(hidesReadOnly = false): { writer: ResponseWriter; sent: Buffer[] } {
  const sent: Buffer[] = [];
  const output = {
    write: (bytes: Buffer) => {
      sent.push(bytes);
      return true;
    },
    waitForDrain: async () => {},
  };
  return { writer: new ResponseWriter(output, REQUEST, hidesReadOnly), sent };
}

describe('ResponseWriter', () => {
  it('holds the command tag back until the response is completed', () => {
    const { writer, sent } = createWriter();
    writer.writeFrame(toFrame(createDataRow([LARGE_VALUE])));
    writer.writeFrame(toFrame(createCommandComplete('SELECT 1')));
    expect(Buffer.concat(sent).toString()).not.toContain('SELECT 1');
    writer.complete();
    expect(Buffer.concat(sent).toString()).toContain('SELECT 1');
  });

  it('forwards nothing while forwarding is blocked, even from a large response', () => {
    const { writer, sent } = createWriter();
    writer.blockForwarding();
    expect(writer.writeFrame(toFrame(createDataRow([LARGE_VALUE])))).toBe(false);
    writer.discardAll();
    writer.writeFrame(toFrame(createDataRow(['late'])));
    writer.complete();
    expect(sent).toEqual([]);
    expect(writer.hasForwarded).toBe(false);
  });

  it('forwards the whole response once forwarding is unblocked', () => {
    const { writer, sent } = createWriter();
    writer.blockForwarding();
    writer.writeFrame(toFrame(createDataRow([LARGE_VALUE])));
    writer.unblockForwarding();
    writer.writeFrame(toFrame(createCommandComplete('SELECT 1')));
    writer.complete();
    expect(Buffer.concat(sent).length).toBeGreaterThan(LARGE_VALUE.length);
  });

  it('hides the read-only error of a member from the caller', () => {
    const { writer, sent } = createWriter(true);
    writer.writeFrame(toFrame(createErrorResponse({ code: '25006', message: 'read-only' })));
    expect(writer.failure?.code).toBe('25006');
    expect(sent).toEqual([]);
  });
});
