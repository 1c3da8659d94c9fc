import { spawnSync } from 'node:child_process';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

import { summarizeRuns } from '../src/utils.js';

const PROGRAM = fileURLToPath(new URL('../bin/bronzelift-experiment.js', import.meta.url));

const run = (...options: string[]) =>
  // eslint-disable-next-line n/no-sync -- the test waits for the program to exit
  spawnSync(process.execPath, [PROGRAM, ...options], { encoding: 'utf8' });

describe('bronzelift-experiment', () => {
  it('prints a table with one row per load and policy', () => {
    const { status, stdout } = run('--load', 'calm', '--policy', 'random,perfect', '--seeds', '1');
    expect(status).to.equal(0);
    const rows = stdout.trim().split('\n');
    expect(rows).to.have.length(4);
    expect(rows[2]).to.match(/^\| calm \| random \| 0\.\d+ ± 0\.000/);
  });

  // Guards against ignoring an invalid option and printing results that were not requested.
  it('reports all invalid options and exits with 2', () => {
    const { status, stderr } = run('--load', 'storm', '--policy', 'best', '--seeds', '0');
    expect(status).to.equal(2);
    expect(stderr).to.match(/--load: expected/);
    expect(stderr).to.match(/--policy: expected/);
    expect(stderr).to.match(/--seeds: expected/);
  });

  it('calculates mean and standard deviation', () => {
    const runs = [{ share: 0.4 }, { share: 0.6 }];
    expect(summarizeRuns(runs, ['share'])).to.deep.equal(['0.500 ± 0.100']);
  });
});
