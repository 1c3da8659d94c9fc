import { expect } from 'chai';

import { ManualClock } from '@bronzelift/common';

import { DecisionLog, Invariants, InvariantName, Metrics } from '../src/index.js';

describe('Metrics', () => {
  it('keeps one series per name and labels regardless of the order of the labels', () => {
    const metrics = Metrics.create();
    metrics.counter('requests_total', { service: 's', outcome: 'ran' }).increment();
    metrics.counter('requests_total', { outcome: 'ran', service: 's' }).increment(2);
    expect(metrics.snapshot().counters.map(({ value }) => value)).to.deep.equal([3]);
  });

  it('reports percentiles to two digits, and accepts NaN, negative and infinite durations', () => {
    const metrics = Metrics.create();
    const histogram = metrics.histogram('request_ms', { service: 's' });
    for (let n = 1; n <= 1000; n++) histogram.recordMs(n / 10);
    const [snapshot] = metrics.snapshot().histograms;
    expect(snapshot!.percentilesMs['50']).to.be.closeTo(50, 0.5);
    expect(snapshot!.percentilesMs['99.9']).to.be.closeTo(99.9, 1);
    histogram.recordMs(Number.NaN);
    histogram.recordMs(-1);
    histogram.recordMs(Infinity);
    expect(metrics.snapshot().histograms[0]!.count).to.equal(1003);
  });

  it('escapes label values in the Prometheus text and writes one TYPE line per name', () => {
    const metrics = Metrics.create();
    metrics.counter('a_total', { path: 'x"y\n' }).increment();
    metrics.counter('a_total', { path: 'z' }).increment();
    metrics.histogram('b_ms').recordMs(2);
    const lines = metrics.formatPrometheus().split('\n');
    expect(lines.filter((line) => line.startsWith('# TYPE'))).to.have.length(2);
    expect(lines).to.include('a_total{path="x\\"y\\n"} 1');
    expect(lines).to.include('b_ms_count 1');
  });
});

describe('Invariants', () => {
  const createInvariants = (isThrowing: boolean) => {
    const clock = ManualClock.create();
    const log = DecisionLog.create({ clock, sink: async () => {} });
    const metrics = Metrics.create();
    return { invariants: Invariants.create({ clock, log, metrics, isThrowing }), log, metrics };
  };

  it('counts and logs every violation, and keeps the details of only the latest', () => {
    const { invariants, log, metrics } = createInvariants(false);
    for (let n = 0; n < 30; n++) invariants.report(InvariantName.wholeAnswer, `case ${n}`);
    const { counts, latest } = invariants.snapshot();
    expect(counts['whole-answer']).to.equal(30);
    expect(counts['probe-budget']).to.equal(0);
    expect(latest[latest.length - 1]!.detail).to.equal('case 29');
    expect(latest.length).to.be.lessThan(30);
    expect(log.counts().buffered).to.equal(30);
    expect(metrics.formatPrometheus()).to.contain('{invariant="whole-answer"} 30');
  });

  it('throws at a violation if configured to throw, so that a test with a violation fails', () => {
    const { invariants } = createInvariants(true);
    expect(() => invariants.report(InvariantName.notRunIsTrue, 'ran')).to.throw('not-run-is-true');
  });
});
