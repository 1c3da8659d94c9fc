import { formatEndpoint, sleep } from '@bronzelift/common';
import type { LocalDeployment } from '@bronzelift/local-deployment';
import { expect } from 'chai';

import { SEED, SERVICE } from './proofDeployment.js';

const TICKET_TRIES = 100;

// Beyond the time limit sent to the system, so that its own answer still arrives.
const ANSWER_GRACE_MS = 1_500;

/** Answer to one request of an order; `none` when there was none. */
export interface OrderReply {
  readonly vmId: string;
  readonly outcome: string;
  readonly code: string;
}

/** A ticket whose home is the given entry VM. */
export const fetchTicket = async (
  deployment: LocalDeployment,
  homeVmId: string,
): Promise<string> => {
  const { caller } = deployment.entry(homeVmId);
  const url = `http://${formatEndpoint(caller)}/bronzelift/v1/addresses?service=${SERVICE}`;
  for (let tries = 0; tries < TICKET_TRIES; tries++) {
    const response = await fetch(url, { signal: AbortSignal.timeout(2_000) });
    const { ticket } = (await response.json()) as { ticket?: string };
    if (ticket?.split('.')[1] === homeVmId) return ticket;
  }
  throw new Error(`no ticket with home ${homeVmId} in ${TICKET_TRIES} answers`);
};

/** Keys of orders at one home. */
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

/** Sends an order to an entry VM. */
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
      signal: AbortSignal.timeout(timeoutMs + ANSWER_GRACE_MS),
    });
    const text = await response.text();
    const outcome = response.headers.get('bronzelift-outcome') ?? 'none';
    return { vmId, outcome, code: outcome === 'ran' ? 'ran' : text };
  } catch (error) {
    return { vmId, outcome: 'none', code: String(error) };
  }
};

/** What is known of single keys, to be compared with the runs that the backend counted. */
export class KeyLedger {
  private readonly lastReplies = new Map<string, readonly OrderReply[]>();

  private constructor(private readonly deployment: LocalDeployment) {}

  /** Creates a ledger without keys. */
  static create(deployment: LocalDeployment): KeyLedger {
    return new KeyLedger(deployment);
  }

  /** Sends each key to all given entry VMs at once; the replies are the last ones of the keys. */
  async sendAll(
    keys: readonly string[],
    vmIds: readonly string[],
    timeoutMs: number,
  ): Promise<OrderReply[]> {
    const replies = await Promise.all(
      keys.map(async (key) => {
        const own = await Promise.all(
          vmIds.map((vmId) => sendOrder(this.deployment, vmId, key, timeoutMs)),
        );
        this.lastReplies.set(key, own);
        return own;
      }),
    );
    return replies.flat();
  }

  /**
   * Fails when a key ran twice, or ran although all of its last replies were not-run; looks
   * again after some seconds, because a late request may still arrive.
   */
  async expectTrue(): Promise<void> {
    await this.compare();
    await sleep(3_000);
    await this.compare();
  }

  /** Number of runs of a key that the backend counted. */
  async countRuns(key: string): Promise<number> {
    const { runs } = await this.deployment.backendReport();
    return runs[key]?.length ?? 0;
  }

  private async compare(): Promise<void> {
    const { runs } = await this.deployment.backendReport();
    for (const [key, replies] of this.lastReplies) {
      const detail = `${key}: ${JSON.stringify(replies)} ${JSON.stringify(runs[key])}`;
      const count = runs[key]?.length ?? 0;
      expect(count, `order-at-most-once ${detail}`).to.be.at.most(1);
      const isNotRun = replies.every(({ outcome }) => outcome === 'not-run');
      if (isNotRun) expect(count, `not-run-is-true ${detail}`).to.equal(0);
      const isRun = replies.some(({ outcome }) => outcome === 'ran');
      if (isRun) expect(count, `answered without a run ${detail}`).to.equal(1);
    }
  }
}
