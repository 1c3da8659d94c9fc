import { mkdtemp, readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { LOOPBACK, LocalProcess, findFreePorts } from '@bronzelift/local-deployment';
import { VmListStandin } from '@bronzelift/standins';
import { expect } from 'chai';

const run = async (settings: string): Promise<{ code: unknown; output: string }> => {
  const directory = await mkdtemp(join(tmpdir(), 'bronzelift-start-'));
  const settingsPath = join(directory, 'entryd.ini');
  const outputPath = join(directory, 'output.log');
  await writeFile(settingsPath, settings);
  const args = ['--settings', settingsPath];
  const child = LocalProcess.create('entryd', 'bronzelift-entryd', args, outputPath);
  const code = await child.ended;
  return { code, output: await readFile(outputPath, 'utf8') };
};

const formatSettings = (domain: string, ports: readonly number[], vmListPort: number): string =>
  [
    ...['[entry]', 'vm_id = entry-1', `failure_domain = ${domain}`],
    ...['[caller]', `host = ${LOOPBACK}`, `port = ${ports[0]}`],
    ...['[peer]', `host = ${LOOPBACK}`, `port = ${ports[1]}`],
    ...['[admin]', `host = ${LOOPBACK}`, `port = ${ports[2]}`],
    ...['[log]', `address = ${LOOPBACK}:${ports[3]}`],
    ...['[vm_list]', `address = ${LOOPBACK}:${vmListPort}`],
  ].join('\n');

describe('bronzelift-entryd', () => {
  // Guards against an entry daemon that runs with an invalid settings file.
  it('exits with 2 and reports every invalid setting', async () => {
    const { code, output } = await run('[entry]\nvm_id = entry.1\n');
    expect(code).to.equal(2);
    expect(output)
      .to.match(/entryd\.ini:2: \[entry\] vm_id/)
      .and.contain('[caller]');
  });

  it('exits with 1 and names the port that is in use', async () => {
    const ports = await findFreePorts(5);
    const blocker = createServer().listen(ports[0], LOOPBACK);
    const { code, output } = await run(formatSettings('a', ports, ports[4]!));
    blocker.close();
    expect(code).to.equal(1);
    expect(output).to.contain(`open caller port (${LOOPBACK}:${ports[0]})`);
  });

  it('exits with 1 if its settings and the VM list give different failure domains', async () => {
    const ports = await findFreePorts(4);
    const vm = { vmId: 'entry-1', address: LOOPBACK, failureDomainId: 'b', state: 'live' } as const;
    const vmList = VmListStandin.create({ vms: [vm] });
    const { port } = await vmList.listen(0);
    const { code, output } = await run(formatSettings('a', ports, port));
    await vmList.close();
    expect(code).to.equal(1);
    expect(output).to.contain('the settings give failure domain a, the VM list gives b');
  });
});
