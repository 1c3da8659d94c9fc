/** Formats the mean and the standard deviation of each field over all runs. */
export const summarizeRuns = <K extends string>(
  runs: readonly Readonly<Record<K, number>>[],
  fields: readonly K[],
): string[] =>
  fields.map((field) => {
    const values = runs.map((run) => run[field]);
    const mean = values.reduce((sum, value) => sum + value, 0) / values.length;
    const squareSum = values.reduce((sum, value) => sum + (value - mean) ** 2, 0);
    const deviation = Math.sqrt(squareSum / values.length);
    const digits = field.endsWith('Ms') ? 0 : 3;
    return `${mean.toFixed(digits)} ± ${deviation.toFixed(digits)}`;
  });

/** Formats a Markdown table with a header row. */
export const formatMarkdownTable = (
  head: readonly string[],
  rows: readonly (readonly string[])[],
): string => {
  const lines = [head, head.map(() => '---'), ...rows].map((cells) => `| ${cells.join(' | ')} |`);
  return `${lines.join('\n')}\n`;
};
