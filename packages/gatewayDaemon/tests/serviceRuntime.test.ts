import { expect } from 'chai';

import { BufferBudget, bronzeliftDialect } from '@bronzelift/backend-client';
import { ManualClock, SeededRandom } from '@bronzelift/common';
import { DecisionLog, Metrics } from '@bronzelift/observability';

import { ServiceRuntime } from '../src/serviceRuntime.js';
import { createRecord } from './support/createRecord.js';
import { createRoute } from './support/createRoute.js';

const route = createRoute();

const createService = (sharers = 14, clock = ManualClock.create()): ServiceRuntime =>
  ServiceRuntime.create('s', undefined, {
    clock,
    random: SeededRandom.create(1),
    log: DecisionLog.create({ clock, sink: () => Promise.resolve() }),
    metrics: Metrics.create(),
    dialect: bronzeliftDialect,
    bufferBudget: BufferBudget.create(1_000_000),
    bounds: {
      retryRatio: 0.2,
      retrySlack: 58,
      stopGraceMs: 6_000,
      maxAddressTtlMs: 5_000,
      probesPerS: 60,
      toleratedVmLosses: 2,
    },
    countSharers: () => sharers,
    countInstanceSharers: () => 1,
    onViolation: () => {},
    onResponse: () => {},
    onReachabilityChange: () => {},
    onLimitChange: () => {},
  });

describe('ServiceRuntime', () => {
  // Guards against treating every caller as retrying, because one caller sent a longer timeout or
  // none.
  it('treats a caller as retrying only if its timeout is shorter than the usual timeout', () => {
    const service = createService();
    expect(service.estimateEarlierWaitMs(route, 800)).to.equal(0);
    expect(service.estimateEarlierWaitMs(route, 700)).to.be.closeTo(100, 1);
    expect(service.estimateEarlierWaitMs(route, Infinity)).to.equal(0);
    expect(service.estimateEarlierWaitMs(route, 800)).to.equal(0);
    service.estimateEarlierWaitMs(route, 60_000);
    for (let index = 0; index < 5_000; index += 1) service.estimateEarlierWaitMs(route, 800);
    expect(service.estimateEarlierWaitMs(route, 800)).to.equal(0);
  });

  // Guards against more retries in the whole system than its budget allows, when all members retry.
  it('grants no more retries on all members together than the retry budget', () => {
    const totalRequests = 2_000;
    for (const sharers of [1, 14, 18, 142]) {
      let granted = 0;
      for (let member = 0; member < sharers; member += 1) {
        const { retries } = createService(sharers);
        for (let index = 0; index < totalRequests / sharers; index += 1) {
          retries.recordRequest();
          while (retries.takeToken()) granted += 1;
        }
      }
      const hasMoreSharersThanSlack = sharers > 58;
      const slack = hasMoreSharersThanSlack ? sharers : 58;
      expect(granted).to.be.at.most(totalRequests * 0.2 + slack);
    }
  });

  // Guards against more probes than the system-wide limit when all members search continuously.
  it('grants no more probes on all members together than the system-wide limit', () => {
    const seconds = 40;
    for (const sharers of [1, 14, 60]) {
      const clock = ManualClock.create();
      const members = Array.from({ length: sharers }, () => createService(sharers, clock));
      for (const service of members) service.setInstance(createRecord('i-1'));
      let granted = 0;
      for (let step = 0; step < seconds * 100; step += 1) {
        clock.advance(10);
        for (const service of members) while (service.tryTakeProbe()) granted += 1;
      }
      expect(granted / seconds).to.be.within(30, 60);
    }
  });

  // Guards against a traffic spike that uses up the probe budget: without probes, requests go to
  // slow and failed instances.
  it('saves unused probes for a later traffic spike', () => {
    const clock = ManualClock.create();
    const service = createService(1, clock);
    service.setInstance(createRecord('i-1'));
    const probe = (seconds: number, perS: number): number => {
      let granted = 0;
      for (let step = 0; step < seconds * perS; step += 1) {
        clock.advance(1_000 / perS);
        granted += Number(service.tryTakeProbe());
      }
      return granted;
    };
    const calm = probe(20, 10);
    const flood = probe(5, 120);
    expect(calm).to.equal(200);
    expect(flood).to.equal(600);
    expect((calm + flood) / 25).to.be.below(60);
  });
});
