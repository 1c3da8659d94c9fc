import { expect } from 'chai';
import fc from 'fast-check';

import { SeededRandom } from '@bronzelift/common';

import { calculateRetryAfterMs, decideAdmission } from '../src/index.js';
import type { AdmissionView } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const createView = (change: Partial<AdmissionView>): AdmissionView => ({
  nowMs: 0,
  usableSlots: 4,
  lastUsableSlots: 4,
  withoutSlotsForMs: 0,
  running: 4,
  queuedOrders: 0,
  queuedLookups: 0,
  meanServiceTimeMs: 10,
  orderShare: 0,
  maxQueued: 100,
  ...change,
});

describe('decideAdmission', () => {
  it('never queues a request that is predicted to end after its deadline', () => {
    const view = fc.record({
      usableSlots: fc.integer({ min: 1, max: 8 }),
      queuedOrders: fc.nat(100),
      queuedLookups: fc.nat(100),
      meanServiceTimeMs: fc.integer({ min: 1, max: 200 }),
      orderShare: fc.double({ min: 0, max: 1, noNaN: true }),
    });
    const property = fc.property(
      view,
      fc.boolean(),
      fc.nat(3000),
      (change, isOrder, deadlineAtMs) => {
        const decision = decideAdmission(createView({ ...change, running: 8, maxQueued: 1000 }), {
          isOrder,
          deadlineAtMs,
        });
        const { queuedOrders, usableSlots, meanServiceTimeMs } = change;
        const leastWaitMs =
          ((queuedOrders * Number(isOrder) + 1) * meanServiceTimeMs) / usableSlots;
        if (decision.kind !== 'wait') return;
        expect(decision.predictedWaitMs).to.be.at.least(leastWaitMs);
        expect(decision.predictedWaitMs + meanServiceTimeMs).to.be.at.most(deadlineAtMs);
      },
    );
    fc.assert(property, seedOption);
  });

  it('refuses a lookup if arriving orders would delay the lookup past its deadline', () => {
    const request = { isOrder: false, deadlineAtMs: 100 };
    const queued = { queuedLookups: 30, queuedOrders: 0 };
    expect(decideAdmission(createView(queued), request).kind).to.equal('wait');
    const halfOrders = createView({ ...queued, orderShare: 0.5 });
    expect(decideAdmission(halfOrders, request)).to.include({
      kind: 'refuse',
      code: 'overloaded',
    });
    expect(decideAdmission(halfOrders, { ...request, isOrder: true }).kind).to.equal('wait');
  });

  it('refuses an immediate request instead of queueing it', () => {
    const request = { isOrder: false, deadlineAtMs: 1000, isImmediate: true };
    const busy = decideAdmission(createView({}), request);
    expect(busy).to.include({ kind: 'refuse', code: 'no-free-slot' });
    expect(decideAdmission(createView({ running: 3 }), request).kind).to.equal('start');
  });

  it('refuses a request at once if there are no slots or its deadline has passed', () => {
    const noSlots = createView({ usableSlots: 0, withoutSlotsForMs: 5000, running: 0 });
    const request = { isOrder: true, deadlineAtMs: 1000 };
    expect(decideAdmission(noSlots, request)).to.include({ kind: 'refuse', code: 'overloaded' });
    const late = decideAdmission(createView({ nowMs: 1000, running: 0 }), request);
    expect(late).to.include({ kind: 'refuse', code: 'deadline-exceeded' });
  });
});

describe('calculateRetryAfterMs', () => {
  // Guards against refused callers that retry at the same time.
  it('spreads the retries of refused callers over the time that their work needs', () => {
    const random = SeededRandom.create(3);
    const times = Array.from({ length: 1000 }, () => calculateRetryAfterMs(100, 4000, random));
    expect(Math.min(...times)).to.be.at.least(100);
    expect(Math.max(...times)).to.be.within(3000, 4100);
    expect(times.filter((timeMs) => timeMs < 2100).length).to.be.within(400, 600);
    expect(calculateRetryAfterMs(Infinity, 0, random)).to.be.within(1000, 2000);
  });
});
