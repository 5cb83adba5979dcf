import { createHash } from 'node:crypto';
import {
  type Frame,
  FrameSplitter,
  FrontendCode,
  createFrontendMessage,
  parseBindMessage,
  parseMessageTarget,
  parseParseMessage,
} from '@heatherledge/wire';
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { createRequest, type SessionStatements } from '../../src/callers/caller-request.js';
import {
  createUpstreamRequest,
  type PreparingConnection,
} from '../../src/callers/request-rewriter.js';
import { PreparedStatements } from '../../src/upstreams/prepared-statements.js';

const NO_TYPES = Buffer.from([0, 0]);
const NO_VALUES = Buffer.from([0, 0, 0, 0, 0, 0]);
const STATEMENT_TARGET = Buffer.from('S');

function toFrame(bytes: Buffer): Frame {
  return { type: bytes[0] ?? 0, bytes };
}

function createParse(name: string, text: string): Frame {
  return toFrame(createFrontendMessage(FrontendCode.Parse, [name, text], NO_TYPES));
}

function createBind(name: string): Frame {
  return toFrame(createFrontendMessage(FrontendCode.Bind, ['', name], NO_VALUES));
}

function createClose(name: string): Frame {
  const body = Buffer.concat([STATEMENT_TARGET, Buffer.from(`${name}\0`)]);
  return toFrame(createFrontendMessage(FrontendCode.Close, [], body));
}

const SYNC = toFrame(createFrontendMessage(FrontendCode.Sync, []));

/** A member's connection as PostgreSQL keeps it: texts by name, in the order of the messages. */
class FakeConnection {
  readonly texts = new Map<string, string>();

  /** Texts of the bound statements; undefined for a name that is not prepared. */
  readonly run: (string | undefined)[] = [];

  receive(bytes: Buffer, confirm: (index: number) => void): void {
    let parses = 0;
    for (const frame of new FrameSplitter(1_000_000).push(bytes)) {
      if (frame.type === FrontendCode.Parse) {
        const { name, text } = parseParseMessage(frame.bytes);
        if (name !== '' && this.texts.has(name)) throw new Error(`${name} exists already`);
        this.texts.set(name, text);
        confirm(parses);
        parses += 1;
      }
      if (frame.type === FrontendCode.Close) {
        this.texts.delete(parseMessageTarget(frame.bytes).name);
      }
      if (frame.type === FrontendCode.Bind) {
        this.run.push(this.texts.get(parseBindMessage(frame.bytes).statement));
      }
    }
  }
}

function createTarget(prepared: PreparedStatements, parameterScope: string): PreparingConnection {
  return { prepared, parameterScope, markParametersUnknown: () => {} };
}

class FakeSession {
  readonly statements: SessionStatements = new Map();

  send(
    connection: FakeConnection,
    prepared: PreparedStatements,
    frames: readonly Frame[],
    scope = '',
  ): (string | undefined)[] {
    const before = connection.run.length;
    const request = createRequest([...frames, SYNC], this.statements);
    const upstream = createUpstreamRequest(request, createTarget(prepared, scope));
    connection.receive(upstream.bytes, (index) => upstream.onParsed?.(index));
    return connection.run.slice(before);
  }
}

/** A name or a text with any character of the protocol; only the terminating zero is excluded. */
const protocolText = fc
  .string({ unit: 'binary', maxLength: 80 })
  .map((text) => text.replaceAll('\0', ''));

