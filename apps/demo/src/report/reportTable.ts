import type { ReportRow } from './types.js';

type Column = readonly [title: string, value: (row: ReportRow) => string];

const formatMs = (value: number): string => value.toFixed(1);

const calculateServedShare = ({ result }: ReportRow): number => {
  const { lookups, orders } = result.total;
  const offered = lookups.offered + orders.offered;
  return offered === 0 ? 1 : (lookups.served + orders.served) / offered;
};

const sumKinds = ({ result }: ReportRow, field: 'refused' | 'unknown' | 'failed'): string =>
  String(result.total.lookups[field] + result.total.orders[field]);

const COLUMNS: readonly Column[] = [
  ['scenario', ({ scenario }) => scenario],
  ['system', ({ policy }) => policy],
  ['score', ({ result }) => result.total.score.toFixed(4)],
  ['served', (row) => calculateServedShare(row).toFixed(4)],
  ['p50', ({ result }) => formatMs(result.total.lookups.latency.p50Ms)],
  ['p99', ({ result }) => formatMs(result.total.lookups.latency.p99Ms)],
  ['p99.9', ({ result }) => formatMs(result.total.lookups.latency.p999Ms)],
  ['order p99', ({ result }) => formatMs(result.total.orders.latency.p99Ms)],
  ['added p50', ({ result }) => formatMs(result.total.lookups.addedTime.p50Ms)],
  ['added p99', ({ result }) => formatMs(result.total.lookups.addedTime.p99Ms)],
  ['refused', (row) => sumKinds(row, 'refused')],
  ['unknown', (row) => sumKinds(row, 'unknown')],
  ['failed', (row) => sumKinds(row, 'failed')],
  ['doubled', ({ result }) => String(result.orderAudit.doubled)],
  ['cold', ({ result }) => String(result.measuringCost?.coldOverloads ?? '-')],
  ['probe ms/s', ({ probeMsPerS }) => probeMsPerS.toFixed(2)],
  ['viol.', ({ violations }) => String(violations)],
  ['host load', ({ hostLoad }) => hostLoad.toFixed(1)],
];

/** Formats rows as a Markdown table. Latencies are in ms, and of lookups except for `order p99`. */
export const formatReportTable = (rows: readonly ReportRow[]): string => {
  const cells = rows.map((row) => COLUMNS.map(([, value]) => value(row)));
  const widths = COLUMNS.map(([title], index) =>
    Math.max(title.length, ...cells.map((line) => line[index]!.length)),
  );
  const format = (line: readonly string[]): string =>
    `| ${line.map((cell, index) => cell.padEnd(widths[index]!)).join(' | ')} |`;
  const separatorRow = widths.map((width) => '-'.repeat(width));
  return [COLUMNS.map(([title]) => title), separatorRow, ...cells].map(format).join('\n');
};
