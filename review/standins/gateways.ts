/* eslint-disable n/no-sync -- a few small files, before and after the case */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

const FIRST_PORT = 18_100;
const LAST_PORT = 29_000;
const PORTS = 10;

/** Offsets of the ports of a gateway from the first one. */
const PortOffset = { frontend: 0, ready: 1, directory: 2, control: 3, internal: 4 } as const;

/** Settings as in the users' smaller deployments. */
const COMMON_SETTINGS: Readonly<Record<string, string>> = {
  'limits.cpu_share': '0.54',
  'limits.cores': '1',
  'limits.memory_mb': '350',
  'limits.max_fds': '4100',
  'limits.link_mbps': '1000.0',
  'limits.disk_mb': '0',
  discovery: 'platform',
  entry: 'directory',
  heartbeat: '1500ms',
  contracts: 'base,drain,config,cost,retry,recover,health,places,platform',
  'tolerance.machines': '2',
  'tolerance.zones': '1',
  'bounds.stability_window': '3000ms',
  'bounds.drain': '2000ms',
  'bounds.grace': '6s',
  'bounds.loss_slack': '200ms',
  'bounds.config': '2000ms',
  'bounds.rollback_slack': '250ms',
  'bounds.retry_budget_ratio': '0.2',
  'bounds.budget_window': '10s',
  'bounds.budget_slack': '58',
  'bounds.warmup_overshoot': '1.5',
  'bounds.warmup_slack': '5',
  'bounds.evacuate': '5000ms',
  'bounds.ttl_max': '5s',
  'bounds.probes_per_s': '60',
  'platform.form': 'log',
  'platform.writes_per_s': '400',
  'platform.reads_per_s': '2000',
};

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

const isFree = async (host: string, port: number): Promise<boolean> => {
  const server = createServer();
  try {
    server.listen(port, host);
    await once(server, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    server.close();
  }
};

const findFirstPort = async (hosts: readonly string[]): Promise<number> => {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const range = LAST_PORT - FIRST_PORT;
    const first = FIRST_PORT + Math.floor((Math.random() * range) / PORTS) * PORTS;
    const checks = hosts.flatMap((host) =>
      Array.from({ length: PORTS }, (_item, index) => isFree(host, first + index)),
    );
    if ((await Promise.all(checks)).every(Boolean)) return first;
  }
  throw new Error('no free ports');
};

const readRunCommand = (): readonly string[] => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const command = /^run = "(.+)"$/m.exec(text)?.[1];
  if (command === undefined) throw new Error('deploy/system.toml has no run command');
  return command.split(' ');
};

/** Zone of each gateway, and the port of the store that each uses. */
export interface GatewaysOptions {
  readonly zones: readonly string[];
  readonly storePorts: readonly number[];
  /** Settings that replace the usual ones. */
  readonly settings?: Readonly<Record<string, string>>;
}

/** Gateways of a small deployment, each a process of its own on its own loopback address. */
export class Gateways {
  private readonly processes = new Map<number, ChildProcess>();

  private constructor(
    readonly hosts: readonly string[],
    private readonly firstPort: number,
    private readonly options: GatewaysOptions,
    private readonly folder: string,
  ) {}

  /** Starts one gateway in each of the given zones, which may name a zone several times. */
  static async start(options: GatewaysOptions): Promise<Gateways> {
    const hosts = options.zones.map((_zone, index) => `127.0.0.${index + 11}`);
    const firstPort = await findFirstPort(hosts);
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    const gateways = new Gateways(hosts, firstPort, options, folder);
    process.once('exit', () => {
      gateways.killAll();
      gateways.removeFiles();
    });
    for (const index of hosts.keys()) gateways.startOne(index);
    return gateways;
  }

  get frontendPort(): number {
    return this.firstPort + PortOffset.frontend;
  }

  /** Starts one gateway with the command of the deploy file. */
  startOne(index: number): void {
    const host = this.hosts[index]!;
    const settingsPath = join(this.folder, `${host}.conf`);
    writeFileSync(settingsPath, this.createSettings(index));
    const [program = 'node', ...words] = readRunCommand();
    const logFile = openSync(join(this.folder, `${host}.log`), 'a');
    const child = spawn(program, words, {
      env: { PATH: process.env.PATH, HOME: process.env.HOME, BRONZELIFT_BOOT: settingsPath },
      stdio: ['ignore', logFile, logFile],
    });
    closeSync(logFile);
    this.processes.set(index, child);
  }

  /** Sends a signal to one gateway. */
  signal(index: number, signal: NodeJS.Signals): void {
    this.processes.get(index)?.kill(signal);
  }

  /** Resolves when the process of one gateway has ended. */
  async waitForEnd(index: number): Promise<void> {
    const child = this.processes.get(index);
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
    await once(child, 'exit');
  }

  /** Whether the process of one gateway runs. */
  isRunning(index: number): boolean {
    const child = this.processes.get(index);
    return child !== undefined && child.exitCode === null && child.signalCode === null;
  }

  /** Log of one gateway. */
  readLog(index: number): string {
    return readFileSync(join(this.folder, `${this.hosts[index]}.log`), 'utf8');
  }

  /** Waits until all gateways report that they are ready; throws after the time limit. */
  async waitReady(limitMs: number): Promise<void> {
    const untilMs = performance.now() + limitMs;
    for (const host of this.hosts) {
      while (!(await this.isReady(host))) {
        if (performance.now() > untilMs) throw new Error(`${host} is not ready`);
        await sleep(50);
      }
    }
  }

  /** Ends all gateways and removes their files. */
  async stop(): Promise<void> {
    this.killAll();
    for (const index of this.processes.keys()) await this.waitForEnd(index);
    this.removeFiles();
  }

  private removeFiles(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }

  private killAll(): void {
    for (const child of this.processes.values()) child.kill('SIGKILL');
  }

  private isReady(host: string): Promise<boolean> {
    return new Promise((resolve) => {
      const port = this.firstPort + PortOffset.ready;
      const request = get({ host, port, path: '/ready', agent: false }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.on('error', () => resolve(false));
    });
  }

  private createSettings(index: number): string {
    const host = this.hosts[index]!;
    const { zones, storePorts, settings } = this.options;
    const port = (offset: number): number => this.firstPort + offset;
    const seeds = this.hosts.slice(0, 3).map((seed) => `${seed}:${port(PortOffset.control)}`);
    const regions = Object.fromEntries(zones.map((zone) => [`zones.${zone}`, 'north']));
    const values: Record<string, string> = {
      node: `edge-${index + 1}`,
      role: 'gateway',
      machine_class: 'edge',
      serves: 'edge,directory,control',
      ip: host,
      zone: zones[index]!,
      region: 'north',
      ...regions,
      'listen.frontend': `${host}:${port(PortOffset.frontend)}`,
      'listen.ready': `${host}:${port(PortOffset.ready)}`,
      'listen.directory': `${host}:${port(PortOffset.directory)}`,
      'listen.control': `${host}:${port(PortOffset.control)}`,
      internal_ports: `${port(PortOffset.internal)},${port(PORTS - 1)}`,
      seeds: seeds.join(','),
      bootstrap: 'true',
      'platform.address': `127.0.0.1:${storePorts[index]}`,
      ...COMMON_SETTINGS,
      ...settings,
    };
    return Object.entries(values)
      .map(([key, value]) => `${key}=${value}\n`)
      .join('');
  }
}
