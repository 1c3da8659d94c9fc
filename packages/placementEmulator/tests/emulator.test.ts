import { expect } from 'chai';

import { DEFAULT_SHAPE, Emulator, LOADS, POLICIES } from '../src/index.js';
import type { RunResult } from '../src/index.js';

const runAll = (loadName: string, policyName: string, seeds = 2): RunResult[] => {
  const load = LOADS.find(({ name }) => name === loadName)!;
  const policy = POLICIES.find(({ name }) => name === policyName)!;
  return Array.from({ length: seeds }, (_, index) =>
    Emulator.run(DEFAULT_SHAPE, load, policy, index + 1),
  );
};

const meanOf = (results: readonly RunResult[], field: keyof RunResult): number =>
  results.reduce((sum, result) => sum + result[field], 0) / results.length;

describe('Emulator', function describeEmulator() {
  // The emulation is CPU-bound and takes several times as long on a busy machine.
  this.timeout(60_000);

  // Guards against results that cannot be reproduced.
  it('gives the same result for the same seed', () => {
    expect(runAll('calm', 'stated-load-3')).to.deep.equal(runAll('calm', 'stated-load-3'));
  });

  it('counts every request under exactly one outcome', () => {
    for (const load of LOADS) {
      for (const result of runAll(load.name, 'stated-load-3', 1)) {
        const { inTimeShare, lateShare, refusedShare, failedShare } = result;
        expect(inTimeShare + lateShare + refusedShare + failedShare).to.be.closeTo(1, 1e-9);
      }
    }
  });

  // Guards against placement on slow instances at low load: in a trial, 98 in 100 responses were in
  // time with probes of three instances, and 78 with two random choices.
  it('responds to nearly all requests in time at low load', () => {
    expect(meanOf(runAll('calm', 'stated-load-3'), 'inTimeShare')).to.be.above(0.95);
    expect(meanOf(runAll('calm', 'two-choices'), 'inTimeShare')).to.be.below(0.9);
  });

  // Guards against long queues at instances during overload, where most responses are late.
  it('stated-load-3 earns more credit than two-choices in the worst time window of an overload', () => {
    const reportedLoadCredit = meanOf(runAll('flood', 'stated-load-3', 1), 'worstCredit');
    expect(reportedLoadCredit).to.be.above(
      meanOf(runAll('flood', 'two-choices', 1), 'worstCredit'),
    );
  });

  // Guards against requests that are still sent to instances that do not respond.
  it('loses few requests when the instances of a failure domain stop responding', () => {
    const lost = meanOf(runAll('domain-out', 'stated-load-3'), 'failedShare');
    expect(lost).to.be.below(0.01);
  });
});
