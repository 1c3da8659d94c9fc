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
  // Guards against a policy that never selects some instances: the baseline would look worse than
  // the policy it is named after.
  it('each policy selects every idle instance at least once in 200 selections', () => {
    const instances = createInstances([0, 0, 0, 0]);
    for (const policy of POLICIES) {
      const choose = createPolicy(policy, SeededRandom.create(1));
      const chosen = new Set(Array.from({ length: 200 }, () => choose(instances)));
      expect(chosen.size, policy).to.equal(4);
    }
  });

  it('least-outstanding selects only instances with the fewest outstanding requests', () => {
    const instances = createInstances([3, 1, 2, 1]);
    const choose = createPolicy('least-outstanding', SeededRandom.create(1));
    for (let index = 0; index < 50; index++) expect(choose(instances).outstanding).to.equal(1);
  });

  it('two-choices never selects the instance with the most outstanding requests', () => {
    const instances = createInstances([3, 1, 2, 1]);
    const choose = createPolicy('two-choices', SeededRandom.create(1));
    for (let index = 0; index < 50; index++) expect(choose(instances).outstanding).to.be.below(3);
  });
});
