/** Prints the tests' count, and passes over the failures that KNOWN-RED.txt names. */
import { existsSync, readFileSync } from 'node:fs';

const [resultFile, knownFile] = process.argv.slice(2);
if (!existsSync(resultFile)) {
  process.stdout.write('the tests gave no result\n0 passed, 1 failed\n');
  process.exit(1);
}
const result = JSON.parse(readFileSync(resultFile, 'utf8'));
const known = existsSync(knownFile)
  ? readFileSync(knownFile, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('test: '))
      .map((line) => line.slice('test: '.length).trim())
  : [];
const tests = result.testResults.flatMap((file) => file.assertionResults);
const broken = result.testResults.filter(
  (file) => file.status === 'failed' && file.assertionResults.length === 0,
);
const failures = tests.filter((test) => test.status === 'failed');
const isKnown = (test) => known.includes(test.fullName);
for (const test of failures.filter(isKnown)) process.stdout.write(`known red: ${test.fullName}\n`);
for (const test of failures.filter((item) => !isKnown(item)))
  process.stdout.write(`failed: ${test.fullName}\n`);
for (const file of broken) process.stdout.write(`could not run: ${file.name}\n`);
const passed = tests.filter((test) => test.status === 'passed').length;
const failed = failures.filter((test) => !isKnown(test)).length + broken.length;
process.stdout.write(`${passed} passed, ${failed} failed\n`);
process.exit(failed === 0 && passed > 0 ? 0 : 1);
