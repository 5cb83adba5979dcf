import { describe, expect, it } from 'vitest';
import { decodeStoredValue } from '../../src/index.js';

describe('decodeStoredValue', () => {
  it.each(['', 'xx', '{"a":', '['.repeat(1_000_000)])('gives null for %.8s', (text) => {
    expect(decodeStoredValue(text)).toBeNull();
  });

  // Guards against an error of the encoder of messages between instances, which is recursive.
  it('gives null for what is nested too deeply, in lists or in objects', () => {
    expect(decodeStoredValue('['.repeat(100_000) + ']'.repeat(100_000))).toBeNull();
    expect(decodeStoredValue(`${'{"a":'.repeat(100_000)}1${'}'.repeat(100_000)}`)).toBeNull();
    expect(decodeStoredValue(`{"a":[${'['.repeat(40)}${']'.repeat(40)}]}`)).toBeNull();
  });

  it('gives the value otherwise', () => {
    expect(decodeStoredValue('{"a":[{"b":[[1]]}]}')).toEqual({ a: [{ b: [[1]] }] });
  });
});
