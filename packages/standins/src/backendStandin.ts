import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock, Endpoint, InstanceId } from '@bronzelift/common';
import { SeededRandom, StepError, SystemClock } from '@bronzelift/common';

import { BackendInstance } from './backendInstance.js';
import { backendBehaviorSchema } from './behaviors.js';
import type { BackendBehavior, BehaviorTarget, ParsedBackendBehavior } from './behaviors.js';
import { handleControl } from './controlApi.js';
import { RunRegistry } from './runRegistry.js';
import { StandinServer } from './standinServer.js';
import type { BackendReport, BackendStandinOptions, InstanceOptions, Standin } from './types.js';
import { sendJson } from './utils.js';

// Gives each instance of a stand-in a different random sequence.
const SEED_STRIDE = 7919;

const isTarget = (settings: InstanceOptions, target: BehaviorTarget): boolean => {
  if (target === 'all') return true;
  if ('instanceId' in target) return settings.instanceId === target.instanceId;
  if ('failureDomainId' in target) return settings.failureDomainId === target.failureDomainId;
  return settings.service === target.service;
};

/** Simulates backend servers: several instances, each on its own port, and one control port. */
export class BackendStandin implements Standin {
  private readonly server = StandinServer.create((request, response) =>
    this.handle(request, response),
  );

  private listeningSinceMs = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly registry: RunRegistry,
    private readonly backends: readonly BackendInstance[],
  ) {}

  /** Creates the instances; they accept no connections before `listen`. */
  static create(options: BackendStandinOptions): BackendStandin {
    const clock = options.clock ?? SystemClock.create();
    const registry = RunRegistry.create();
    const backends = options.instances.map((instance, index) => {
      const random = SeededRandom.create((options.seed ?? 1) + index * SEED_STRIDE);
      return BackendInstance.create(instance, clock, random, registry);
    });
    return new BackendStandin(clock, registry, backends);
  }

  /** Opens the ports of all instances and the control port; returns the control address. */
  async listen(port: number, host = '127.0.0.1'): Promise<Endpoint> {
    if (this.listeningSinceMs > 0) throw StepError.create('listen', 'local', 'already listening');
    await Promise.all(this.backends.map((backend) => backend.listen(host)));
    this.listeningSinceMs = this.clock.wallMs();
    return this.server.listen(port, host);
  }

  async close(): Promise<void> {
    await Promise.all(this.backends.map((backend) => backend.close()));
    await this.server.close();
  }

  /** Returns the address of an instance; throws when the id is unknown. */
  getEndpoint(instanceId: InstanceId): Endpoint {
    const backend = this.backends.find(({ settings }) => settings.instanceId === instanceId);
    if (!backend) throw StepError.create('find instance', 'local', `no instance ${instanceId}`);
    return backend.report().endpoint;
  }

  /** Applies a behavior as the control endpoint does; rejects when it is invalid. */
  async apply(behavior: BackendBehavior): Promise<void> {
    await this.applyParsed(backendBehaviorSchema.parse(behavior));
  }

  /** Reports the state of all instances and their counts since the start. */
  report(): BackendReport {
    const instances = this.backends.map((backend) => backend.report());
    const sum = (count: (instance: (typeof instances)[number]) => number): number =>
      instances.reduce((total, instance) => total + count(instance), 0);
    return {
      atMs: this.clock.wallMs(),
      listeningSinceMs: this.listeningSinceMs,
      instances,
      failureDomains: this.registry.reportDomains(),
      runs: this.registry.reportRuns(),
      coldOverloads: sum((instance) => instance.coldOverloads),
      unannouncedColdOverloads: sum((instance) => instance.unannouncedColdOverloads),
      coldOverloadDetails: this.registry.reportOverloads(),
    };
  }

  private async applyParsed(behavior: ParsedBackendBehavior): Promise<void> {
    const targets = this.backends.filter(({ settings }) => isTarget(settings, behavior.target));
    if (targets.length === 0) {
      const target = JSON.stringify(behavior.target);
      throw StepError.create('apply behavior', 'local', `no instance matches ${target}`);
    }
    await Promise.all(targets.map((backend) => backend.apply(behavior)));
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const control = {
      schema: backendBehaviorSchema,
      apply: (behavior: ParsedBackendBehavior) => this.applyParsed(behavior),
      report: () => this.report(),
    };
    if (await handleControl(control, request, response)) return;
    sendJson(response, 404, { code: 'not-found' });
  }
}
