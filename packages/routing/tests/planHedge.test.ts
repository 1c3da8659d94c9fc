import { expect } from 'chai';

import { planHedge } from '../src/index.js';

describe('planHedge', () => {
  // Guards against hedges that are sent too late to meet the objective.
  it('checks while a hedge still has time to meet the objective', () => {
    const { checkAfterMs } = planHedge({ expectedMs: 90, workMs: 90, objectiveLeftMs: 250 });
    expect(250 - checkAfterMs).to.be.at.least(90 * 1.3);
  });

  // Guards against hedging requests that are long but not delayed, which doubles the load.
  it('does not check within the usual service time, however close the objective', () => {
    for (const objectiveLeftMs of [-50, 0, 80, 120]) {
      const { checkAfterMs } = planHedge({ expectedMs: 90, workMs: 90, objectiveLeftMs });
      expect(checkAfterMs).to.be.at.least(90 * 1.3);
    }
  });

  // Guards against hedging an attempt that was expected to be slow when it was sent.
  it('waits for the expected time when the objective is far away', () => {
    const plan = planHedge({ expectedMs: 300, workMs: 90, objectiveLeftMs: 5_000 });
    expect(plan).to.deep.equal({ checkAfterMs: 510, hedgeAfterMs: 510 });
  });
});
