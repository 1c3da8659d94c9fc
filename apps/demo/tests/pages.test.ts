/* eslint-disable n/no-sync -- a test reads the pages once */
import { spawnSync } from 'node:child_process';
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

const ROOT = fileURLToPath(new URL('../../..', import.meta.url));

/** Programs that the pages call by name, with the file that runs them. */
const PROGRAMS = new Map([
  ['bronzelift-gatewayd', 'apps/gatewayd/bin/bronzelift-gatewayd.js'],
  ['bronzeliftctl', 'apps/ctl/bin/bronzeliftctl.js'],
]);

const NPM_OWN_COMMANDS = ['ci', 'test', 'start'];

const listPages = (): string[] => {
  const docs = readdirSync(path.join(ROOT, 'docs'), { recursive: true, encoding: 'utf8' });
  const top = readdirSync(ROOT).filter((file) => file.endsWith('.md'));
  return [...top, ...docs.map((file) => path.join('docs', file))].filter((file) =>
    file.endsWith('.md'),
  );
};

const readPage = (page: string): string => readFileSync(path.join(ROOT, page), 'utf8');

/** Lines of indented code blocks. */
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

  // Guards against pages that name scripts which are gone.
  it('names only scripts that the package has', () => {
    const { scripts } = JSON.parse(readPage('package.json')) as { scripts: Record<string, string> };
    const missing = commands.filter(({ command }) => {
      const [program, verb = '', name = ''] = command.split(/\s+/);
      if (program !== 'npm') return false;
      return verb === 'run' ? scripts[name] === undefined : !NPM_OWN_COMMANDS.includes(verb);
    });
    expect(missing).to.deep.equal([]);
  });

  // Guards against pages that show commands which the programs do not know.
  it('shows only commands that the programs have', () => {
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

  it('links only to pages that exist', () => {
    const broken = pages.flatMap((page) =>
      [...readPage(page).matchAll(/\]\(([^)#:]+)(?:#[^)]*)?\)/g)]
        .map(([, target]) => target!)
        .filter((target) => !existsSync(path.join(ROOT, path.dirname(page), target)))
        .map((target) => `${page}: ${target}`),
    );
    expect(broken).to.deep.equal([]);
  });
});
