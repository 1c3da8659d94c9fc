import { expect } from 'chai';

import { planHedge } from '../src/index.js';

describe('planHedge', () => {
  // Guards against hedges that are sent too late to meet the objective.
  it('considers a hedge early enough for the hedge to meet the objective', () => {
    const { checkAfterMs } = planHedge({ expectedMs: 90, workMs: 90, objectiveLeftMs: 250 });
    expect(250 - checkAfterMs).to.be.at.least(90 * 1.3);
  });

  // Guards against hedging requests that are long but not delayed, which doubles the load.
  it('considers no hedge within the usual service time, even if the objective is close or missed', () => {
    for (const objectiveLeftMs of [-50, 0, 80, 120]) {
      const { checkAfterMs } = planHedge({ expectedMs: 90, workMs: 90, objectiveLeftMs });
      expect(checkAfterMs).to.be.at.least(90 * 1.3);
    }
  });

  // Guards against hedging an attempt that was expected to be slow when it was sent.
  it('considers no hedge within the expected time when much time remains', () => {
    const plan = planHedge({ expectedMs: 300, workMs: 90, objectiveLeftMs: 5_000 });
    expect(plan).to.deep.equal({ checkAfterMs: 510, hedgeAfterMs: 510 });
  });
});
