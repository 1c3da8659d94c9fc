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
  // Emulated seconds take processor time, several times as long on a busy machine.
  this.timeout(60_000);

  // Guards against figures that cannot be repeated.
  it('gives the same result for the same seed', () => {
    expect(runAll('calm', 'stated-load-3')).to.deep.equal(runAll('calm', 'stated-load-3'));
  });

  it('accounts for every request', () => {
    for (const load of LOADS) {
      for (const result of runAll(load.name, 'stated-load-3', 1)) {
        const { inTimeShare, lateShare, refusedShare, failedShare } = result;
        expect(inTimeShare + lateShare + refusedShare + failedShare).to.be.closeTo(1, 1e-9);
      }
    }
  });

  // Guards against placement that sends callers to slow instances on a calm day: the users' trial
  // had 98 in 100 in time by asking three, 78 by two choices.
  it('answers nearly all callers in time on a calm day', () => {
    expect(meanOf(runAll('calm', 'stated-load-3'), 'inTimeShare')).to.be.above(0.95);
    expect(meanOf(runAll('calm', 'two-choices'), 'inTimeShare')).to.be.below(0.9);
  });

  // Guards against queues at instances in a flood, where every caller waits and most are late.
  it('serves more callers in time in the worst seconds of a flood than two choices', () => {
    const stated = meanOf(runAll('flood', 'stated-load-3', 1), 'worstCredit');
    expect(stated).to.be.above(meanOf(runAll('flood', 'two-choices', 1), 'worstCredit'));
  });

  // Guards against requests that go on being sent to instances that answer nothing.
  it('loses few requests when a failure domain goes out', () => {
    const lost = meanOf(runAll('domain-out', 'stated-load-3'), 'failedShare');
    expect(lost).to.be.below(0.01);
  });
});
