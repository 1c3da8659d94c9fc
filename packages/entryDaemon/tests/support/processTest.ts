import { PROCESS_TIMEOUT_MS } from './testDeployment.js';

interface ProcessTest {
  readonly run: () => Promise<void>;
  result?: Promise<void>;
}

const tests: ProcessTest[] = [];

const start = (test: ProcessTest): Promise<void> => {
  const started = test;
  started.result ??= test.run();
  // A failure is reported by the test that awaits this result, which may begin later.
  started.result.catch(() => undefined);
  return started.result;
};

// Also ends deployments whose test was filtered out after they had been started.
after(async function endAll() {
  this.timeout(PROCESS_TIMEOUT_MS);
  await Promise.allSettled(tests.map(({ result }) => result));
});

/**
 * Adds a test with real processes. The next one starts with it, so that two deployments run at a
 * time: the runs mostly wait for leases and timeouts.
 */
export const processTest = (title: string, run: () => Promise<void>): void => {
  const added: ProcessTest = { run };
  const index = tests.push(added) - 1;
  it(title, async function test() {
    this.timeout(PROCESS_TIMEOUT_MS);
    const own = start(added);
    const next = tests[index + 1];
    if (next) start(next);
    await own;
  });
};
