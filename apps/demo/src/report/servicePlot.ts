import type { ReportRow } from './types.js';

const WIDTH = 900;
const HEIGHT = 320;
const MARGIN = 50;
const LEGEND_STEP_PX = 150;
const LEGEND_OFFSET_PX = 20;
const FONT = 'font-family="sans-serif" font-size="12"';
const COLORS = ['#1a7f37', '#888888', '#d1761a', '#1f4e9c', '#b3261e'] as const;

interface PlotLine {
  readonly label: string;
  readonly shares: readonly number[];
}

const toLine = ({ policy, result }: ReportRow): PlotLine => ({
  label: policy,
  shares: result.total.seconds
    .filter(({ offered }) => offered > 0)
    .map(({ offered, served }) => served / offered),
});

const toPoint = (share: number, index: number, count: number, lowestShare: number): string => {
  const x = MARGIN + (index / Math.max(1, count - 1)) * (WIDTH - 2 * MARGIN);
  const y = HEIGHT - MARGIN - ((share - lowestShare) / (1 - lowestShare)) * (HEIGHT - 2 * MARGIN);
  return `${x.toFixed(1)},${y.toFixed(1)}`;
};

const renderLine = (line: PlotLine, index: number, lowestShare: number): string => {
  const color = COLORS[index % COLORS.length]!;
  const { shares, label } = line;
  const points = shares.map((share, second) => toPoint(share, second, shares.length, lowestShare));
  const x = MARGIN + index * LEGEND_STEP_PX;
  return [
    `<polyline fill="none" stroke="${color}" stroke-width="1.5" points="${points.join(' ')}"/>`,
    `<text x="${x}" y="${HEIGHT - LEGEND_OFFSET_PX}" fill="${color}" ${FONT}>${label}</text>`,
  ].join('\n');
};

/** Renders an SVG plot of the share of requests served, by second of sending; a line per system. */
export const renderServicePlot = (rows: readonly ReportRow[]): string => {
  const lines = rows.map(toLine);
  const worstShare = Math.min(1, ...lines.flatMap(({ shares }) => shares));
  // The axis starts at the multiple of 10% below the worst second, and at 90% at most.
  const lowestShare = Math.min(0.9, Math.floor(worstShare * 10) / 10);
  const bottomPx = HEIGHT - MARGIN;
  const title = `${rows[0]?.deployment ?? ''}, ${rows[0]?.scenario ?? ''}: share of requests served, per second`;
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}">`,
    '<rect width="100%" height="100%" fill="white"/>',
    `<text x="${MARGIN}" y="${MARGIN / 2}" ${FONT}>${title}</text>`,
    `<line x1="${MARGIN}" y1="${bottomPx}" x2="${WIDTH - MARGIN}" y2="${bottomPx}" stroke="black"/>`,
    `<line x1="${MARGIN}" y1="${MARGIN}" x2="${MARGIN}" y2="${bottomPx}" stroke="black"/>`,
    `<text x="4" y="${MARGIN + 4}" ${FONT}>100%</text>`,
    `<text x="4" y="${bottomPx}" ${FONT}>${(lowestShare * 100).toFixed(0)}%</text>`,
    `<text x="${WIDTH - MARGIN}" y="${bottomPx + 16}" ${FONT}>${lines[0]?.shares.length ?? 0} s</text>`,
    ...lines.map((line, index) => renderLine(line, index, lowestShare)),
    '</svg>',
    '',
  ].join('\n');
};
