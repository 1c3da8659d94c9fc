import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';

import { StepError, describeError, formatEndpoint, sleep } from '@bronzelift/common';
import type { Endpoint, VmId } from '@bronzelift/common';
import { z } from 'zod';

import { VM_LIST_INTERVAL_MS, VM_LIST_MAX_BYTES, VM_LIST_TIMEOUT_MS } from './constants.js';
import type { VmList } from './types.js';
import { VmListTracker } from './vmListTracker.js';

const VM_LIST_SCHEMA = z.object({
  asOfMs: z.number(),
  vms: z.array(
    z.object({
      vmId: z.string(),
      address: z.string(),
      failureDomainId: z.string(),
      state: z.enum(['live', 'leaving']),
    }),
  ),
});
const READ_STEP = 'read VM list';

const readBody = async (response: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of response as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > VM_LIST_MAX_BYTES)
      throw new Error(`the response is longer than ${VM_LIST_MAX_BYTES} bytes`);
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const openResponse = async (endpoint: Endpoint, signal: AbortSignal): Promise<IncomingMessage> =>
  new Promise((resolve, reject) => {
    const { host, port } = endpoint;
    request({ host, port, path: '/v1/vms', signal, agent: false }, resolve)
      .on('error', reject)
      .end();
  });

/** Reads the VM list once. Throws a StepError if that fails or takes longer than 2 seconds. */
export const readVmList = async (endpoint: Endpoint): Promise<VmList> => {
  try {
    const signal = AbortSignal.timeout(VM_LIST_TIMEOUT_MS);
    const response = await openResponse(endpoint, signal);
    const body = await readBody(response);
    if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`);
    return VM_LIST_SCHEMA.parse(JSON.parse(body));
  } catch (error) {
    throw StepError.create(READ_STEP, formatEndpoint(endpoint), describeError(error), error);
  }
};

/** Endpoint, interval and callbacks of the reader. */
export interface VmListReaderOptions {
  readonly endpoint: Endpoint;
  /** Returns the VMs of the roster members, which are expected to be listed. */
  readonly expectedVmIds: () => readonly VmId[];
  readonly onList: (list: VmList) => void;
  readonly onLeaving: (vmId: VmId) => void;
  /**
   * Called for a VM that no longer exists. The list lags, so a VM created again under the same name
   * may already run: a member heard within the last 3 seconds must not be treated as gone.
   */
  readonly onGone: (vmId: VmId) => void;
  /** Called for each failed read; the reader keeps its state and continues polling. */
  readonly onError: (error: StepError) => void;
  readonly intervalMs?: number;
}

/** Polls the VM list and reports VMs that are leaving or gone. */
export class VmListReader {
  private readonly stopping = new AbortController();

  private finished: Promise<void> = Promise.resolve();

  private constructor(
    private readonly options: VmListReaderOptions,
    private readonly tracker: VmListTracker,
  ) {}

  static start(options: VmListReaderOptions): VmListReader {
    const reader = new VmListReader(options, VmListTracker.create());
    reader.finished = reader.run();
    return reader;
  }

  /** Whether the latest list contains the VM with the state `leaving`. */
  isLeaving(vmId: VmId): boolean {
    return this.tracker.isLeaving(vmId);
  }

  /** Stops polling and waits for the read in progress. */
  async stop(): Promise<void> {
    this.stopping.abort();
    await this.finished;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      await this.readOnce();
      await sleep(this.options.intervalMs ?? VM_LIST_INTERVAL_MS, signal);
    }
  }

  private async readOnce(): Promise<void> {
    try {
      const list = await readVmList(this.options.endpoint);
      if (this.stopping.signal.aborted) return;
      const { leaving, gone } = this.tracker.recordList(list, this.options.expectedVmIds());
      this.options.onList(list);
      leaving.forEach(this.options.onLeaving);
      gone.forEach(this.options.onGone);
    } catch (error) {
      if (error instanceof StepError) this.options.onError(error);
      else throw error;
    }
  }
}
