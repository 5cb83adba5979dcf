import { fileURLToPath } from 'node:url';
import { defineConfig } from 'vitest/config';

const PACKAGES = ['core', 'wire', 'stand-ins', 'daemon', 'gateway', 'cli', 'lab'];

/** Resolves the workspace packages to their sources, so that tests need no build. */
const alias = [
  ...PACKAGES.map((name) => ({ name, folder: `packages/${name}` })),
  { name: 'platform', folder: 'platform' },
].map(({ name, folder }) => ({
  find: `@heatherledge/${name}`,
  replacement: fileURLToPath(new URL(`${folder}/src/index.ts`, import.meta.url)),
}));

export default defineConfig({
  resolve: { alias },
  test: {
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    globalSetup: ['test/setup/bundle-gateway.ts'],
    setupFiles: ['test/setup/yield-between-tests.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
  },
});
