/**
 * Bundles the platform's gateway into one minified file and writes a V8 code cache beside it, so
 * that the gateway starts quickly.
 */
import { copyFileSync, writeFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const PACKAGES = ['core', 'daemon', 'gateway', 'stand-ins', 'wire'];

const resolveFromRoot = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url));

await build({
  entryPoints: [resolveFromRoot('platform/src/bin/heatherledge-gateway.ts')],
  outfile: resolveFromRoot('target/gateway-program.cjs'),
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  alias: Object.fromEntries(
    PACKAGES.map((name) => [
      `@heatherledge/${name}`,
      resolveFromRoot(`packages/${name}/src/index.ts`),
    ]),
  ),
  logLevel: 'warning',
});
const launcher = resolveFromRoot('target/heatherledge-gateway.cjs');
copyFileSync(resolveFromRoot('scripts/gateway-launcher.cjs'), launcher);
// The cache holds only code that is compiled by now, so the program is loaded first: that compiles
// its modules and the functions that they call at load.
const { filename, loadProgram } = createRequire(import.meta.url)(launcher);
writeFileSync(`${filename}.cache`, loadProgram(undefined).script.createCachedData());
