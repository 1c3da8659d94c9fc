import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock } from '@bronzelift/common';

import {
  COMPLETION_MEMORY_MS,
  END_DISPUTE_MS,
  MAX_QUARANTINES,
  QUARANTINE_MS,
} from '../src/constants.js';
import { CrashLedger } from '../src/crashLedger.js';
import { CrashModel } from './support/crashModel.js';

const SEEDS = [1, 2, 3, 4, 5];

const DEPLOYMENTS = [
  { members: 14, instances: 15, requestsPerS: 65, workMs: 220 },
  { members: 92, instances: 62, requestsPerS: 140, workMs: 473 },
  { members: 142, instances: 118, requestsPerS: 371, workMs: 170 },
] as const;

describe('requests that were present when instances ended', () => {
  let clock: ManualClock;
  let ledger: CrashLedger;

  beforeEach(() => {
    clock = ManualClock.create();
    ledger = CrashLedger.create(clock);
  });

  const crash = (fingerprint: string, ...processes: string[]): void => {
    for (const instanceProcess of processes) ledger.recordCrash({ fingerprint, instanceProcess });
  };

  // Guards against reports of several members that are counted as several crashes.
  it('are counted once for each process that ended', () => {
    crash('a', 'i-1', 'i-1', 'i-2', 'i-2', 'i-2');
    expect(ledger.judge('a')).to.equal('suspected');
    crash('a', 'i-3');
    expect(ledger.judge('a')).to.equal('quarantined');
  });

  // Guards against popular requests that are accused because a failure domain ended.
  it('are not suspected if instances completed them meanwhile', () => {
    crash('a', 'i-1', 'i-2');
    ledger.recordCompletion('a');
    crash('a', 'i-3', 'i-4', 'i-5');
    expect(ledger.judge('a')).to.equal('unsuspected');
    clock.advance(COMPLETION_MEMORY_MS + 1);
    crash('a', 'i-6', 'i-7', 'i-8');
    expect(ledger.judge('a')).to.equal('quarantined');
  });

  // Guards against a member whose connections are cut and that takes all instances for ended.
  it('are not suspected of the end of a process that responds afterwards', () => {
    crash('a', 'i-1', 'i-2', 'i-3');
    clock.advance(10);
    expect(ledger.recordResponse('i-1', clock.monotonicMs())).to.equal(true);
    expect(ledger.judge('a')).to.equal('suspected');
    clock.advance(END_DISPUTE_MS);
    expect(ledger.confirmDue()).to.deep.equal([]);
    expect(ledger.recordResponse('i-2', clock.monotonicMs())).to.equal(false);
  });

  // Guards against a quarantine without end.
  it('are sent on again when their quarantine has ended', () => {
    crash('a', 'i-1', 'i-2', 'i-3');
    clock.advance(END_DISPUTE_MS);
    expect(ledger.confirmDue()).to.have.length(1);
    clock.advance(QUARANTINE_MS - 1);
    expect(ledger.judge('a')).to.equal('quarantined');
    clock.advance(1);
    expect(ledger.judge('a')).to.equal('unsuspected');
  });

  // Guards against members that keep different quarantines when there are too many.
  it('are bounded in number, and the same on all members', () => {
    const untilWallMs = clock.wallMs() + 1_000;
    const all = Array.from({ length: MAX_QUARANTINES + 20 }, (_, index) => ({
      fingerprint: `f-${index}`,
      untilWallMs: untilWallMs + (index % 7),
    }));
    fc.assert(
      fc.property(fc.shuffledSubarray(all, { minLength: all.length }), (order) => {
        const other = CrashLedger.create(clock);
        for (const quarantine of all) ledger.addQuarantine(quarantine);
        for (const quarantine of order) other.addQuarantine(quarantine);
        const list = (of: CrashLedger) => of.listQuarantines().map((item) => item.fingerprint);
        expect(list(other)).to.have.length(MAX_QUARANTINES);
        expect(list(other)).to.have.members(list(ledger));
      }),
      { numRuns: 10 },
    );
  });
});

describe('requests that crash instances, simulated', () => {
  DEPLOYMENTS.forEach((deployment) => {
    const { members } = deployment;
    const simulate = (crashingRequests: number, repeatingCallers: number, failingShare = 0) =>
      SEEDS.map((seed) =>
        CrashModel.run({
          ...deployment,
          seed,
          crashingRequests,
          repeatingCallers,
          failingShare,
          popularShare: 0.2,
        }),
      );

    const print = (title: string, results: ReturnType<typeof simulate>): void => {
      if (process.env.PRINT === undefined) return;
      const lost = results.map(({ lostInstances }) => lostInstances).join(' ');
      const refused = results.map((result) => result.wronglyRefused).join(' ');
      const requests = results.map((result) => result.requests).join(' ');
      process.stdout.write(
        `${members} ${title}: lost ${lost}, refused ${refused} of ${requests}\n`,
      );
    };

    // Guards against instances that go on ending after the cause could be known.
    it(`are not sent on when it is known, with ${members} members`, () => {
      const one = simulate(1, 1);
      print('one request, one caller', one);
      const repeated = simulate(1, 5);
      print('one request, five callers', repeated);
      const several = simulate(5, 2);
      print('five requests, two callers each', several);
      for (const result of [...one, ...repeated, ...several]) {
        expect(result.lateCrashes).to.equal(0);
        expect(result.wronglyRefused).to.be.at.most(result.requests / 500);
      }
      for (const { lostInstances } of one) expect(lostInstances).to.be.at.most(4);
    });

    // Guards against requests that are refused because they ran in a failure domain that ended.
    it(`are told from others when a failure domain ends, with ${members} members`, () => {
      const results = simulate(1, 1, 0.33);
      print('one request, a third of the instances end', results);
      const without = simulate(0, 0, 0.33);
      print('no request, a third of the instances end', without);
      for (const result of [...results, ...without]) {
        expect(result.wronglyRefused).to.be.at.most(result.requests / 500);
      }
    });
  });
});
