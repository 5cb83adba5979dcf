import { existsSync } from 'node:fs';
import { fileURLToPath, URL } from 'node:url';
import { build } from 'esbuild';

const resolveFromRoot = (path) => fileURLToPath(new URL(`../../${path}`, import.meta.url));

for (const number of [1, 2, 3, 4, 5]) {
  const script = resolveFromRoot(`review/${number}/trial.mjs`);
  if (!existsSync(script)) continue;
  await build({
    entryPoints: [script],
    outfile: resolveFromRoot(`target/review/trial-${number}.cjs`),
    bundle: true,
    platform: 'node',
    format: 'cjs',
    target: 'node20',
    logLevel: 'warning',
  });
}
