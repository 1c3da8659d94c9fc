import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

import { expect } from 'chai';

import { SETTINGS_PATH_VARIABLE } from '@bronzelift/platform';

const PROGRAM = fileURLToPath(new URL('../bin/bronzelift-gatewayd.js', import.meta.url));
const FIRST_PORT = 20_150;

const SETTINGS = [
  'node=edge-1',
  'ip=127.0.0.1',
  'zone=zone-a',
  'region=north',
  'zones.zone-a=north',
  `listen.frontend=127.0.0.1:${FIRST_PORT}`,
  `listen.ready=127.0.0.1:${FIRST_PORT + 1}`,
  `listen.directory=127.0.0.1:${FIRST_PORT + 2}`,
  `internal_ports=${FIRST_PORT + 3},${FIRST_PORT + 9}`,
  // No store listens on this port, so that the process has to start and stop without one.
  `platform.address=127.0.0.1:${FIRST_PORT + 8}`,
  'bounds.grace=1500ms',
].join('\n');

const readStatus = (port: number): Promise<number> =>
  new Promise((resolve, reject) => {
    get({ host: '127.0.0.1', port, path: '/ready', agent: false }, (response) => {
      response.resume();
      resolve(response.statusCode ?? 0);
    }).on('error', reject);
  });

const waitForStatus = async (port: number): Promise<number> => {
  for (let tries = 0; ; tries += 1) {
    try {
      return await readStatus(port);
    } catch (error) {
      if (tries === 100) throw error;
      await new Promise((resolve) => {
        setTimeout(resolve, 50);
      });
    }
  }
};

describe('bronzelift-gatewayd as a process', () => {
  let folder: string;
  let child: ChildProcess | undefined;

  const start = async (settings: string, ...args: string[]) => {
    const file = path.join(folder, 'settings.conf');
    await writeFile(file, settings);
    const started = spawn(process.execPath, [PROGRAM, ...args], {
      env: { ...process.env, [SETTINGS_PATH_VARIABLE]: file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child = started;
    const output = { out: '', errors: '' };
    started.stdout.on('data', (data) => {
      output.out += String(data);
    });
    started.stderr.on('data', (data) => {
      output.errors += String(data);
    });
    return { started, output };
  };

  beforeEach(async () => {
    folder = await mkdtemp(path.join(tmpdir(), 'gatewayd-'));
  });

  afterEach(async () => {
    if (child?.exitCode === null && child.signalCode === null) child.kill('SIGKILL');
    await rm(folder, { recursive: true });
  });

  // Guards against a process that is terminated by SIGHUP, which only signals that the settings
  // file has changed.
  it('keeps running after SIGHUP, exits with 0 after SIGTERM, and logs both', async () => {
    const { started, output } = await start(SETTINGS, 'run');
    expect(await waitForStatus(FIRST_PORT + 1)).to.equal(503);
    started.kill('SIGHUP');
    expect(await waitForStatus(FIRST_PORT + 1)).to.equal(503);
    started.kill('SIGTERM');
    const [code] = await once(started, 'exit');
    expect(code).to.equal(0);
    expect(output.out).to.match(/reload requested/);
    expect(output.out).to.match(/\[daemon\] stopped/);
  });

  // Guards against a stop that a repeated signal ends at once, with all requests in flight.
  it('completes a stop although further signals to stop arrive', async () => {
    const { started, output } = await start(SETTINGS, 'run');
    await waitForStatus(FIRST_PORT + 1);
    started.kill('SIGTERM');
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGTERM'] as const) {
      setTimeout(() => started.kill(signal), 200);
    }
    const [code, signal] = (await once(started, 'exit')) as [number | null, string | null];
    expect(signal).to.equal(null);
    expect(code).to.equal(0);
    expect(output.out).to.match(/\[daemon\] stopped/);
  });

  // Guards against a store outage during which operators cannot see the state of the process.
  it('serves metrics without a reachable store', async () => {
    await start(SETTINGS, 'run', '--metrics-port', String(FIRST_PORT + 7));
    await waitForStatus(FIRST_PORT + 1);
    const response = await fetch(`http://127.0.0.1:${FIRST_PORT + 7}/metrics`);
    const text = await response.text();
    const names = [
      'bronzelift_requests_in_flight 0',
      'bronzelift_members 1',
      'bronzelift_operator_revision 0',
      'bronzelift_resident_memory_bytes',
      'bronzelift_event_loop_delay_seconds',
      'bronzelift_log_lines{state="left-out"} 0',
    ];
    for (const name of names) expect(text).to.include(name);
  });

  // Guards against a program that does not register its version, its help or its check command.
  it('prints its version and its commands', async () => {
    for (const [argument, expected] of [
      ['--version', /^\d+\.\d+\.\d+\n$/],
      ['--help', /bronzelift-gatewayd check/],
    ] as const) {
      const { started, output } = await start(SETTINGS, argument);
      expect((await once(started, 'exit'))[0]).to.equal(0);
      expect(output.out).to.match(expected);
    }
  });

  // Guards against invalid settings that are detected only after the start, or reported one at a
  // time.
  it('reports all problems of its settings and exits with 2', async () => {
    const wrong = SETTINGS.replace('node=edge-1', 'node=').replace('=1500ms', '=soon');
    for (const command of ['run', 'check']) {
      const { started, output } = await start(wrong, command);
      const [code] = await once(started, 'exit');
      expect(code).to.equal(2);
      expect(output.errors).to.match(/node: expected a value/);
      expect(output.errors).to.match(/bounds\.grace: expected a time/);
    }
  });

  // Guards against a process that keeps running without one of its ports, or exits without a
  // reason.
  it('reports a port in use and exits with 1', async () => {
    const { started: first } = await start(SETTINGS, 'run');
    await waitForStatus(FIRST_PORT + 1);
    const { started: second, output } = await start(SETTINGS, 'run');
    const [code] = await once(second, 'exit');
    first.kill('SIGKILL');
    expect(code).to.equal(1);
    expect(output.errors).to.match(/cannot start: open .*127\.0\.0\.1:\d+.*EADDRINUSE/);
  });
});
