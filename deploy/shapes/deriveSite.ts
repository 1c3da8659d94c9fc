// Derives a variant of a user's site file with other sizes, loads or limits, so that simulations of
// a day also cover such deployments.
import { copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';

/** Transforms the text of a site file, or one of its lines. */
type TextChange = (text: string) => string;

const MACHINE_LINE_PREFIX = '{ class = "front"';
const TRAFFIC_LINE_PREFIX = '{ zone =';
const NAMED_LINE_PREFIX = '{ name =';
const ZONE_LINE = /^ {2}\{ name = "([^"]+)", region = "([^"]+)" \},$/gm;

const scaleField =
  (field: string, factor: number): TextChange =>
  (text) =>
    text.replace(
      new RegExp(`\\b${field} = ([0-9.]+)`, 'g'),
      (_match, value) => `${field} = ${Number((Number(value) * factor).toFixed(3))}`,
    );

const setField =
  (field: string, value: string): TextChange =>
  (text) =>
    text.replace(new RegExp(`\\b${field} = [^,}\\n]+?(?=[,}\\n]| })`, 'g'), `${field} = ${value}`);

const changeLines =
  (start: string, change: TextChange): TextChange =>
  (text) =>
    text
      .split('\n')
      .map((line) => (line.trimStart().startsWith(start) ? change(line) : line))
      .join('\n');

const composeChanges =
  (...changes: readonly TextChange[]): TextChange =>
  (text) =>
    changes.reduce((current, change) => change(current), text);

const scaleTraffic = (factor: number): TextChange =>
  changeLines(TRAFFIC_LINE_PREFIX, scaleField('per_s', factor));

const scaleServiceTimes = (factor: number): TextChange => {
  const scaleTimes = composeChanges(
    ...['aim_ms', 'deadline_ms', 'timeout_ms'].map((field) => scaleField(field, factor)),
  );
  const scaleSpread = composeChanges(scaleField('mean', factor), scaleField('max', factor));
  return changeLines(NAMED_LINE_PREFIX, (line) =>
    scaleTimes(line).replace(/work_ms = \{[^}]*\}/, scaleSpread),
  );
};

const mergeZones: TextChange = (text) => {
  const rows = [...text.matchAll(ZONE_LINE)];
  const first = rows[0]?.[1] ?? '';
  const merged = rows
    .slice(1)
    .reduce(
      (current, [row, zone]) =>
        current.replace(`${row}\n`, '').replaceAll(`"${zone}"`, `"${first}"`),
      text,
    );
  return merged.replace(/^zones = 1$/m, 'zones = 0');
};

const splitRegions: TextChange = (text) => {
  const [row, zone, region] = [...text.matchAll(ZONE_LINE)].at(-1) ?? [''];
  return text.replace(row, `  { name = "${zone}", region = "${region}-2" },`);
};

const SHAPES: Readonly<Record<string, TextChange>> = {
  'three-machines': changeLines(
    MACHINE_LINE_PREFIX,
    composeChanges(setField('count', '1'), setField('cpu_share', '1.0')),
  ),
  'one-zone': mergeZones,
  'two-regions': splitRegions,
  'no-load-told': composeChanges(setField('load_header', 'false'), scaleTraffic(0.7)),
  'slow-store': composeChanges(
    setField('append_ms', '60.0'),
    setField('writes_per_s', '40.0'),
    setField('reads_per_s', '60.0'),
  ),
  'tiny-slots': composeChanges(
    changeLines(NAMED_LINE_PREFIX, composeChanges(setField('slots', '1'), setField('queue', '1'))),
    scaleTraffic(0.25),
  ),
  'long-work': composeChanges(scaleServiceTimes(6), scaleTraffic(0.2)),
  'short-work': scaleServiceTimes(0.3),
  'sixty-machines': changeLines(MACHINE_LINE_PREFIX, scaleField('count', 4)),
  'thin-links': composeChanges(setField('link_mbps', '7'), setField('cpu_share', '0.4')),
  'short-idle': setField('idle_close_ms', '2000'),
  heavy: scaleTraffic(1.5),
};

const deriveSite = async (site: string, change: TextChange, target: string): Promise<void> => {
  const folder = path.dirname(target);
  await mkdir(folder, { recursive: true });
  await writeFile(target, change(await readFile(site, 'utf8')));
  // A site file refers to the wire.json in its own directory, which holds the names on the wire.
  await copyFile(path.join(path.dirname(site), 'wire.json'), path.join(folder, 'wire.json'));
};

const [site, shape = '', folder] = process.argv.slice(2);
const change = SHAPES[shape];
if (site === undefined || folder === undefined || change === undefined) {
  process.stderr.write(
    `usage: tsx deploy/shapes/deriveSite.ts SITE.toml SHAPE FOLDER\nshapes: ${Object.keys(SHAPES).join(' ')}\n`,
  );
  process.exitCode = 2;
} else {
  const target = path.join(folder, `${path.basename(site, '.toml')}-${shape}.toml`);
  await deriveSite(site, change, target);
  process.stdout.write(`${target}\n`);
}
