/* eslint-disable no-console -- the benchmark prints its result */
import { SystemClock } from '@bronzelift/common';

import { DecisionLog, LogComponent, Metrics } from '../src/index.js';

// Measures how many microseconds it takes to log a line on the request path, to format the line in
// a flush, and to update a histogram.
const ROUNDS = 40;
const LINES = 5000;
const MICROSECONDS_PER_MS = 1000;

const log = DecisionLog.create({ clock: SystemClock.create(), sink: async () => {} });
const histogram = Metrics.create().histogram('request_ms', { service: 'profiles' });
const writeCosts: number[] = [];
const flushCosts: number[] = [];
const metricCosts: number[] = [];

const measure = async (costs: number[], work: () => void | Promise<void>): Promise<void> => {
  const startedAtMs = performance.now();
  await work();
  costs.push(((performance.now() - startedAtMs) / LINES) * MICROSECONDS_PER_MS);
};

const median = (costs: readonly number[]): string =>
  [...costs].sort((left, right) => left - right)[Math.floor(costs.length / 2)]!.toFixed(2);

for (let round = 0; round < ROUNDS; round++) {
  await measure(writeCosts, () => {
    for (let lineIndex = 0; lineIndex < LINES; lineIndex++) {
      log.info(LogComponent.route, 'chose instance', {
        service: 'profiles',
        instance: `profiles-${lineIndex % 20}`,
        costMs: lineIndex / 7,
        isTrial: false,
      });
    }
  });
  await measure(flushCosts, async () => {
    while (log.counts().buffered > 0) await log.flushSlice();
  });
  await measure(metricCosts, () => {
    for (let lineIndex = 0; lineIndex < LINES; lineIndex++) histogram.recordMs(lineIndex / 100);
  });
}
console.log(
  `us per line: write=${median(writeCosts)} flush=${median(flushCosts)}; ` +
    `us per histogram update: ${median(metricCosts)}`,
);
