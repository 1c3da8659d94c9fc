import type { LoadResult, SecondResult } from './types.js';

const WIDTH = 900;
const PANEL_HEIGHT = 220;
const MARGIN = 50;
const FONT = 'font-family="sans-serif" font-size="12"';

interface Series {
  readonly label: string;
  readonly color: string;
  readonly values: readonly number[];
}

interface Panel {
  readonly title: string;
  readonly topPx: number;
  readonly series: readonly Series[];
}

const escapeXml = (text: string): string =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');

const toX = (index: number, count: number): number =>
  MARGIN + (index / Math.max(1, count - 1)) * (WIDTH - 2 * MARGIN);

const renderSeries = (series: Series, panel: Panel, maxValue: number): string => {
  const points = series.values.map((value, index) => {
    const y = panel.topPx + PANEL_HEIGHT - (value / maxValue) * PANEL_HEIGHT;
    return `${toX(index, series.values.length).toFixed(1)},${y.toFixed(1)}`;
  });
  return `<polyline fill="none" stroke="${series.color}" stroke-width="1.5" points="${points.join(' ')}"/>`;
};

const renderLegend = (panel: Panel): string =>
  panel.series
    .map(({ label, color }, index) => {
      const x = MARGIN + 320 + index * 90;
      return `<text x="${x}" y="${panel.topPx - 8}" fill="${color}" ${FONT}>${label}</text>`;
    })
    .join('');

const renderPanel = (panel: Panel): string => {
  const maxValue = Math.max(1, ...panel.series.flatMap(({ values }) => values));
  const bottomPx = panel.topPx + PANEL_HEIGHT;
  const seconds = panel.series[0]?.values.length ?? 0;
  return [
    `<text x="${MARGIN}" y="${panel.topPx - 8}" ${FONT}>${escapeXml(panel.title)}</text>`,
    renderLegend(panel),
    `<line x1="${MARGIN}" y1="${bottomPx}" x2="${WIDTH - MARGIN}" y2="${bottomPx}" stroke="black"/>`,
    `<line x1="${MARGIN}" y1="${panel.topPx}" x2="${MARGIN}" y2="${bottomPx}" stroke="black"/>`,
    `<text x="4" y="${panel.topPx + 10}" ${FONT}>${maxValue.toFixed(0)}</text>`,
    `<text x="4" y="${bottomPx}" ${FONT}>0</text>`,
    `<text x="${WIDTH - MARGIN}" y="${bottomPx + 16}" ${FONT}>${seconds} s</text>`,
    ...panel.series.map((series) => renderSeries(series, panel, maxValue)),
  ].join('\n');
};

const selectField = (
  seconds: readonly SecondResult[],
  field: Exclude<keyof SecondResult, 'second'>,
): number[] => seconds.map((second) => second[field]);

/** Renders requests per second and p99 latency over time as an SVG image. */
export const renderPlot = (result: LoadResult): string => {
  const { seconds } = result.total;
  const panels: Panel[] = [
    {
      title: `${result.name}: requests per second`,
      topPx: MARGIN,
      series: [
        { label: 'offered', color: '#888888', values: selectField(seconds, 'offered') },
        { label: 'served', color: '#1a7f37', values: selectField(seconds, 'served') },
        { label: 'refused', color: '#d1761a', values: selectField(seconds, 'refused') },
        { label: 'unknown', color: '#b3261e', values: selectField(seconds, 'unknown') },
      ],
    },
    {
      title: 'p99 latency of served requests, ms',
      topPx: 2 * MARGIN + PANEL_HEIGHT,
      series: [{ label: 'p99', color: '#1f4e9c', values: selectField(seconds, 'p99Ms') }],
    },
  ];
  const height = 3 * MARGIN + 2 * PANEL_HEIGHT;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}">`,
    '<rect width="100%" height="100%" fill="white"/>',
    ...panels.map(renderPanel),
    '</svg>',
    '',
  ].join('\n');
};
