import { expect } from 'chai';
import fc from 'fast-check';

import { ClusterModel } from './clusterModel.js';

const SEED = process.env.SEED ? { seed: Number(process.env.SEED) } : {};
const RUNS = Number(process.env.RUNS ?? 1000);

const rate = (max: number): fc.Arbitrary<number> => fc.double({ min: 0, max, noNaN: true });
const rates = fc.record({
  loss: rate(0.4),
  partition: rate(0.02),
  pause: rate(0.02),
  kill: rate(0.01),
  eviction: rate(0.02),
  skippedEpochs: fc.constantFrom(0, 0, 0.3),
});

describe('MemberLease', () => {
  // Guards against two members that use the same slot at the same time.
  it('never lets two members use a slot at the same time', () => {
    let usableSlotSteps = 0;
    fc.assert(
      fc.property(fc.integer(), fc.integer({ min: 2, max: 5 }), rates, (seed, vmCount, faults) => {
        const model = ClusterModel.create(seed, vmCount, faults);
        model.run(15_000);
        usableSlotSteps += model.usableSlotSteps;
        expect(model.conflict).to.equal(undefined);
      }),
      { ...SEED, numRuns: RUNS },
    );
    // Six slots in 300 steps; a quarter of that shows that the run tested slots in use.
    expect(usableSlotSteps).to.be.above(RUNS * 450);
  }).timeout(120 * RUNS);

  // Guards against members that never regain their slots after the faults have ended.
  it('lets all members use their slots again after the faults have ended', () => {
    fc.assert(
      fc.property(fc.integer(), fc.integer({ min: 1, max: 5 }), rates, (seed, vmCount, faults) => {
        const model = ClusterModel.create(seed, vmCount, faults);
        model.run(8000);
        model.heal(20_000);
        expect(model.conflict).to.equal(undefined);
        expect(model.membersWithoutUsableSlots()).to.deep.equal([]);
      }),
      { ...SEED, numRuns: RUNS / 5 },
    );
  }).timeout(120 * RUNS);
});
