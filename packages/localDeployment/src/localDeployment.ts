import { randomUUID } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import { formatEndpoint } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';
import { BEHAVIOR_PATH, REPORT_PATH } from '@bronzelift/standins';
import type {
  BackendBehavior,
  BackendReport,
  LogBehavior,
  LogReport,
  VmListBehavior,
} from '@bronzelift/standins';

import { LOOPBACK, START_TIMEOUT_MS } from './constants.js';
import {
  formatConfiguration,
  formatEntrySettings,
  createEntryAddresses,
  createInstancePlacements,
} from './deploymentFiles.js';
import { LocalProcess } from './localProcess.js';
import type {
  DeploymentOptions,
  DeploymentShape,
  EntryAddresses,
  InstancePlacement,
} from './types.js';
import { fetchJson, findFreePorts, waitUntil } from './utils.js';

const DEFAULT_LOG_RETENTION_MS = 86_400_000;

/** Fields of an entry daemon's `/status` response that a deployment and its tests use. */
export interface EntryStatus {
  readonly vmId: string;
  readonly incarnation: string;
  readonly isReady: boolean;
  readonly epoch: number;
  readonly configurationVersion: number;
  readonly drainRevision: number;
  readonly members: number;
  readonly leaseHeld: boolean;
  readonly isSettled: boolean;
  readonly violations: Readonly<Record<string, number>>;
}

/** Control endpoints of the stand-ins. */
interface StandinEndpoints {
  readonly log: Endpoint;
  readonly vmList: Endpoint;
  readonly backend: Endpoint;
}

/** A complete deployment on loopback; stand-ins and entry daemons run as separate processes. */
export class LocalDeployment {
  private readonly processes = new Map<string, LocalProcess>();

  private constructor(
    readonly shape: DeploymentShape,
    readonly entries: readonly EntryAddresses[],
    readonly instances: readonly InstancePlacement[],
    readonly standins: StandinEndpoints,
    private readonly options: DeploymentOptions,
  ) {}

  /** Creates a deployment on free ports without starting its processes. */
  static async create(
    shape: DeploymentShape,
    options: DeploymentOptions,
  ): Promise<LocalDeployment> {
    const instanceCount = shape.services.reduce((sum, service) => sum + service.instances, 0);
    const ports = await findFreePorts(3 + instanceCount + shape.entries * 3);
    const [log, vmList, backend] = ports.map((port) => ({ host: LOOPBACK, port }));
    return new LocalDeployment(
      shape,
      createEntryAddresses(shape, ports.slice(3 + instanceCount)),
      createInstancePlacements(shape, ports.slice(3, 3 + instanceCount)),
      { log: log!, vmList: vmList!, backend: backend! },
      options,
    );
  }

  /** Starts all processes, applies the configuration and waits until all entry daemons are ready. */
  async start(): Promise<void> {
    await this.startStandins();
    await this.apply(formatConfiguration(this.shape, this.instances), 0);
    await Promise.all(this.entries.map((entry) => this.startEntry(entry.vmId)));
    await this.waitUntilReady();
  }

  /** Starts the stand-ins for log, VM list and backend servers, and waits until they respond. */
  async startStandins(): Promise<void> {
    const { log, vmList, backend } = this.standins;
    const vmsPath = join(this.options.directory, 'vms.json');
    await writeFile(vmsPath, JSON.stringify(this.listVms()));
    const instancesPath = join(this.options.directory, 'instances.json');
    await writeFile(instancesPath, JSON.stringify(this.listInstances()));
    this.launch('standin-log', 'bronzelift-standin-log', ['--port', String(log.port)]);
    this.launch('standin-vmlist', 'bronzelift-standin-vmlist', [
      ...['--port', String(vmList.port)],
      ...['--vms', vmsPath],
    ]);
    this.launch('standin-backend', 'bronzelift-standin-backend', [
      ...['--port', String(backend.port)],
      ...['--instances', instancesPath],
      ...['--seed', String(this.options.seed)],
    ]);
    await Promise.all(
      [log, vmList, backend].map((endpoint) =>
        waitUntil('start stand-in', START_TIMEOUT_MS, async () => {
          await fetchJson(`http://${formatEndpoint(endpoint)}${REPORT_PATH}`);
          return true;
        }),
      ),
    );
  }

  /** Writes the settings file of an entry VM and starts its daemon; does not wait for readiness. */
  async startEntry(vmId: string): Promise<void> {
    const entry = this.entry(vmId);
    const path = join(this.options.directory, `${vmId}.ini`);
    const text = formatEntrySettings(
      entry,
      this.standins.log,
      this.standins.vmList,
      this.options.logRetentionMs ?? DEFAULT_LOG_RETENTION_MS,
      this.options.extraSettings ?? '',
    );
    await writeFile(path, text);
    this.launch('entryd', 'bronzelift-entryd', ['--settings', path], vmId);
  }

