/* eslint-disable n/no-sync -- the test reads each page once */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

/** Programs that the documentation pages call by name, with their entry files. */
const PROGRAMS = new Map([
  ['bronzelift-gatewayd', 'apps/gatewayd/bin/bronzelift-gatewayd.js'],
  ['bronzeliftctl', 'apps/ctl/bin/bronzeliftctl.js'],
]);

const NPM_OWN_COMMANDS = ['ci', 'test', 'start'];

const listPages = (): string[] => {
  const docs = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' });
  const rootPages = readdirSync(ROOT).filter((file) => file.endsWith('.md'));
  return [...rootPages, ...docs.map((file) => path.join('docs', file))].filter((file) =>
    file.endsWith('.md'),
  );
};

const readPage = (page: string): string => readFileSync(path.join(ROOT, page), 'utf8');

/** Lists the commands in the indented code blocks of a page, without comments. */
const listCommands = (page: string): string[] =>
  readPage(page)
    .split('\n')
    .filter((line) => /^ {4}\S/.test(line))
    .flatMap((line) => line.split('#')[0]!.split('&&'))
    .map((command) => command.trim().replace(/^npx /, ''));

describe('pages', () => {
  const pages = listPages();
  const commands = pages.flatMap((page) =>
    listCommands(page).map((command) => ({ page, command })),
  );

  // Guards against pages that still name npm scripts after these were removed or renamed.
  it('name only npm scripts that package.json defines', () => {
    const { scripts } = JSON.parse(readPage('package.json')) as { scripts: Record<string, string> };
    const missing = commands.filter(({ command }) => {
      const [program, verb = '', name = ''] = command.split(/\s+/);
      if (program !== 'npm') return false;
      return verb === 'run' ? scripts[name] === undefined : !NPM_OWN_COMMANDS.includes(verb);
    });
    expect(missing).to.deep.equal([]);
  });

  // Guards against pages that show commands after these were removed from the programs.
  it('show only commands that the help of the program lists', () => {
    const unknown = [...PROGRAMS].flatMap(([program, file]) => {
      const { stdout } = spawnSync(process.execPath, [path.join(ROOT, file), '--help'], {
        encoding: 'utf8',
        env: { ...process.env, NO_COLOR: '1' },
      });
      expect(stdout, `${program} --help`).to.include(program);
      return commands.filter(({ command }) => {
        const [name, verb = ''] = command.split(/\s+/);
        return name === program && !verb.startsWith('-') && !stdout.includes(`${program} ${verb}`);
      });
    });
    expect(unknown).to.deep.equal([]);
  });

  it('link only to files that exist', () => {
    const broken = pages.flatMap((page) =>
      [...readPage(page).matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)]
        .map(([, target]) => target!)
        .filter((target) => !existsSync(path.join(ROOT, path.dirname(page), target)))
        .map((target) => `${page}: ${target}`),
    );
    expect(broken).to.deep.equal([]);
  });
});
