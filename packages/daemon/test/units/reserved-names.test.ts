import { parseSettingsPath } from '@heatherledge/core';
import { describe, expect, it } from 'vitest';
import { INTERNAL_ORGANISATION } from '../../src/groups/position-registry.js';

describe("the queue of the instance's own requests", () => {
  it('is none of an organisation that settings can name', () => {
    expect(parseSettingsPath(`teams/t/organisations/${INTERNAL_ORGANISATION}`)).toBeUndefined();
  });
});
