import {
  createCommandComplete,
  createDataRow,
  createErrorResponse,
  createFrontendMessage,
  createReadyForQuery,
  FrameLengthError,
  FrameSplitter,
  FrontendCode,
  parseBindMessage,
  parseDataRow,
  parseErrorResponse,
  parseMessageTarget,
  parseParseMessage,
  parseReadyForQuery,
  parseStartup,
} from '@heatherledge/wire';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

const MAX_FRAME_BYTES = 1000;

describe('FrameSplitter', () => {
  const bytes = Buffer.concat([createCommandComplete('SELECT 1'), createReadyForQuery('idle')]);

  it('returns the same messages for any split of the bytes into chunks', () => {
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.length), { maxLength: 6 }), (offsets) => {
        const splitter = new FrameSplitter(MAX_FRAME_BYTES);
        const bounds = [0, ...offsets.sort((a, b) => a - b), bytes.length];
        const frames = bounds
          .slice(1)
          .flatMap((end, index) => splitter.push(bytes.subarray(bounds[index], end)));
        expect(frames.map(({ type }) => String.fromCharCode(type))).toEqual(['C', 'Z']);
        expect(splitter.pendingBytes).toBe(0);
      }),
      { seed: 1 },
    );
  });

  it('throws on a length out of bounds when only the header has arrived', () => {
    // A header is the type, here 'Q', and the length in 4 bytes, which includes these 4 bytes.
    const oversizedHeader = Buffer.from([0x51, 0x7f, 0xff, 0xff, 0xff]);
    expect(() => new FrameSplitter(MAX_FRAME_BYTES).push(oversizedHeader)).toThrow(
      FrameLengthError,
    );
    expect(() => new FrameSplitter(MAX_FRAME_BYTES).push(Buffer.from([0x51, 0, 0, 0, 3]))).toThrow(
      FrameLengthError,
    );
  });

  it('throws nothing but FrameLengthError, whatever the bytes', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 200 }), (chunk) => {
        try {
          new FrameSplitter(MAX_FRAME_BYTES).push(Buffer.from(chunk));
        } catch (error) {
          expect(error).toBeInstanceOf(FrameLengthError);
        }
      }),
      { seed: 2 },
    );
  });
});

describe('message formats', () => {
  it('parse to the values that the messages were built from', () => {
    expect(parseDataRow(createDataRow(['a', null, '']))).toEqual(['a', null, '']);
    expect(parseReadyForQuery(createReadyForQuery('failed'))).toBe('failed');
    const error = createErrorResponse({ code: '40001', message: 'no', hint: 'again' });
    expect(parseErrorResponse(error)).toEqual({ code: '40001', message: 'no', hint: 'again' });
  });

  describe('with names and texts of any characters', () => {
    const text = fc.string({ unit: 'binary' }).map((value) => value.replaceAll('\0', ''));

    it('parse to what they were built from', () => {
      fc.assert(
        fc.property(text, text, fc.uint8Array(), (name, body, bytes) => {
          const rest = Buffer.from(bytes);
          const parse = createFrontendMessage(FrontendCode.Parse, [name, body], rest);
          expect(parseParseMessage(parse)).toEqual({ name, text: body, rest });
          const bind = createFrontendMessage(FrontendCode.Bind, [name, body], rest);
          expect(parseBindMessage(bind)).toEqual({ portal: name, statement: body, rest });
          const target = createFrontendMessage(FrontendCode.Close, [`S${name}`]);
          expect(parseMessageTarget(target)).toEqual({ kind: 'statement', name });
        }),
        { seed: 4 },
      );
    });

    it('are refused if a string has no end', () => {
      const body = Buffer.from('S\0DELETE FROM items WHERE id = 12');
      const message = createFrontendMessage(FrontendCode.Parse, [], body);
      expect(() => parseParseMessage(message)).toThrow(RangeError);
      expect(() => parseBindMessage(message)).toThrow(RangeError);
      const target = createFrontendMessage(FrontendCode.Close, [], Buffer.from('Sname'));
      expect(() => parseMessageTarget(target)).toThrow(RangeError);
    });
  });

  it('parse a first packet of any bytes without an error', () => {
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 100 }), (packet) => {
        expect(parseStartup(Buffer.from(packet)).kind).toBeDefined();
      }),
      { seed: 3 },
    );
  });
});