describe('createUpstreamRequest', () => {
  describe('with several statements in one request', () => {
    it('runs each in the text that it had when it was bound', () => {
      const ran = new FakeSession().send(new FakeConnection(), new PreparedStatements(), [
        createParse('', 'INSERT A'),
        createBind(''),
        createParse('', 'INSERT B'),
        createBind(''),
      ]);
      expect(ran).toEqual(['INSERT A', 'INSERT B']);
    });

    it('runs a name that is closed and prepared again in both of its texts', () => {
      const ran = new FakeSession().send(new FakeConnection(), new PreparedStatements(), [
        createParse('s', 'INSERT A'),
        createBind('s'),
        createClose('s'),
        createParse('s', 'INSERT B'),
        createBind('s'),
      ]);
      expect(ran).toEqual(['INSERT A', 'INSERT B']);
    });
  });

  describe('with a name that the session has not prepared', () => {
    it("does not reach the unnamed statement of the connection's former session", () => {
      const connection = new FakeConnection();
      const prepared = new PreparedStatements();
      new FakeSession().send(connection, prepared, [createParse('', 'DELETE OTHERS')]);
      expect(new FakeSession().send(connection, prepared, [createBind('')])).toEqual([undefined]);
    });

    it("does not reach a statement by the connection's own name for it", () => {
      const connection = new FakeConnection();
      const prepared = new PreparedStatements();
      new FakeSession().send(connection, prepared, [createParse('s', 'DELETE OTHERS')]);
      const oldName = createHash('sha1').update('DELETE OTHERS').update('\0').update(NO_TYPES);
      const names = [...connection.texts.keys(), `hl_${oldName.digest('hex').slice(0, 24)}`];
      for (const name of names) {
        expect(new FakeSession().send(connection, prepared, [createBind(name)])).toEqual([
          undefined,
        ]);
      }
    });
  });

  it('prepares a statement separately for each set of session parameters', () => {
    const connection = new FakeConnection();
    const prepared = new PreparedStatements();
    const frames = [createParse('s', "SELECT '01/02/2024'::date")];
    new FakeSession().send(connection, prepared, frames, "SET datestyle = 'DMY'");
    new FakeSession().send(connection, prepared, frames, "SET datestyle = 'MDY'");
    expect(connection.texts.size).toBe(2);
  });

  it('prepares a statement again if the member has not confirmed it', () => {
    const session = new FakeSession();
    const prepared = new PreparedStatements();
    const lost = createRequest([createParse('s', 'SELECT 1'), SYNC], session.statements);
    createUpstreamRequest(lost, createTarget(prepared, ''));
    expect(session.send(new FakeConnection(), prepared, [createBind('s')])).toEqual(['SELECT 1']);
  });

  it('keeps a limited number of statements on a connection', () => {
    const connection = new FakeConnection();
    const prepared = new PreparedStatements(10);
    const session = new FakeSession();
    for (let number = 0; number < 50; number += 1) {
      session.send(connection, prepared, [createParse(`s${number}`, `SELECT ${number}`)]);
    }
    expect(connection.texts.size).toBeLessThanOrEqual(10);
    expect(session.send(connection, prepared, [createBind('s3')])).toEqual(['SELECT 3']);
  });

  it('runs what each caller prepared, whatever the names and texts', () => {
    const step = fc.record({
      session: fc.nat(2),
      name: fc.oneof(fc.constant(''), fc.constantFrom('s', 'S', 'hl_none'), protocolText),
      text: protocolText,
      scope: fc.constantFrom('', 'SET a = b'),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
        const connection = new FakeConnection();
        const prepared = new PreparedStatements(3);
        const sessions = [0, 1, 2].map(() => new FakeSession());
        const texts = sessions.map(() => new Map<string, string>());
        for (const { session, name, text, scope } of steps) {
          sessions[session]?.send(connection, prepared, [createParse(name, text)], scope);
          texts[session]?.set(name, text);
        }
        for (const { session, name, scope } of steps) {
          const ran = sessions[session]?.send(connection, prepared, [createBind(name)], scope);
          expect(ran).toEqual([texts[session]?.get(name)]);
        }
      }),
      { numRuns: 200 },
    );
  });
});

describe('createRequest', () => {
  it('marks a request whose text or names are not UTF-8', () => {
    const isReadable = (...frames: Frame[]): boolean =>
      createRequest([...frames, SYNC], new Map()).isReadable;
    const [before, after] = [Buffer.from("\0SELECT '"), Buffer.from("'\0")];
    const parse = Buffer.concat([before, Buffer.from([0xe9]), after, NO_TYPES]);
    expect(isReadable(toFrame(createFrontendMessage(FrontendCode.Parse, [], parse)))).toBe(false);
    const bind = Buffer.concat([Buffer.from([0, 0xff, 0]), NO_VALUES]);
    expect(isReadable(toFrame(createFrontendMessage(FrontendCode.Bind, [], bind)))).toBe(false);
    expect(isReadable(createParse('é', 'SELECT 1'), createBind('é'))).toBe(true);
  });
});
