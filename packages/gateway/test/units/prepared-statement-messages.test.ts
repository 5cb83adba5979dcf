import { describe, expect, it } from 'vitest';
import { decodeStatement } from '../../src/index.js';

describe('a statement from another instance', () => {
  // Guards against a name that is only the beginning of the one that the text executes: the rest would
  // be joined to the name at the member, and executes whatever is prepared there under both.
  it('is not run if its text executes a name that begins with the prepared one', () => {
    const prepared = { name: 'read_q', access: 'read' as const, shape: 'q' };
    const text = 'EXECUTE read_q2 i1';
    expect(decodeStatement({ request: 'r', text, prepared })).toBeUndefined();
  });
});
