// Measures the processor time and memory of one entry daemon at several call rates, on loopback:
//   node --import tsx packages/entryDaemon/bench/callCost.ts
import { mkdtemp, readFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { sleep } from '@bronzelift/common';
import { runLoad } from '@bronzelift/load-tool';
import { LocalDeployment } from '@bronzelift/local-deployment';

const RATES_PER_S = [0, 200, 400, 800] as const;
const DURATION_MS = 8_000;
const CPU_TICK_MS = 10;
const BYTES_PER_PAGE = 4_096;
const BYTES_PER_MB = 1e6;
const MICROS_PER_MS = 1_000;

const deployment = await LocalDeployment.create(
  {
    name: 'call-cost',
    failureDomainIds: ['a'],
    services: [{ service: 's', instances: 4, slots: 16, connections: 200, meanServiceMs: 5 }],
    entries: 1,
  },
  { directory: await mkdtemp(join(tmpdir(), 'bronzelift-cost-')), seed: 1 },
);

const readProcessStat = async (): Promise<{ cpuMs: number; rssMb: number }> => {
  const { pid } = deployment.getProcess('entry-1');
  const fields = (await readFile(`/proc/${pid}/stat`, 'utf8')).split(' ');
  const cpuMs = (Number(fields[13]) + Number(fields[14])) * CPU_TICK_MS;
  return { cpuMs, rssMb: (Number(fields[23]) * BYTES_PER_PAGE) / BYTES_PER_MB };
};

const measureRate = async (rate: number): Promise<void> => {
  const before = await readProcessStat();
  if (rate === 0) await sleep(DURATION_MS);
  else {
    const result = await runLoad({
      seed: 1,
      entryEndpoints: deployment.entries.map(({ caller }) => caller),
      services: [{ service: 's', lookupsPerSecond: rate, ordersPerSecond: 0 }],
      durationMs: DURATION_MS,
    });
    process.stdout.write(`served ${result.total.lookups.served}; `);
  }
  const after = await readProcessStat();
  const cpuMs = after.cpuMs - before.cpuMs;
  const perCall = rate === 0 ? 0 : (cpuMs * MICROS_PER_MS) / ((rate * DURATION_MS) / MICROS_PER_MS);
  process.stdout.write(
    `${rate} calls/s: ${((cpuMs / DURATION_MS) * 100).toFixed(1)}% of a core, ${perCall.toFixed(0)} us a call, ${after.rssMb.toFixed(0)} MB\n`,
  );
};

try {
  await deployment.start();
  await deployment.changeBackendBehavior({ kind: 'warm', target: 'all' });
  for (const rate of RATES_PER_S) await measureRate(rate);
} finally {
  await deployment.stop();
}
