import { readFile } from 'node:fs/promises';

import { expect } from 'chai';

import {
  createTestShape,
  expectCorrectResult,
  loadDeployment,
  warmUp,
  withDeployment,
} from './support/testDeployment.js';
import { processTest } from './support/processTest.js';

const FAULT_PROBABILITY = 0.02;
const MIN_SERVED_SHARE = 0.97;
/** Longer than the test waits, so that an attempt that ends only with its timeout is noticed. */
const TIMEOUT_MS = 10_000;
const MAX_LATENCY_MS = 5_000;
const ORDERS_MS = 2_000;
/** Resident memory of an entry daemon under usual load, and its buffers for responses. */
const MAX_MEMORY_KB = 400_000;

const readPeakMemoryKb = async (pid: number): Promise<number> => {
  const status = await readFile(`/proc/${pid}/status`, 'utf8');
  return Number(/^VmHWM:\s+(\d+)/m.exec(status)?.[1]);
};

describe('responses without end', () => {
  // Guards against entry daemons whose memory, connections or callers are held by instances that
  // send bytes without end in place of a response or in its body.
  processTest('serve callers and keep memory when instances send bytes without end', () =>
    withDeployment(createTestShape(), async (deployment) => {
      await warmUp(deployment);
      for (const fault of ['endless-head', 'endless-body'] as const) {
        await deployment.changeBackendBehavior({
          kind: 'response-fault',
          fault,
          probability: FAULT_PROBABILITY,
        });
      }
      const result = await loadDeployment(deployment, {
        lookupsPerSecond: 80,
        ordersPerSecond: 10,
        durationMs: 8_000,
        timeoutMs: TIMEOUT_MS,
      });
      expectCorrectResult(result);
      const { lookups } = result.total;
      expect(lookups.served / lookups.offered, JSON.stringify(lookups)).to.be.at.least(
        MIN_SERVED_SHARE,
      );
      expect(lookups.latency.maxMs).to.be.below(MAX_LATENCY_MS);
      for (const { vmId } of deployment.entries) {
        const { pid } = deployment.getProcess(vmId);
        expect(await readPeakMemoryKb(pid), vmId).to.be.below(MAX_MEMORY_KB);
      }
    }),
  );

  (['endless-head', 'endless-body'] as const).forEach((fault) => {
    // Guards against an order that is held until its timeout, since nothing else may send it again.
    processTest(`do not hold orders until their timeout when instances have fault ${fault}`, () =>
      withDeployment(createTestShape(), async (deployment) => {
        await warmUp(deployment);
        await deployment.changeBackendBehavior({ kind: 'response-fault', fault, probability: 1 });
        const startedAtMs = performance.now();
        const { total, orderAudit } = await loadDeployment(
          deployment,
          { lookupsPerSecond: 0, ordersPerSecond: 4, durationMs: ORDERS_MS, timeoutMs: TIMEOUT_MS },
          [],
          { unknownRepeats: 0, settleMs: 0 },
        );
        expect(performance.now() - startedAtMs).to.be.below(ORDERS_MS + MAX_LATENCY_MS);
        expect(total.orders.offered).to.be.above(0);
        expect(total.orders.unknown, JSON.stringify(total.orders)).to.equal(total.orders.offered);
        expect(total.orders.unknownByCode).to.not.have.property('timeout');
        expect(orderAudit.findings).to.deep.equal([]);
      }),
    );
  });
});
