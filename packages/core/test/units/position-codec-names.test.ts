import { describe, expect, it } from 'vitest';
import {
  type GroupId,
  type LogPosition,
  type OrganisationId,
  PositionCodec,
  type Term,
  toBrand,
} from '../../src/index.js';

const POSITION = { term: toBrand<Term>(3), position: toBrand<LogPosition>(7) };
const PAIRS: readonly [string, string][] = [
  ['a', 'b'],
  ['a\0b', 'c'],
  ['a', 'b\0c'],
  ['', 'a\0b\0c'],
  ['["a"', '"b"'],
];

describe('tokens of positions', () => {
  const codec = new PositionCodec('secret');

  it('are valid for no other organisation and group, whatever their names hold', () => {
    for (const [organisation, group] of PAIRS) {
      const token = codec.encode(
        toBrand<OrganisationId>(organisation),
        toBrand<GroupId>(group),
        POSITION,
      );
      const accepting = PAIRS.filter(
        (pair) =>
          codec.decode(toBrand<OrganisationId>(pair[0]), toBrand<GroupId>(pair[1]), token) !==
          undefined,
      );
      expect(accepting).toEqual([[organisation, group]]);
    }
  });

  it('stay valid between instances of different versions', () => {
    const token = codec.encode(
      toBrand<OrganisationId>('archive'),
      toBrand<GroupId>('ledger'),
      POSITION,
    );
    expect(token).toBe('v1.3.7.Q22faI6QLQ18_dbyBdxErA');
  });
});
