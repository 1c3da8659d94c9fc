import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SeededRandom } from '@bronzelift/common';

import { ForwardSelector } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

const createSelector = (domains: readonly string[], seed = 1) => {
  const clock = ManualClock.create();
  const random = SeededRandom.create(seed);
  const selector = ForwardSelector.create({ clock, random, ownDomainId: 'a' });
  selector.setPeers(
    domains.map((failureDomainId, index) => ({ vmId: `vm${index}`, failureDomainId })),
  );
  return { clock, selector };
};

const none: ReadonlySet<string> = new Set();

describe('ForwardSelector', () => {
  it('never selects an excluded peer or a peer that has just reported no free slots', () => {
    const peer = fc.record({
      domain: fc.constantFrom('a', 'b', 'c'),
      freeSlots: fc.option(fc.nat(3)),
      sent: fc.nat(3),
      ageMs: fc.constantFrom(0, 500, 3000),
      isExcluded: fc.boolean(),
    });
    const property = fc.property(fc.array(peer), fc.nat(), (peers, seed) => {
      const { clock, selector } = createSelector(
        peers.map(({ domain }) => domain),
        seed,
      );
      for (const ageMs of [3000, 500, 0]) {
        peers.forEach(({ freeSlots, ageMs: peerAgeMs }, index) => {
          if (peerAgeMs === ageMs && freeSlots !== null) selector.report(`vm${index}`, freeSlots);
        });
        clock.advance(ageMs === 3000 ? 2500 : ageMs);
      }
      peers.forEach(({ sent }, index) => {
        for (let send = 0; send < sent; send++) selector.recordForwarded(`vm${index}`);
      });
      const excluded = new Set(
        peers.flatMap(({ isExcluded }, index) => (isExcluded ? [`vm${index}`] : [])),
      );
      const isFresh = ({ freeSlots, ageMs }: (typeof peers)[number]) =>
        freeSlots !== null && ageMs < 3000;
      const hasFree = (candidate: (typeof peers)[number]) =>
        isFresh(candidate) && !candidate.isExcluded && candidate.freeSlots! > candidate.sent;
      const selection = selector.select(excluded);
      if (selection === undefined) {
        expect(
          peers.every((other) => other.isExcluded || (isFresh(other) && !hasFree(other))),
        ).to.equal(true);
        return;
      }
      const chosen = peers[Number(selection.vmId.slice(2))]!;
      expect(chosen.isExcluded, 'excluded').to.equal(false);
      expect(
        hasFree(chosen) || !isFresh(chosen),
        'a peer that reported no free slots was selected',
      ).to.equal(true);
      if (peers.some(hasFree))
        expect(hasFree(chosen), 'a peer without a recent report was preferred').to.equal(true);
      const isNearFree = peers.some((other) => hasFree(other) && other.domain === 'a');
      if (isNearFree)
        expect(chosen.domain, 'a peer of another failure domain was preferred').to.equal('a');
    });
    fc.assert(property, { numRuns: 1000, ...seedOption });
  });

  it('subtracts requests sent since the report, so that a burst does not overload one peer', () => {
    const { selector } = createSelector(['a', 'a']);
    selector.report('vm0', 6);
    selector.report('vm1', 3);
    const picks = { vm0: 0, vm1: 0 };
    for (;;) {
      const selection = selector.select(none);
      if (selection === undefined) break;
      picks[selection.vmId as 'vm0' | 'vm1'] += 1;
      selector.recordForwarded(selection.vmId);
    }
    expect(picks).to.deep.equal({ vm0: 6, vm1: 3 });
  });

  it('prefers a peer with a recent report to a peer with an old report of more free slots', () => {
    const { clock, selector } = createSelector(['a', 'a']);
    selector.report('vm0', 6);
    clock.advance(1800);
    selector.report('vm1', 3);
    expect(selector.select(none)).to.deep.include({ vmId: 'vm1', estimatedFreeSlots: 3 });
  });

  it('keeps reports when the list of peers changes, and removes unlisted peers', () => {
    const { selector } = createSelector(['a', 'b']);
    selector.report('vm1', 2);
    selector.setPeers([{ vmId: 'vm1', failureDomainId: 'b' }]);
    expect(selector.select(none)).to.deep.include({ vmId: 'vm1', reason: 'other-domain' });
    selector.report('vm0', 5);
    expect(selector.select(new Set(['vm1']))).to.equal(undefined);
  });
});
