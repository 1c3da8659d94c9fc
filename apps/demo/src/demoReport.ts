import type { KindResult, LoadResult } from '@bronzelift/load-tool';

const formatRefusals = (kind: KindResult): string =>
  Object.entries(kind.refusedByCode)
    .map(([code, count]) => `${code} ${count}`)
    .join(', ');

const formatKind = (name: string, kind: KindResult): string[] => {
  if (kind.offered === 0) return [];
  const refusals = kind.refused > 0 ? ` (${formatRefusals(kind)})` : '';
  return [
    `  ${name}: offered ${kind.offered}, served ${kind.served}, refused ${kind.refused}${refusals}, unknown ${kind.unknown}, failed ${kind.failed}`,
    `    latency p50 ${kind.latency.p50Ms.toFixed(2)} ms, p99 ${kind.latency.p99Ms.toFixed(2)} ms; added by the system p50 ${kind.addedTime.p50Ms.toFixed(2)} ms, p99 ${kind.addedTime.p99Ms.toFixed(2)} ms`,
  ];
};

/** Counts responses that belonged to another request, were damaged or ended early. */
export const countWrongResponses = ({ total }: LoadResult): number =>
  [total.lookups, total.orders].reduce(
    (sum, kind) => sum + kind.wrongAnswers + kind.incompleteAnswers,
    0,
  );

/** Formats a short report on the load sent to one deployment. */
export const formatDemoReport = (result: LoadResult, violations: number): string => {
  const { total, orderAudit, measuringCost } = result;
  const wrongResponses = countWrongResponses(result);
  return [
    `${result.name} (seed ${result.seed})`,
    ...formatKind('lookups', total.lookups),
    ...formatKind('orders', total.orders),
    `  orders doubled ${orderAudit.doubled}, lost ${orderAudit.lost}, run despite not-run ${orderAudit.runAfterNotRun}; wrong responses ${wrongResponses}`,
    `  cold overloads ${measuringCost?.coldOverloads ?? '-'}, invariant violations ${violations}`,
  ].join('\n');
};

/**
 * Whether at least one order was served, and the run counted 0 orders that were doubled, lost or
 * run despite outcome not-run, 0 wrong responses and 0 invariant violations.
 */
export const isCorrect = (result: LoadResult, violations: number): boolean =>
  result.orderAudit.audited &&
  result.orderAudit.doubled === 0 &&
  result.orderAudit.lost === 0 &&
  result.orderAudit.runAfterNotRun === 0 &&
  countWrongResponses(result) === 0 &&
  violations === 0 &&
  result.total.orders.served > 0;
