import { describe, expect, it } from 'vitest';
import { MutableCallerState } from '../../src/index.js';

/** A copy of all values for each of them would take minutes. */
const MANY = 100_000;

describe('MutableCallerState', () => {
  it('leaves the values that a statement holds unchanged', () => {
    const state = new MutableCallerState();
    state.setValue('place', '1');
    const held = state.values;
    state.setValue('place', '2');
    state.setValue('shelf', '3');
    expect([...held]).toEqual([['place', '1']]);
    expect([...state.values]).toEqual([
      ['place', '2'],
      ['shelf', '3'],
    ]);
  });

  // Guards against a caller that blocks the process with many SETs.
  it('sets many values in linear time', () => {
    const state = new MutableCallerState();
    for (let index = 0; index < MANY; index += 1) state.setValue(`v${index}`, '1');
    expect(state.values.size).toBe(MANY);
  });
});
