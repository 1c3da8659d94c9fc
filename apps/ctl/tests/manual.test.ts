import { readFile } from 'node:fs/promises';

import { expect } from 'chai';

import { parseConfiguration } from '@bronzelift/configuration';
import { SETTINGS_DEFAULTS, formatProblem, parseSettings } from '@bronzelift/settings';

const MANUAL = new URL('../../../docs/operators.md', import.meta.url);

const extractExample = (manual: string, name: string): string => {
  const found = new RegExp(`\`\`\`ini ${name}\n([^]*?)\`\`\``).exec(manual);
  return found?.[1] ?? '';
};

describe('docs/operators.md', () => {
  it('contains only example files that the parsers accept', async () => {
    const manual = await readFile(MANUAL, 'utf8');
    const settings = parseSettings(extractExample(manual, 'settings'), 'manual');
    expect(settings.err ? settings.val.map(formatProblem) : []).to.deep.equal([]);
    const configuration = parseConfiguration(extractExample(manual, 'configuration'), 'manual');
    expect(configuration.err ? configuration.val.map(formatProblem) : []).to.deep.equal([]);
    expect(configuration.unwrap()).to.have.property('instances').with.length(2);
  });

  it('lists every optional setting with its default in the code', async () => {
    const manual = await readFile(MANUAL, 'utf8');
    const toSnakeCase = (name: string): string =>
      name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
    Object.entries(SETTINGS_DEFAULTS).forEach(([section, keys]) => {
      Object.entries(keys).forEach(([key, value]) => {
        const row = new RegExp(
          `\\| \`\\[${toSnakeCase(section)}\\]\` +\\| \`${toSnakeCase(key)}\` +\\|[^|]+\\| \`${value}\` `,
        );
        expect(manual).to.match(row);
      });
    });
  });
});
