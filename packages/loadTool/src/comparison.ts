import type { KindResult, LoadResult, ServiceResult } from './types.js';

type Row = readonly [label: string, left: string, right: string];

const formatMs = (value: number): string => `${value.toFixed(2)} ms`;

const formatCounts = (counts: Readonly<Record<string, number>>): string => {
  const entries = Object.entries(counts).sort(([left], [right]) => left.localeCompare(right));
  return entries.map(([code, count]) => `${code} ${count}`).join(', ') || '-';
};

const KIND_ROWS: readonly (readonly [string, (kind: KindResult) => string])[] = [
  ['offered', ({ offered }) => String(offered)],
  ['served', ({ served }) => String(served)],
  ['refused', ({ refused }) => String(refused)],
  ['refused by code', ({ refusedByCode }) => formatCounts(refusedByCode)],
  ['unknown', ({ unknown }) => String(unknown)],
  ['unknown by code', ({ unknownByCode }) => formatCounts(unknownByCode)],
  ['failed', ({ failed }) => String(failed)],
  ['wrong responses', ({ wrongAnswers }) => String(wrongAnswers)],
  ['incomplete responses', ({ incompleteAnswers }) => String(incompleteAnswers)],
  ['latency p50', ({ latency }) => formatMs(latency.p50Ms)],
  ['latency p99', ({ latency }) => formatMs(latency.p99Ms)],
  ['latency p99.9', ({ latency }) => formatMs(latency.p999Ms)],
  ['added time p50', ({ addedTime }) => formatMs(addedTime.p50Ms)],
  ['added time p99', ({ addedTime }) => formatMs(addedTime.p99Ms)],
];

const TOTAL_ROWS: readonly (readonly [string, (result: LoadResult) => string])[] = [
  ['seed', ({ seed }) => String(seed)],
  ['orders audited', ({ orderAudit }) => (orderAudit.audited ? 'yes' : 'no')],
  ['orders doubled', ({ orderAudit }) => String(orderAudit.doubled)],
  ['orders lost', ({ orderAudit }) => String(orderAudit.lost)],
  ['orders run despite not-run', ({ orderAudit }) => String(orderAudit.runAfterNotRun)],
  ['backend time for probes', ({ measuringCost }) => `${measuringCost?.probeMs ?? '-'} ms`],
  [
    'backend time for connections',
    ({ measuringCost }) => `${measuringCost?.connectionMs ?? '-'} ms`,
  ],
  ['cold overloads', ({ measuringCost }) => String(measuringCost?.coldOverloads ?? '-')],
  ['largest send lag', ({ maxSendLagMs }) => formatMs(maxSendLagMs)],
];

const createServiceRows = (
  left: ServiceResult | undefined,
  right: ServiceResult | undefined,
): Row[] => {
  const name = (left ?? right)?.service ?? '';
  const score = (result: ServiceResult | undefined): string => result?.score.toFixed(4) ?? '-';
  const kindRows = (['lookups', 'orders'] as const).flatMap((kind) =>
    KIND_ROWS.map(([label, value]): Row => [
      `${name} ${kind} ${label}`,
      left ? value(left[kind]) : '-',
      right ? value(right[kind]) : '-',
    ]),
  );
  return [[`${name} score`, score(left), score(right)], ...kindRows];
};

const formatTable = (rows: readonly Row[]): string => {
  const width = (column: 0 | 1 | 2): number => Math.max(...rows.map((row) => row[column].length));
  const widths = [width(0), width(1), width(2)] as const;
  return rows
    .map(([label, left, right]) =>
      [label.padEnd(widths[0]), left.padStart(widths[1]), right.padStart(widths[2])].join('  '),
    )
    .join('\n');
};

/** Formats two results as a text table with one column for each. */
export const formatComparison = (left: LoadResult, right: LoadResult): string => {
  const names = new Set([...left.services, ...right.services].map(({ service }) => service));
  const findService = (result: LoadResult, name: string): ServiceResult | undefined =>
    result.services.find(({ service }) => service === name);
  return formatTable([
    ['', left.name, right.name],
    ...TOTAL_ROWS.map(([label, value]): Row => [label, value(left), value(right)]),
    ...[...names].flatMap((name) =>
      createServiceRows(findService(left, name), findService(right, name)),
    ),
    ...createServiceRows(left.total, right.total),
  ]);
};

/** Formats one result as a text table, with the same rows as a comparison. */
export const formatResult = (result: LoadResult): string => {
  const totalRows = TOTAL_ROWS.map(([label, value]): Row => [label, value(result), '']);
  const services = [...result.services, result.total].flatMap((service) =>
    createServiceRows(service, undefined).map(([label, value]): Row => [label, value, '']),
  );
  return formatTable([['', result.name, ''], ...totalRows, ...services])
    .split('\n')
    .map((line) => line.trimEnd())
    .join('\n');
};
