import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock, Endpoint } from '@bronzelift/common';
import { SystemClock, assertNever, sleep } from '@bronzelift/common';

import { vmListBehaviorSchema } from './behaviors.js';
import type { ParsedVmListBehavior, VmListBehavior } from './behaviors.js';
import { handleControl } from './controlApi.js';
import { OutageState, answerUnavailable } from './outage.js';
import { StandinServer } from './standinServer.js';
import type { Standin, VmListReport, VmListStandinOptions } from './types.js';
import { getPath, sendJson } from './utils.js';
import { VmListStore } from './vmListStore.js';

/** Simulates the VM list service, whose list of live and leaving VMs lags behind changes. */
export class VmListStandin implements Standin {
  private readonly server = StandinServer.create((request, response) =>
    this.handle(request, response),
  );

  private readonly outage: OutageState;

  private reads = 0;

  private unavailableRequests = 0;

  private delayMs = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly store: VmListStore,
  ) {
    this.outage = OutageState.create(clock);
  }

  /** Creates a VM list that accepts no connections before `listen`. */
  static create(options: VmListStandinOptions = {}): VmListStandin {
    const store = VmListStore.create(options.vms ?? [], options.lagMs ?? 0);
    return new VmListStandin(options.clock ?? SystemClock.create(), store);
  }

  listen(port: number, host?: string): Promise<Endpoint> {
    return this.server.listen(port, host);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  /** Applies a list change or a fault as the control endpoint does; throws when it is invalid. */
  apply(behavior: VmListBehavior): void {
    this.applyParsed(vmListBehaviorSchema.parse(behavior));
  }

  /** Reports the lagged list, the list with all changes, and counts since the start. */
  report(): VmListReport {
    return {
      lagMs: this.store.lagMs,
      visible: this.store.visible(this.clock.wallMs()).vms,
      latest: this.store.latest(),
      reads: this.reads,
      unavailableRequests: this.unavailableRequests,
    };
  }

  private applyParsed(behavior: ParsedVmListBehavior): void {
    const nowMs = this.clock.wallMs();
    switch (behavior.kind) {
      case 'outage':
        this.outage.start(behavior.mode, behavior.durationMs);
        break;
      case 'available':
        this.outage.end();
        break;
      case 'delay':
        this.delayMs = behavior.delayMs;
        break;
      case 'add':
        this.store.add(behavior.vms, nowMs);
        break;
      case 'leaving':
        this.store.markLeaving(behavior.vmIds, nowMs);
        break;
      case 'remove':
        this.store.remove(behavior.vmIds, nowMs);
        break;
      case 'lag':
        this.store.lagMs = behavior.lagMs;
        break;
      default:
        assertNever(behavior);
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const control = {
      schema: vmListBehaviorSchema,
      apply: (behavior: ParsedVmListBehavior) => this.applyParsed(behavior),
      report: () => this.report(),
    };
    if (await handleControl(control, request, response)) return;
    const mode = this.outage.current();
    if (mode !== undefined) {
      this.unavailableRequests += 1;
      answerUnavailable(mode, response);
      return;
    }
    if (`${request.method} ${getPath(request)}` !== 'GET /v1/vms') {
      sendJson(response, 404, { code: 'not-found' });
      return;
    }
    this.reads += 1;
    if (this.delayMs > 0) await sleep(this.delayMs);
    sendJson(response, 200, this.store.visible(this.clock.wallMs()));
  }
}
