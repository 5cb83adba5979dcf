/** Prints the tests' count, and passes over the failures that KNOWN-RED.txt names. */
import { existsSync, readFileSync } from 'node:fs';

interface TestResult {
  readonly fullName: string;
  readonly status: string;
}

interface FileResult {
  readonly name: string;
  readonly status: string;
  readonly assertionResults: readonly TestResult[];
}

const KNOWN_PREFIX = 'test: ';

function readKnown(file: string): Set<string> {
  if (!existsSync(file)) return new Set();
  const lines = readFileSync(file, 'utf8').split('\n');
  const known = lines.filter((line) => line.startsWith(KNOWN_PREFIX));
  return new Set(known.map((line) => line.slice(KNOWN_PREFIX.length).trim()));
}

function readFiles(file: string): readonly FileResult[] {
  if (!existsSync(file)) return [];
  const result = JSON.parse(readFileSync(file, 'utf8')) as { testResults: FileResult[] };
  return result.testResults;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

const [resultFile = '', knownFile = ''] = process.argv.slice(2);
const files = readFiles(resultFile);
const known = readKnown(knownFile);
const tests = files.flatMap((file) => file.assertionResults);
const failures = tests.filter((test) => test.status === 'failed');
// A file fails without a failed test if it could not be loaded, or if its preparation failed.
const unrun = files.filter(
  (file) =>
    file.status === 'failed' && file.assertionResults.every(({ status }) => status !== 'failed'),
);
for (const test of failures) {
  print(`${known.has(test.fullName) ? 'known red' : 'failed'}: ${test.fullName}`);
}
for (const file of unrun) print(`could not run: ${file.name}`);
const passed = tests.filter((test) => test.status === 'passed').length;
const failed = failures.filter((test) => !known.has(test.fullName)).length + unrun.length;
print(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
