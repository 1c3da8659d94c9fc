import { ManualClock, SeededRandom, shuffle } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import { ProbeBudget, SlotAssigner, SlotRights, assignSlots, heldSlots } from '../src/index.js';
import type { SlotInstance, SlotMember } from '../src/index.js';

const SEED = process.env.SEED ? { seed: Number(process.env.SEED) } : {};

const members: fc.Arbitrary<SlotMember[]> = fc.uniqueArray(
  fc.record({
    vmId: fc.stringMatching(/^vm[0-9]{1,2}$/),
    failureDomainId: fc.constantFrom('a', 'b'),
  }),
  { selector: ({ vmId }) => vmId, minLength: 1, maxLength: 12 },
);
const instances: fc.Arbitrary<SlotInstance[]> = fc.uniqueArray(
  fc.record({
    instanceId: fc.stringMatching(/^i[0-9]{1,3}$/),
    service: fc.constantFrom('s', 't'),
    failureDomainId: fc.constantFrom('a', 'b', 'c'),
    slots: fc.integer({ min: 1, max: 8 }),
  }),
  { selector: ({ instanceId }) => instanceId, maxLength: 30 },
);

const countSlots = (vmId: string, assigned: readonly (readonly string[])[]): number =>
  assigned.flat().filter((holder) => holder === vmId).length;

describe('assignSlots', () => {
  // Guards against unequal shares, holders from other failure domains and results that depend on the
  // order of the members and instances.
  it('assigns equal shares within each failure domain, independent of the input order', () => {
    fc.assert(
      fc.property(members, instances, fc.integer(), (vms, all, seed) => {
        const assignment = assignSlots(vms, all);
        const random = SeededRandom.create(seed);
        const assigner = SlotAssigner.create();
        assigner.assign(vms.slice(1), all);
        const again = assigner.assign(shuffle(random, vms), shuffle(random, all));
        expect(Object.fromEntries(again)).to.deep.equal(Object.fromEntries(assignment));
        for (const one of all) {
          const group = all.filter(
            (other) =>
              other.service === one.service && other.failureDomainId === one.failureDomainId,
          );
          const assigned = group.map(({ instanceId }) => assignment.get(instanceId)!);
          expect(assignment.get(one.instanceId)).to.have.length(one.slots);
          const local = vms.filter((vm) => vm.failureDomainId === one.failureDomainId);
          const counts = (local.length > 0 ? local : vms).map(({ vmId }) =>
            countSlots(vmId, assigned),
          );
          expect(Math.max(...counts) - Math.min(...counts)).to.be.at.most(1);
          const total = group.reduce((sum, { slots }) => sum + slots, 0);
          expect(counts.reduce((sum, count) => sum + count, 0)).to.equal(total);
        }
      }),
      { ...SEED, numRuns: 500 },
    );
  });

  // Guards against moving many slots when a member leaves, and against slow assignment.
  it('moves few slots when a member leaves, and assigns 12,000 slots within 2 s', () => {
    const vms = Array.from({ length: 100 }, (_, index) => ({
      vmId: `vm${index}`,
      failureDomainId: 'a',
    }));
    const all = Array.from({ length: 3000 }, (_, index) => ({
      instanceId: `i${index}`,
      service: 's',
      failureDomainId: 'a',
      slots: 4,
    }));
    const startedAt = performance.now();
    const before = assignSlots(vms, all);
    expect(performance.now() - startedAt).to.be.below(2000);
    const after = assignSlots(vms.slice(1), all);
    let moved = 0;
    for (const [instanceId, holders] of before) {
      moved += holders.filter((vmId, slot) => after.get(instanceId)![slot] !== vmId).length;
    }
    // 120 slots have to move; assignment by hash modulo would move nearly all 12,000.
    expect(moved).to.be.within(120, 480);
    expect([...heldSlots(before, 'vm7').values()].flat()).to.have.length(120);
  });
});

describe('SlotRights', () => {
  // Guards against using a slot that was gained, lost or held in unknown epochs before the epoch is
  // settled.
  it('does not allow a slot that was gained, regained or held through unknown epochs until the epoch is settled', () => {
    const rights = SlotRights.create();
    rights.setHeldSlots(1, new Map([['i', [0, 1]]]), true);
    expect(rights.usableSlots('i')).to.deep.equal([]);
    rights.settle(1);
    rights.setHeldSlots(2, new Map([['i', [1, 2]]]), true);
    expect(rights.usableSlots('i')).to.deep.equal([1]);
    rights.settle(1);
    rights.setHeldSlots(3, new Map([['i', [0, 1]]]), true);
    expect(rights.usableSlots('i')).to.deep.equal([1]);
    rights.setHeldSlots(5, new Map([['i', [0, 1]]]), false);
    expect(rights.usableSlots('i')).to.deep.equal([]);
    rights.settle(5);
    expect(rights.isOwner('i')).to.equal(true);
  });
});

describe('ProbeBudget', () => {
  // Guards against a burst at the start and against probes that cost more than the budget.
  it('allows no burst at the start and no probes beyond the budget', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.nat(300), fc.constantFrom(1, 6)), { minLength: 5 }),
        (steps) => {
          const clock = ManualClock.create();
          const violations: string[] = [];
          const onViolation = (detail: string): unknown => violations.push(detail);
          const budget = ProbeBudget.create(clock, { budgetMsPerS: 20, onViolation });
          expect(budget.trySpend(1)).to.equal(false);
          let spentMs = 0;
          for (const [waitMs, costMs] of steps) {
            clock.advance(waitMs);
            if (budget.trySpend(costMs)) spentMs += costMs;
            expect(spentMs).to.be.at.most((clock.monotonicMs() * 20) / 1000 + 0.001);
          }
          expect(violations).to.deep.equal([]);
          budget.recordSpent(clock.monotonicMs());
          budget.recordSpent(1);
          expect(violations[0]).to.include('probe-budget');
        },
      ),
      { ...SEED, numRuns: 200 },
    );
  });
});
