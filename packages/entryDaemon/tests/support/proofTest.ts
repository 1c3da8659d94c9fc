import { PROOF_TIMEOUT_MS } from './proofDeployment.js';

interface Proof {
  readonly run: () => Promise<void>;
  result?: Promise<void>;
}

const proofs: Proof[] = [];

const start = (proof: Proof): Promise<void> => {
  const started = proof;
  started.result ??= proof.run();
  // A failure is reported by the test of this proof, which may begin later.
  started.result.catch(() => undefined);
  return started.result;
};

// Also ends deployments whose test was filtered out after they had been started.
after(async function endAll() {
  this.timeout(PROOF_TIMEOUT_MS);
  await Promise.allSettled(proofs.map(({ result }) => result));
});

/**
 * Adds a test with real processes. The next one starts with it, so that two deployments run at a
 * time: the runs mostly wait for leases and timeouts.
 */
export const proofTest = (title: string, run: () => Promise<void>): void => {
  const proof: Proof = { run };
  const index = proofs.push(proof) - 1;
  it(title, async function test() {
    this.timeout(PROOF_TIMEOUT_MS);
    const own = start(proof);
    const next = proofs[index + 1];
    if (next) start(next);
    await own;
  });
};
