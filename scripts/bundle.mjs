/** Bundles the gateway for the platform into one file that starts quickly. */
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const PACKAGES = ['core', 'daemon', 'gateway', 'stand-ins', 'wire'];

/** Libraries written for CommonJS call `require`, which modules do not have. */
const REQUIRE_BANNER =
  "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);";

const resolve = (path) => fileURLToPath(new URL(`../${path}`, import.meta.url));

await build({
  entryPoints: [resolve('platform/src/bin/heatherledge-gateway.ts')],
  outfile: resolve('target/heatherledge-gateway.mjs'),
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  alias: Object.fromEntries(
    PACKAGES.map((name) => [`@heatherledge/${name}`, resolve(`packages/${name}/src/index.ts`)]),
  ),
  banner: { js: REQUIRE_BANNER },
  logLevel: 'warning',
});
