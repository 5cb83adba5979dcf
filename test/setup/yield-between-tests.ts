import { afterEach } from 'vitest';

// Yields to the event loop after each test. Tests of the fault matrices compute for seconds without
// yielding; on a busy machine a whole file of them would delay the test runner's own messages by
// more than a minute.
afterEach(async () => {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
});
