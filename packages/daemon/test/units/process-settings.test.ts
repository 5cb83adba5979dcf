import {
  parseProcessSettings,
  peerBodySchema,
  parseComment,
  StatementClassifier,
} from '@heatherledge/daemon';
import fc from 'fast-check';
import { beforeAll, describe, expect, it } from 'vitest';

describe('process settings', () => {
  const validText = `{
    // comment
    "instance": { "id": "a", "failureDomain": "d" },
    "peers": { "port": 7000, "secret": "0123456789abcdef" },
    "platform": { "endpoint": "http://127.0.0.1:1" },
  }`;

  it('accept JSON with comments and apply defaults', () => {
    const settings = parseProcessSettings('file', validText, {})._unsafeUnwrap();
    expect(settings.callers.port).toBe(6432);
  });

  it('are overridden by environment variables', () => {
    const environment = { HEATHERLEDGE_CALLERS_PORT: '7001' };
    const settings = parseProcessSettings('file', validText, environment)._unsafeUnwrap();
    expect(settings.callers.port).toBe(7001);
  });

  it('report all findings together, with the line and the closest known key', () => {
    const invalidText = validText
      .replace('"id": "a"', '"idd": "a"')
      .replace('"port": 7000', '"port": 0');
    const findings = parseProcessSettings('file', invalidText, {})._unsafeUnwrapErr();
    expect(findings).toContainEqual(
      expect.objectContaining({
        field: 'instance.idd',
        line: 3,
        message: 'unknown key; did you mean "id"?',
      }),
    );
    expect(findings).toContainEqual(expect.objectContaining({ field: 'peers.port', line: 4 }));
    expect(findings).toContainEqual(expect.objectContaining({ field: 'instance.id' }));
  });

  it('are parsed without throwing, whatever the text', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), (text) => {
        parseProcessSettings('file', text, {});
      }),
      { seed: 1 },
    );
  });
});

describe('peer messages', () => {
  it('are refused without throwing if they are malformed', () => {
    fc.assert(
      fc.property(fc.anything(), (body) => {
        expect(peerBodySchema.safeParse(body).success).toBe(false);
      }),
      { seed: 1 },
    );
  });
});

describe('statement classification', () => {
  beforeAll(async () => StatementClassifier.load());

  it.each([
    ['SELECT 1', 'read'],
    ['SELECT * FROM t FOR UPDATE', 'write'],
    ['WITH x AS (INSERT INTO t VALUES (1) RETURNING a) SELECT * FROM x', 'write'],
    ["SELECT nextval('s')", 'write'],
    ['BEGIN READ ONLY', 'begin'],
    ['ROLLBACK', 'rollback'],
    ["SET heatherledge.max_age_ms = '5'", 'set-proxy'],
    ['SET search_path = x', 'set-session'],
    ['LISTEN a', 'refused'],
    ['PREPARE TRANSACTION $$x$$', 'refused'],
    ['nonsense', 'invalid'],
  ])('classifies %s as %s', (text, kind) => {
    const classes = new StatementClassifier(10).classify(text);
    expect(classes.map((item) => item.kind)).toEqual([kind]);
  });
});

describe('SQL comments', () => {
  it('carry parameters in sqlcommenter form', () => {
    const text = "/*heatherledge.idempotency_key='a%20b',other='x'*/ SELECT 1";
    expect(parseComment(text)).toEqual({ idempotencyKey: 'a b', maxAgeMs: undefined });
  });

  it('are ignored unless they precede the statement', () => {
    expect(parseComment("SELECT 1 /*heatherledge.idempotency_key='a'*/")).toEqual({});
  });
});
