import { SeededRandom } from '@bronzelift/common';
import { POLICIES, createPolicy } from '@bronzelift/baseline-entry';
import type { TrackedInstance } from '@bronzelift/baseline-entry';
import { expect } from 'chai';

const createInstances = (outstanding: readonly number[]): TrackedInstance[] =>
  outstanding.map((count, index) => ({
    service: 'profiles',
    address: { host: '127.0.0.1', port: index + 1 },
    slots: 4,
    outstanding: count,
  }));

describe('baseline policies', () => {
  // Guards against a policy that never selects some instances, which would make the baseline look
  // worse than the policy of that name is.
  it('selects every idle instance at least once in 200 selections, with each policy', () => {
    const instances = createInstances([0, 0, 0, 0]);
    for (const policy of POLICIES) {
      const choose = createPolicy(policy, SeededRandom.create(1));
      const chosen = new Set(Array.from({ length: 200 }, () => choose(instances)));
      expect(chosen.size, policy).to.equal(4);
    }
  });

  it('selects only instances with the fewest outstanding requests with least-outstanding', () => {
    const instances = createInstances([3, 1, 2, 1]);
    const choose = createPolicy('least-outstanding', SeededRandom.create(1));
    for (let index = 0; index < 50; index++) expect(choose(instances).outstanding).to.equal(1);
  });

  it('never selects the instance with the most outstanding requests with two-choices', () => {
    const instances = createInstances([3, 1, 2, 1]);
    const choose = createPolicy('two-choices', SeededRandom.create(1));
    for (let index = 0; index < 50; index++) expect(choose(instances).outstanding).to.be.below(3);
  });
});
