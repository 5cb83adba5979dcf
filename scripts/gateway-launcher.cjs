/**
 * Starts the bundled gateway from the V8 code cache that the build writes. All instances of a fleet
 * start at once after a power loss, and compilation takes a third of a start.
 */
const { readFileSync } = require('node:fs');
const { createRequire, wrap } = require('node:module');
const { join } = require('node:path');
const { Script } = require('node:vm');

const filename = join(__dirname, 'gateway-program.cjs');

/**
 * Loads the bundled program.
 *
 * @param cachedData - code cache, or undefined; V8 rejects a cache of another version or other
 * flags and compiles the source instead
 * @returns the compiled script and the exports of the program
 */
function loadProgram(cachedData) {
  const script = new Script(wrap(readFileSync(filename, 'utf8')), { filename, cachedData });
  const programModule = { exports: {} };
  const runModule = script.runInThisContext();
  runModule(programModule.exports, createRequire(filename), programModule, filename, __dirname);
  return { script, program: programModule.exports };
}

/** @returns the code cache, or undefined, with a log line, if it cannot be read */
function readCache() {
  try {
    return readFileSync(`${filename}.cache`);
  } catch (error) {
    process.stdout.write(
      `${JSON.stringify({ level: 'warn', event: 'code-cache.missing', reason: error.message })}\n`,
    );
    return undefined;
  }
}

module.exports = { filename, loadProgram };

if (require.main === module) {
  const { script, program } = loadProgram(readCache());
  if (script.cachedDataRejected) {
    process.stdout.write(`${JSON.stringify({ level: 'warn', event: 'code-cache.rejected' })}\n`);
  }
  program.run();
}
