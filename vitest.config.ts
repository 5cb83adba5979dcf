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

/** Tests of the limits of one process, which measure its memory and must not run beside others. */
const CROWD_TESTS = 'platform/test/crowds/**/*.test.ts';

export default defineConfig({
  resolve: { alias },
  test: {
    globalSetup: ['test/setup/bundle-gateway.ts'],
    setupFiles: ['test/setup/yield-between-tests.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    projects: [
      {
        extends: true,
        test: {
          name: 'tests',
          include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
          exclude: [CROWD_TESTS, '**/node_modules/**'],
          sequence: { groupOrder: 0 },
        },
      },
      {
        extends: true,
        test: {
          name: 'crowds',
          include: [CROWD_TESTS],
          poolOptions: { forks: { singleFork: true } },
          // Runs after the other tests have ended.
          sequence: { groupOrder: 1 },
        },
      },
    ],
  },
});
