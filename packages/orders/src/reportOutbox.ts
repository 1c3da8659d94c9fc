import { formatMember } from '@bronzelift/common';

import type { MemberId } from '@bronzelift/common';
import { MAX_REPORTS_PER_MESSAGE, MAX_WAITING_REPORTS, REPORT_RETRY_MS } from './constants.js';

import type { OrderDependencies } from './orderContext.js';
import type { CompletionReport, OrderKey, ReportResult } from './types.js';

interface Release {
  readonly key: OrderKey;
  readonly attempt: number;
}

interface WitnessQueue {
  readonly witness: MemberId;
  completions: CompletionReport[];
  releases: Release[];
}

type OutboxDependencies = Pick<OrderDependencies, 'transport' | 'knowledge' | 'sleep'>;

/**
 * Queues completions and releases for the witnesses. One task per witness sends them in batches and
 * retries until the witness has accepted them or is gone.
 */
export class ReportOutbox {
  private readonly queues = new Map<string, WitnessQueue>();

  private constructor(private readonly dependencies: OutboxDependencies) {}

  static create(dependencies: OutboxDependencies): ReportOutbox {
    return new ReportOutbox(dependencies);
  }

  addCompletion(witness: MemberId, report: CompletionReport): void {
    this.add(witness, (queue) => queue.completions.push(report));
  }

  addRelease(witness: MemberId, release: Release): void {
    this.add(witness, (queue) => queue.releases.push(release));
  }

  private add(witness: MemberId, push: (queue: WitnessQueue) => void): void {
    const name = formatMember(witness);
    const queue = this.queues.get(name);
    if (queue !== undefined) {
      if (queue.completions.length + queue.releases.length < MAX_WAITING_REPORTS) push(queue);
      return;
    }
    const newQueue: WitnessQueue = { witness, completions: [], releases: [] };
    push(newQueue);
    this.queues.set(name, newQueue);
    this.deliver(name, newQueue).catch(() => this.queues.delete(name));
  }

  private async deliver(name: string, queue: WitnessQueue): Promise<void> {
    while (queue.completions.length + queue.releases.length > 0) {
      const result = await this.sendBatch(queue);
      if (result === 'wrong-incarnation') break;
      if (result === 'accepted') continue;
      if (this.dependencies.knowledge.isGone(queue.witness)) break;
      await this.dependencies.sleep(REPORT_RETRY_MS);
    }
    this.queues.delete(name);
  }

  private async sendBatch(queue: WitnessQueue): Promise<ReportResult> {
    const { transport } = this.dependencies;
    const batch = queue.completions.slice(0, MAX_REPORTS_PER_MESSAGE);
    if (batch.length > 0) {
      const result = await transport.completions(queue.witness, batch);
      if (result === 'accepted') queue.completions.splice(0, batch.length);
      return result;
    }
    const release = queue.releases[0];
    if (release === undefined) return 'accepted';
    const result = await transport.release(queue.witness, release.key, release.attempt);
    if (result === 'accepted') queue.releases.shift();
    return result;
  }
}
