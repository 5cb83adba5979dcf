import { readFileSync } from 'node:fs';
import { createReferencePages } from '@heatherledge/lab';
import { describe, expect, it } from 'vitest';

describe('reference pages', () => {
  it('match the pages generated from the code', async () => {
    for (const { file, text } of await createReferencePages()) {
      expect(readFileSync(file, 'utf8'), `${file}; run npm run docs`).toBe(text);
    }
  });
});
