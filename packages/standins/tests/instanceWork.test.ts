import { SeededRandom, SystemClock, sleep } from '@bronzelift/common';
import { expect } from 'chai';
import fc from 'fast-check';

import { INSTANCE_DEFAULTS } from '../src/index.js';
import { InstanceWork } from '../src/instanceWork.js';
import type { Job } from '../src/instanceWork.js';
import { RunRegistry } from '../src/runRegistry.js';

const PROPERTY_OPTIONS = process.env.SEED ? { seed: Number(process.env.SEED) } : {};

const ACTIONS = [
  'submit',
  'submit',
  'submit',
  'brief',
  'brief',
  'expired',
  'cancel',
  'freeze',
  'unfreeze',
] as const;
const FAULTS = ['wait', 'cold', 'restart', 'drain', 'undrain'] as const;

describe('InstanceWork', () => {
  // Guards against a stand-in that runs a refused request or ends a request twice; tests that count
  // runs would then give wrong results.
  it('never runs a refused request and ends each request exactly once', async () => {
    const action = fc.constantFrom(...ACTIONS, ...FAULTS);
    await fc.assert(
      fc.asyncProperty(fc.array(action, { maxLength: 40 }), fc.integer(), async (actions, seed) => {
        const registry = RunRegistry.create();
        const settings = {
          ...INSTANCE_DEFAULTS,
          ...{ instanceId: 'i', service: 's', failureDomainId: 'd', port: 0, startsCold: true },
          ...{ slots: 2, maxQueue: 2, meanServiceMs: 0.5, stallMs: 1, unannouncedColdGraceMs: 0 },
        };
        const random = SeededRandom.create(seed);
        const work = InstanceWork.create(settings, SystemClock.create(), random, registry, 'b0');
        const outcomes = new Map<string, string[]>();
        const jobs: Job[] = [];
        const submit = (deadlineMs: number): void => {
          const key = `k${jobs.length}`;
          const end = (outcome: string) => () =>
            outcomes.set(key, [...(outcomes.get(key) ?? []), outcome]);
          const job = { idempotencyKey: key, requestId: undefined, deadlineMs };
          jobs.push({ ...job, refuse: end('refused'), complete: end('completed') });
          work.submit(jobs[jobs.length - 1]!);
        };
        for (const name of actions) {
          if (name === 'submit') submit(Infinity);
          else if (name === 'brief') submit(Date.now() + 1);
          else if (name === 'expired') submit(Date.now() - 1);
          else if (name === 'cancel' && jobs.length > 0) work.cancel(jobs[jobs.length - 1]!);
          else if (name === 'freeze') work.freeze();
          else if (name === 'unfreeze') work.unfreeze();
          else if (name === 'wait') await sleep(1);
          else if (name === 'cold') work.becomeCold();
          else if (name === 'restart') work.restart('b1');
          else if (name === 'drain') work.draining = true;
          else if (name === 'undrain') work.draining = false;
          expect(work.inFlight).to.be.at.most(4);
        }
        work.unfreeze();
        while (work.inFlight > 0) await sleep(1);
        const runs = registry.reportRuns();
        outcomes.forEach((keyOutcomes, key) => {
          expect(keyOutcomes, key).to.have.length(1);
          expect(runs[key]?.length ?? 0, key).to.equal(keyOutcomes[0] === 'completed' ? 1 : 0);
        });
        Object.values(runs).forEach((started) => expect(started).to.have.length(1));
        const { started, served, shed, refusedForDeadline, refusedForDraining } = work.counts;
        const refused = [...outcomes.values()].filter(([outcome]) => outcome === 'refused').length;
        expect(started).to.equal(Object.keys(runs).length);
        expect(served).to.equal(outcomes.size - refused);
        expect(refused).to.equal(shed + refusedForDeadline + refusedForDraining);
      }),
      { ...PROPERTY_OPTIONS, numRuns: 100 },
    );
  });
});
