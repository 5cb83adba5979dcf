import {
  createCommandComplete,
  createDataRow,
  createErrorResponse,
  createReadyForQuery,
  FrameLengthError,
  FrameSplitter,
  parseDataRow,
  parseErrorResponse,
  parseReadyForQuery,
  parseStartup,
} from '@heatherledge/wire';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

describe('FrameSplitter', () => {
  const bytes = Buffer.concat([createCommandComplete('SELECT 1'), createReadyForQuery('idle')]);

  it('gives the same messages however the bytes are cut', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.length), { maxLength: 6 }), (cuts) => {
        const splitter = new FrameSplitter(1000);
        const places = [0, ...cuts.sort((a, b) => a - b), bytes.length];
        const frames = places
          .slice(1)
          .flatMap((end, index) => splitter.push(bytes.subarray(places[index], end)));
        expect(frames.map(({ type }) => String.fromCharCode(type))).toEqual(['C', 'Z']);
        expect(splitter.pendingBytes).toBe(0);
      }),
      { seed: 1 },
    );
  });

  it('refuses impossible lengths before it holds their bytes', () => {
    const header = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    expect(() => new FrameSplitter(1000).push(header)).toThrow(FrameLengthError);
    expect(() => new FrameSplitter(1000).push(Buffer.from([0x51, 0, 0, 0, 3]))).toThrow(
      FrameLengthError,
    );
  });

  it('takes any bytes without any other error', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (chunk) => {
        try {
          new FrameSplitter(1000).push(Buffer.from(chunk));
        } catch (error) {
          expect(error).toBeInstanceOf(FrameLengthError);
        }
      }),
      { seed: 2 },
    );
  });
});

describe('messages', () => {
  it('read back what was built', () => {
    expect(parseDataRow(createDataRow(['a', null, '']))).toEqual(['a', null, '']);
    expect(parseReadyForQuery(createReadyForQuery('failed'))).toBe('failed');
    const error = createErrorResponse({ code: '40001', message: 'no', hint: 'again' });
    expect(parseErrorResponse(error)).toEqual({ code: '40001', message: 'no', hint: 'again' });
  });

  it('take any startup packet', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 100 }), (packet) => {
        expect(parseStartup(Buffer.from(packet)).kind).toBeDefined();
      }),
      { seed: 3 },
    );
  });
});