  /** Waits until the given entry daemons, by default all, are ready to accept requests. */
  async waitUntilReady(vmIds = this.entries.map(({ vmId }) => vmId)): Promise<void> {
    await Promise.all(
      vmIds.map((vmId) =>
        waitUntil(`wait for ${vmId}`, START_TIMEOUT_MS, async () => {
          if (!this.getProcess(vmId).isRunning) return false;
          const status = await this.status(vmId);
          return status.isReady && status.isSettled;
        }),
      ),
    );
  }

  /** Fetches the status of an entry daemon; rejects when it does not respond. */
  status(vmId: string): Promise<EntryStatus> {
    return fetchJson(`http://${formatEndpoint(this.entry(vmId).admin)}/status`);
  }

  /** Appends a configuration to the log; returns its applyId. */
  async apply(text: string, basedOnVersion: number): Promise<string> {
    const applyId = randomUUID();
    await this.appendRecord({ kind: 'configuration-applied', applyId, basedOnVersion, text });
    return applyId;
  }

  /** Appends one record to the log; rejects when the log stand-in refuses it. */
  async appendRecord(record: Readonly<Record<string, unknown>>): Promise<void> {
    await fetchJson(`http://${formatEndpoint(this.standins.log)}/v1/records`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ payload: JSON.stringify(record) }),
    });
  }

  /** Changes the behavior of the log stand-in, for example to simulate an outage. */
  changeLogBehavior(behavior: LogBehavior): Promise<void> {
    return this.postBehavior(this.standins.log, behavior);
  }

  /** Changes the behavior of the VM list stand-in. */
  changeVmListBehavior(behavior: VmListBehavior): Promise<void> {
    return this.postBehavior(this.standins.vmList, behavior);
  }

  /** Changes the behavior of backend instances, for example to make one slow or restart it. */
  changeBackendBehavior(behavior: BackendBehavior): Promise<void> {
    return this.postBehavior(this.standins.backend, behavior);
  }

  /** Fetches the report of the backend stand-in. */
  fetchBackendReport(): Promise<BackendReport> {
    return fetchJson(`http://${formatEndpoint(this.standins.backend)}${REPORT_PATH}`);
  }

  /** Fetches the report of the log stand-in. */
  fetchLogReport(): Promise<LogReport> {
    return fetchJson(`http://${formatEndpoint(this.standins.log)}${REPORT_PATH}`);
  }

  /** Returns the addresses of an entry VM; throws when the deployment has no such VM. */
  entry(vmId: string): EntryAddresses {
    const entry = this.entries.find((candidate) => candidate.vmId === vmId);
    if (!entry) throw new Error(`no entry VM ${vmId} in this deployment`);
    return entry;
  }

  /** Returns a process, even if it has ended, by vmId or by the app name of a stand-in. */
  getProcess(name: string): LocalProcess {
    const found = this.processes.get(name);
    if (!found) throw new Error(`process ${name} was not started`);
    return found;
  }

  /** Stops all processes; terminates the entry daemons with SIGKILL. */
  async stop(): Promise<void> {
    const entryIds = new Set(this.entries.map(({ vmId }) => vmId));
    for (const [name, running] of this.processes) {
      // On SIGTERM an entry daemon keeps running until its addresses expire in callers' caches.
      if (entryIds.has(name)) running.signal('SIGKILL');
    }
    await Promise.all([...this.processes.values()].map((running) => running.stop()));
  }

  private listVms(): unknown[] {
    const backendVms = this.instances.map(({ vmId, endpoint, failureDomainId }) => ({
      vmId,
      address: endpoint.host,
      failureDomainId,
    }));
    const entryVms = this.entries.map(({ vmId, caller, failureDomainId }) => ({
      vmId,
      address: caller.host,
      failureDomainId,
    }));
    return [...entryVms, ...backendVms];
  }

  private listInstances(): unknown[] {
    return this.instances.map(({ instanceId, service, failureDomainId, endpoint, shape }) => ({
      instanceId,
      service,
      failureDomainId,
      port: endpoint.port,
      slots: shape.slots,
      maxConnections: shape.connections,
      meanServiceMs: shape.meanServiceMs,
      coldSlots: shape.coldSlots ?? 1,
    }));
  }

  private launch(app: string, binary: string, args: readonly string[], name = app): void {
    const outputPath = join(this.options.directory, `${name}.log`);
    this.processes.set(name, LocalProcess.create(app, binary, args, outputPath));
  }

  // eslint-disable-next-line class-methods-use-this -- declared next to the methods that call it
  private async postBehavior(endpoint: Endpoint, behavior: unknown): Promise<void> {
    await fetchJson(`http://${formatEndpoint(endpoint)}${BEHAVIOR_PATH}`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(behavior),
    });
  }
}
