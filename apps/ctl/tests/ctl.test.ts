import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PassThrough } from 'node:stream';

import { expect } from 'chai';

import { formatEndpoint } from '@bronzelift/common';
import { LogServer } from '@bronzelift/control-log/testing';

import { runCli } from '../src/cli.js';

const FILE = '[service loan-desk]\n[domain nyeri]\n';

const run = async (log: LogServer | undefined, ...args: string[]) => {
  const stdout = new PassThrough();
  const stderr = new PassThrough();
  const env = log ? { BRONZELIFT_LOG: formatEndpoint(log.endpoint) } : {};
  const code = await runCli(args, { stdout, stderr, env });
  return { code, out: String(stdout.read() ?? ''), errors: String(stderr.read() ?? '') };
};

describe('bronzeliftctl', () => {
  let folder: string;
  let file: string;
  let log: LogServer;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'bronzeliftctl-'));
    file = join(folder, 'services.ini');
    await writeFile(file, FILE);
    log = await LogServer.start();
  });

  afterEach(async () => {
    await log.stop();
    await rm(folder, { recursive: true });
  });

  it('lists all problems of a file with their lines, and sends nothing to the log', async () => {
    expect(await run(undefined, 'check', file)).to.include({ code: 0 });
    await writeFile(file, '[service a]\nslots = 1\n[domain b]\nstate = up\n');
    const { code, errors } = await run(log, 'apply', file);
    expect(code).to.equal(2);
    expect(errors).to.contain(`${file}:2: [service a] slots: expected a known key`);
    expect(errors).to.contain(`${file}:4: [domain b] state: expected one of in, out`);
    expect(log.requests).to.equal(0);
  });

  // Guards against an apply to a log that is empty because it has lost its records.
  it('requires --based-on 0 for an apply to an empty log', async () => {
    const { code, errors } = await run(log, 'apply', file);
    expect(code).to.equal(2);
    expect(errors).to.contain('add --based-on 0');
    expect(log.log.payloads).to.deep.equal([]);
  });

  it('reports accepted, lost and refused applies with different results', async () => {
    const accepted = await run(log, 'apply', file, '--based-on', '0');
    expect(accepted.code).to.equal(0);
    expect(accepted.out).to.contain('accepted: version 1');
    const lost = await run(log, 'apply', file, '--based-on', '0');
    expect(lost.code).to.equal(1);
    expect(lost.errors).to.contain('lost the race: version 1 is in force');
    expect((await run(log, 'apply', file)).out).to.contain('accepted: version 2');
    log.mode = 'status-503';
    expect((await run(log, 'apply', file)).errors).to.contain('nothing was sent');
  });

  it('accepts only one of two concurrent applies, and reports the version in force to the other', async () => {
    await run(log, 'apply', file, '--based-on', '0');
    const both = await Promise.all([1, 2].map(() => run(log, 'apply', file, '--based-on', '1')));
    expect(both.map(({ code }) => code).sort()).to.deep.equal([0, 1]);
    expect(both.map(({ errors }) => errors).join('')).to.contain('version 2 is in force');
  });

  it('reads the outcome of an apply from the log when the response was lost', async () => {
    log.loseAppendResponses = true;
    const { code, out, errors } = await run(log, 'apply', file, '--based-on', '0');
    expect(errors).to.contain('reading the log for the apply');
    expect(out).to.contain('accepted: version 1');
    expect(code).to.equal(0);
  });

  it('reports the outcome of an apply as unknown while the apply may still arrive', async () => {
    log.dropAppends = true;
    const options = ['--based-on', '0', '--settle-timeout-ms', '500'];
    const { code, errors } = await run(log, 'apply', file, ...options);
    expect(code).to.equal(3);
    expect(errors).to.contain('--based-on 0');
  });

  it('takes targets out of service and brings them back, but rejects unknown or malformed targets', async () => {
    await run(log, 'apply', file, '--based-on', '0');
    expect((await run(log, 'take-out', 'domain:nyeri')).out).to.contain('out of service');
    expect((await run(log, 'take-out', 'domain:nyeri')).out).to.contain('already');
    expect((await run(log, 'show')).out).to.contain('domain:nyeri (drain revision 1)');
    expect((await run(log, 'show', '--text')).out).to.equal(FILE);
    expect((await run(log, 'bring-back', 'domain:nyeri')).out).to.contain('drain revision 2');
    expect((await run(log, 'take-out', 'domain:nyery')).code).to.equal(2);
    expect((await run(log, 'take-out', 'nyeri')).code).to.equal(2);
    expect((await run(log, 'take-out', 'vm:spare', '--force')).code).to.equal(0);
  });

  it('reads the outcome of a take-out from the log when the response was lost', async () => {
    log.loseAppendResponses = true;
    expect(await run(log, 'take-out', 'vm:a', '--force')).to.include({ code: 0 });
  });

  it('start-empty restores a log whose state is lost, and refuses any other log', async () => {
    log.log.append('{}');
    log.log.expireBefore(1);
    expect((await run(log, 'apply', file, '--based-on', '0')).errors).to.contain('no snapshot');
    expect((await run(log, 'start-empty')).code).to.equal(0);
    expect((await run(log, 'apply', file, '--based-on', '0')).out).to.contain('version 1');
    expect((await run(log, 'start-empty')).code).to.equal(1);
  });

  it('exits with code 2 on an invalid command line', async () => {
    expect((await run(log, 'frobnicate')).code).to.equal(2);
    expect((await run(undefined, 'show')).code).to.equal(2);
    expect((await run(log, 'show', '--log', 'localhost:1')).code).to.equal(2);
    expect((await run(log, 'apply', file, '--based-on', 'x')).code).to.equal(2);
    expect((await run(log, 'status', 'here')).code).to.equal(2);
  });

  it('shows the version in force at each entry daemon, and waits for a version', async () => {
    const status = {
      vmId: 'vm1',
      failureDomainId: 'nyeri',
      phase: 'serving',
      configurationVersion: 4,
      configurationAgeMs: 1500,
      drainRevision: 0,
      epoch: 2,
      leaseHeld: true,
      logAgeMs: 20,
      slotsHeld: 8,
      slotsInUse: 3,
      probeSpendingMsPerS: 1.25,
    };
    const admin = createServer((_, response) => response.end(JSON.stringify(status)));
    await new Promise<void>((resolve) => {
      admin.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(admin.address() as AddressInfo).port}`;
    const shown = await run(undefined, 'status', address, '127.0.0.1:1');
    expect(shown.out).to.match(/vm1 +nyeri +serving +4 +1\.5s +0 +2 +held +0\.0s +3\/8 +1\.3/);
    expect(shown.out).to.contain('unreachable');
    expect(shown.errors).to.contain('127.0.0.1:1 is unreachable: connect ECONNREFUSED');
    expect(shown.code).to.equal(1);
    expect((await run(undefined, 'wait-for', '4', address)).code).to.equal(0);
    const missed = await run(undefined, 'wait-for', '5', address, '--timeout-ms', '300');
    expect(missed.code).to.equal(1);
    expect(missed.errors).to.contain('version 5 is not in force at 1 of 1');
    admin.close();
  });
});
