import { formatEndpoint, sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import { SEED, SERVICE } from './testDeployment.js';

const MAX_TICKET_REQUESTS = 100;

// Added to the timeout sent with the request, so that a response at the deadline still arrives.
const RESPONSE_GRACE_MS = 1_500;

/** Response to one request of an order; its outcome is `none` if no response arrived. */
export interface OrderReply {
  readonly vmId: string;
  readonly outcome: string;
  readonly code: string;
}

/** Requests tickets until one has the given entry VM as its home. */
export const fetchTicket = async (
  deployment: LocalDeployment,
  homeVmId: string,
): Promise<string> => {
  const { caller } = deployment.entry(homeVmId);
  const url = `http://${formatEndpoint(caller)}/bronzelift/v1/addresses?service=${SERVICE}`;
  for (let tries = 0; tries < MAX_TICKET_REQUESTS; tries++) {
    const response = await fetch(url, { signal: AbortSignal.timeout(2_000) });
    const { ticket } = (await response.json()) as { ticket?: string };
    if (ticket?.split('.')[1] === homeVmId) return ticket;
  }
  throw new Error(`no ticket with home ${homeVmId} in ${MAX_TICKET_REQUESTS} answers`);
};

/** Creates idempotency keys of orders whose home is the given entry VM. */
export const createKeys = async (
  deployment: LocalDeployment,
  homeVmId: string,
  label: string,
  count: number,
): Promise<string[]> => {
  const keys: string[] = [];
  for (let index = 0; index < count; index++) {
    const ticket = await fetchTicket(deployment, homeVmId);
    keys.push(`${ticket}~${label}-${SEED}-${index}`);
  }
  return keys;
};

/** Sends an order to an entry VM; an error becomes a reply with outcome `none`. */
export const sendOrder = async (
  deployment: LocalDeployment,
  vmId: string,
  key: string,
  timeoutMs: number,
): Promise<OrderReply> => {
  const url = `http://${formatEndpoint(deployment.entry(vmId).caller)}/${SERVICE}/orders`;
  try {
    const response = await fetch(url, {
      method: 'POST',
      headers: { 'idempotency-key': key, 'bronzelift-timeout-ms': String(timeoutMs) },
      body: '{"order":1}',
      signal: AbortSignal.timeout(timeoutMs + RESPONSE_GRACE_MS),
    });
    const text = await response.text();
    const outcome = response.headers.get('bronzelift-outcome') ?? 'none';
    return { vmId, outcome, code: outcome === 'ran' ? 'ran' : text };
  } catch (error) {
    return { vmId, outcome: 'none', code: String(error) };
  }
};

/** Records the last replies to each key and compares them with the runs in the report. */
export class OrderKeyTracker {
  private readonly lastReplies = new Map<string, readonly OrderReply[]>();

  private constructor(private readonly deployment: LocalDeployment) {}

  /** Creates a tracker that reads runs from the backend report of a deployment. */
  static create(deployment: LocalDeployment): OrderKeyTracker {
    return new OrderKeyTracker(deployment);
  }

  /** Sends each key to all given entry VMs at once and records the replies as its last ones. */
  async sendAll(
    keys: readonly string[],
    vmIds: readonly string[],
    timeoutMs: number,
  ): Promise<OrderReply[]> {
    const replies = await Promise.all(
      keys.map(async (key) => {
        const keyReplies = await Promise.all(
          vmIds.map((vmId) => sendOrder(this.deployment, vmId, key, timeoutMs)),
        );
        this.lastReplies.set(key, keyReplies);
        return keyReplies;
      }),
    );
    return replies.flat();
  }

  /**
   * Fails if an order ran twice, ran although all last replies to its key were `not-run`, or did not
   * run although one of these replies was `ran`. Checks again after 3 s, because a late request may
   * still arrive.
   */
  async expectConsistentRuns(): Promise<void> {
    await this.compare();
    await sleep(3_000);
    await this.compare();
  }

  /** Number of times that backend servers ran a key. */
  async countRuns(key: string): Promise<number> {
    const { runs } = await this.deployment.fetchBackendReport();
    return runs[key]?.length ?? 0;
  }

  private async compare(): Promise<void> {
    const { runs } = await this.deployment.fetchBackendReport();
    for (const [key, replies] of this.lastReplies) {
      const detail = `${key}: ${JSON.stringify(replies)} ${JSON.stringify(runs[key])}`;
      const count = runs[key]?.length ?? 0;
      expect(count, `order-at-most-once ${detail}`).to.be.at.most(1);
      const isNotRun = replies.every(({ outcome }) => outcome === 'not-run');
      if (isNotRun) expect(count, `not-run-is-true ${detail}`).to.equal(0);
      const isRun = replies.some(({ outcome }) => outcome === 'ran');
      if (isRun) expect(count, `outcome 'ran' without a run ${detail}`).to.equal(1);
    }
  }
}
