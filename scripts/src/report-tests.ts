/**
 * Prints the failed tests and the counts of passed and failed tests: `report-tests RESULTS KNOWN`.
 * Failures listed in the second file, KNOWN-RED.txt, are printed but not counted.
 */
import { existsSync, readFileSync } from 'node:fs';

/** A test in the JSON report of Vitest. */
interface TestResult {
  readonly fullName: string;
  readonly status: string;
}

/** A test file in the JSON report of Vitest. */
interface FileResult {
  readonly name: string;
  readonly status: string;
  readonly assertionResults: readonly TestResult[];
}

const KNOWN_TEST_PREFIX = 'test: ';

function readKnownFailures(file: string): Set<string> {
  if (!existsSync(file)) return new Set();
  const lines = readFileSync(file, 'utf8').split('\n');
  const knownFailures = lines.filter((line) => line.startsWith(KNOWN_TEST_PREFIX));
  return new Set(knownFailures.map((line) => line.slice(KNOWN_TEST_PREFIX.length).trim()));
}

function readFileResults(file: string): readonly FileResult[] {
  if (!existsSync(file)) return [];
  const result = JSON.parse(readFileSync(file, 'utf8')) as { testResults: FileResult[] };
  return result.testResults;
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

const [resultFile = '', knownFailuresFile = ''] = process.argv.slice(2);
const files = readFileResults(resultFile);
const knownFailures = readKnownFailures(knownFailuresFile);
const tests = files.flatMap((file) => file.assertionResults);
const failures = tests.filter((test) => test.status === 'failed');
// A file fails without a failed test if it could not be loaded, or if its setup failed.
const filesNotRun = files.filter(
  (file) =>
    file.status === 'failed' && file.assertionResults.every(({ status }) => status !== 'failed'),
);
for (const test of failures) {
  printLine(`${knownFailures.has(test.fullName) ? 'known red' : 'failed'}: ${test.fullName}`);
}
for (const file of filesNotRun) printLine(`could not run: ${file.name}`);
const passed = tests.filter((test) => test.status === 'passed').length;
const failed =
  failures.filter((test) => !knownFailures.has(test.fullName)).length + filesNotRun.length;
printLine(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 && passed > 0 ? 0 : 1;
