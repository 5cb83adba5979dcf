/**
 * Lets the event loop run between tests. The matrices compute for seconds without a pause; on a busy
 * machine a whole file of them would keep the runner's own messages waiting for more than a minute.
 */
import { afterEach } from 'vitest';

afterEach(async () => {
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
});
