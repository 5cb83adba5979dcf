import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const PACKAGES = ['core', 'wire', 'stand-ins', 'daemon', 'cli', 'lab'];

/** Tests run against the sources, so that they need no build. */
const alias = PACKAGES.map((name) => ({
  find: `@heatherledge/${name}`,
  replacement: fileURLToPath(new URL(`packages/${name}/src/index.ts`, import.meta.url)),
}));

export default defineConfig({
  resolve: { alias },
  test: {
    include: ['packages/*/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
  },
});
