// Derives a site file of another shape from one of the users' site files, so that days can be
// played on deployments whose sizes, loads and limits differ.
import { copyFile, mkdir, readFile, writeFile } from 'node:fs/promises';
import path from 'node:path';

/** A change of the text of a site file. */
type Change = (text: string) => string;

const MACHINE_LINE = '{ class = "front"';
const TRAFFIC_LINE = '{ zone =';
const NAMED_LINE = '{ name =';
const ZONE_ROW = /^ {2}\{ name = "([^"]+)", region = "([^"]+)" \},$/gm;

const scaleField =
  (field: string, factor: number): Change =>
  (text) =>
    text.replace(
      new RegExp(`\\b${field} = ([0-9.]+)`, 'g'),
      (_match, figure) => `${field} = ${Number((Number(figure) * factor).toFixed(3))}`,
    );

const setField =
  (field: string, value: string): Change =>
  (text) =>
    text.replace(new RegExp(`\\b${field} = [^,}\\n]+?(?=[,}\\n]| })`, 'g'), `${field} = ${value}`);

const changeLines =
  (start: string, change: Change): Change =>
  (text) =>
    text
      .split('\n')
      .map((line) => (line.trimStart().startsWith(start) ? change(line) : line))
      .join('\n');

const chain =
  (...changes: readonly Change[]): Change =>
  (text) =>
    changes.reduce((current, change) => change(current), text);

const scaleTraffic = (factor: number): Change =>
  changeLines(TRAFFIC_LINE, scaleField('per_s', factor));

const scaleWork = (factor: number): Change => {
  const scaleTimes = chain(
    ...['aim_ms', 'deadline_ms', 'timeout_ms'].map((field) => scaleField(field, factor)),
  );
  const scaleSpread = chain(scaleField('mean', factor), scaleField('max', factor));
  return changeLines(NAMED_LINE, (line) =>
    scaleTimes(line).replace(/work_ms = \{[^}]*\}/, scaleSpread),
  );
};

const mergeZones: Change = (text) => {
  const rows = [...text.matchAll(ZONE_ROW)];
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

const splitRegions: Change = (text) => {
  const [row, zone, region] = [...text.matchAll(ZONE_ROW)].at(-1) ?? [''];
  return text.replace(row, `  { name = "${zone}", region = "${region}-2" },`);
};

const SHAPES: Readonly<Record<string, Change>> = {
  'three-machines': changeLines(
    MACHINE_LINE,
    chain(setField('count', '1'), setField('cpu_share', '1.0')),
  ),
  'one-zone': mergeZones,
  'two-regions': splitRegions,
  'no-load-told': chain(setField('load_header', 'false'), scaleTraffic(0.7)),
  'slow-store': chain(
    setField('append_ms', '60.0'),
    setField('writes_per_s', '40.0'),
    setField('reads_per_s', '60.0'),
  ),
  'tiny-slots': chain(
    changeLines(NAMED_LINE, chain(setField('slots', '1'), setField('queue', '1'))),
    scaleTraffic(0.25),
  ),
  'long-work': chain(scaleWork(6), scaleTraffic(0.2)),
  'short-work': scaleWork(0.3),
  'sixty-machines': changeLines(MACHINE_LINE, scaleField('count', 4)),
  'thin-links': chain(setField('link_mbps', '7'), setField('cpu_share', '0.4')),
  'short-idle': setField('idle_close_ms', '2000'),
  heavy: scaleTraffic(1.5),
};

const derive = async (site: string, change: Change, target: string): Promise<void> => {
  const folder = path.dirname(target);
  await mkdir(folder, { recursive: true });
  await writeFile(target, change(await readFile(site, 'utf8')));
  // A site file names the file of wire names that lies beside it.
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
  await derive(site, change, target);
  process.stdout.write(`${target}\n`);
}
