import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

const BINARY = fileURLToPath(new URL('../bin/bronzeliftctl.js', import.meta.url));

describe('bronzeliftctl with a closed output', () => {
  it('exits with code 0 and prints no error when a reader such as head closes the pipe', async () => {
    const child = spawn(process.execPath, [BINARY, '--help'], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.destroy();
    let errors = '';
    child.stderr.on('data', (data: Buffer) => {
      errors += data.toString();
    });
    const [code] = (await once(child, 'close')) as [number | null];
    expect(errors).to.equal('');
    expect(code).to.equal(0);
  });
});
