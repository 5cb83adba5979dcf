/** Bundles the soak test and runs it. The bundle of the gateway must exist: `npm run bundle`. */
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const resolveFromRoot = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url));
const outfile = resolveFromRoot('target/soak.mjs');

await build({
  entryPoints: [resolveFromRoot('platform/test/soak/main.ts')],
  outfile,
  bundle: true,
  packages: 'external',
  platform: 'node',
  format: 'esm',
  target: 'node20',
  logLevel: 'warning',
});
await import(outfile);
