import { expect } from 'chai';

import { POLICY_NAMES, REPORT_SHAPES } from '../src/report/constants.js';
import { formatReportTable } from '../src/report/reportTable.js';
import { createLoad } from '../src/report/runScenario.js';
import { renderServicePlot } from '../src/report/servicePlot.js';
import type { ReportRow } from '../src/report/types.js';

const QUANTILES = { count: 8, meanMs: 1, p50Ms: 1, p99Ms: 2, p999Ms: 3, maxMs: 4 };

const KIND = {
  offered: 10,
  served: 8,
  refused: 1,
  refusedByCode: {},
  unknown: 1,
  unknownByCode: {},
  failed: 0,
  wrongAnswers: 0,
  incompleteAnswers: 0,
  attempts: 10,
  latency: QUANTILES,
  addedTime: QUANTILES,
};

const second = (number: number, offered: number, served: number) => ({
  ...{ second: number, offered, served, refused: offered - served, unknown: 0, failed: 0 },
  p99Ms: 2,
});

const createRow = (policy: ReportRow['policy']): ReportRow => {
  const seconds = [second(0, 0, 0), second(1, 10, 10), second(2, 10, 6)];
  const total = { service: 'total', lookups: KIND, orders: KIND, seconds, score: 0.8 };
  return {
    scenario: 'domain',
    policy,
    deployment: 'mantelmaat-middle',
    seed: 1,
    hostLoad: 2,
    probeMsPerS: 1.5,
    violations: 0,
    result: {
      name: 'domain',
      seed: 1,
      startedAtMs: 0,
      durationMs: 3_000,
      services: [],
      total,
      orderAudit: { audited: true, doubled: 3, lost: 0, runAfterNotRun: 0, findings: [] },
      measuringCost: {
        probeMs: 1,
        connectionMs: 1,
        coldOverloads: 7,
        unannouncedColdOverloads: 0,
      },
      faults: [],
      maxSendLagMs: 0,
    },
  };
};

describe('report', () => {
  // Guards against a load that differs from the share of the capacity in the scenario's description.
  it('calculates rates that use all slots at share 1', () => {
    const [profiles, sizes] = createLoad(REPORT_SHAPES.mantelmaat, 1);
    expect(profiles!.lookupsPerSecond + profiles!.ordersPerSecond).to.be.closeTo(480, 1e-6);
    expect(profiles!.ordersPerSecond).to.be.closeTo(96, 1e-6);
    expect(sizes).to.deep.equal({ service: 'sizes', lookupsPerSecond: 480, ordersPerSecond: 0 });
  });

  // Guards against a table that does not count refused orders.
  it('sums lookups and orders in the table', () => {
    const [head, , line] = formatReportTable([createRow('random')]).split('\n');
    const titles = head!.split('|').map((cell) => cell.trim());
    const cells = line!.split('|').map((cell) => cell.trim());
    const valueOf = (title: string): string => cells[titles.indexOf(title)]!;
    expect(valueOf('served')).to.equal('0.8000');
    expect([valueOf('refused'), valueOf('unknown')]).to.deep.equal(['2', '2']);
    expect([valueOf('doubled'), valueOf('cold')]).to.deep.equal(['3', '7']);
  });

  it('draws one line per system and skips the seconds before the measurement', () => {
    const svg = renderServicePlot(POLICY_NAMES.map(createRow));
    const lines = [...svg.matchAll(/points="([^"]+)"/g)].map(([, points]) => points!);
    expect(lines).to.have.length(POLICY_NAMES.length);
    expect(lines[0]!.split(' ')).to.have.length(2);
  });
});
