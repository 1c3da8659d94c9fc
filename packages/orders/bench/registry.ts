import { SystemClock, sleep } from '@bronzelift/common';

import {
  DEFAULT_LIMITS,
  OrderRegistry,
  formatOrderKey,
  hashRequest,
  parseOrderKey,
} from '../src/index.js';

import type { OrderKey, StoredAnswer } from '../src/index.js';

const ENTRY_COUNTS = [10_000, 50_000, 100_000];
const BODY_BYTES = 256;
const BYTES_PER_MIB = 1024 * 1024;
const GC_ROUNDS = 4;
const GC_PAUSE_MS = 100;

const clock = SystemClock.create();
const home = { vmId: 'entry-vm-07', incarnation: 'lq3x9k12abcde' };
const witness = { vmId: 'entry-vm-12', incarnation: 'lq3x9k99fghij' };

const createRegistry = (): OrderRegistry =>
  OrderRegistry.create({
    clock,
    limits: { ...DEFAULT_LIMITS, maxEntries: Infinity, maxBodyBytes: Infinity },
    onViolation: (name, detail) => {
      throw new Error(`${name}: ${detail}`);
    },
  });

const createKeyText = (index: number): string =>
  formatOrderKey({ home, witness, issuedAtMs: clock.wallMs() }, `order-${index}-5f0c7c1e`);

const parse = (text: string): OrderKey => {
  const parsed = parseOrderKey(text);
  if (parsed.kind === 'rejected') throw new Error(parsed.reason);
  return parsed.value;
};

const createAnswer = (): StoredAnswer => ({
  status: 200,
  headers: { 'content-type': 'application/json', 'x-instance-id': 'profiles-3' },
  body: new Uint8Array(BODY_BYTES),
});

/** All steps of one order at its home: parse, hash, begin, allow, send, complete. */
const runAtHome = (registry: OrderRegistry, text: string, body: Uint8Array): void => {
  const key = parse(text);
  const requestHash = hashRequest({ method: 'POST', path: '/profiles/orders', body });
  const beginResult = registry.begin(key, requestHash);
  if (beginResult.kind !== 'start') throw new Error(beginResult.kind);
  registry.startRun(key, beginResult.attempt, 'granted');
  registry.markSent(key, beginResult.attempt);
  registry.complete(key, beginResult.attempt, createAnswer());
};

/** All steps of one order at its witness: parse, claim, completion. */
const runAtWitness = (registry: OrderRegistry, text: string): void => {
  const key = parse(text);
  registry.witness.grantClaim({ key, requestHash: 'm5Yf1kq0YJ2sVw8r3nT6zA', attempt: 1 });
  registry.witness.recordCompletion({
    key: text,
    requestHash: 'm5Yf1kq0YJ2sVw8r3nT6zA',
    answer: createAnswer(),
  });
};

/** Runs several garbage collections, since buffers are freed some time after being found unused. */
const measureUsedBytes = async (): Promise<number> => {
  if (globalThis.gc === undefined) throw new Error('start with --expose-gc');
  for (let round = 0; round < GC_ROUNDS; round += 1) {
    globalThis.gc();
    await sleep(GC_PAUSE_MS);
  }
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

const measure = async (
  role: string,
  count: number,
  run: (registry: OrderRegistry, text: string) => void,
): Promise<void> => {
  const registry = createRegistry();
  const beforeBytes = await measureUsedBytes();
  const startedUs = process.cpuUsage();
  for (let index = 0; index < count; index += 1) run(registry, createKeyText(index));
  const { user, system } = process.cpuUsage(startedUs);
  const bytes = (await measureUsedBytes()) - beforeBytes;
  const { entries } = registry.stats();
  const perEntry = (bytes / entries).toFixed(0);
  const perOrderUs = ((user + system) / count).toFixed(2);
  process.stdout.write(
    `${role}: ${entries} entries, ${(bytes / BYTES_PER_MIB).toFixed(1)} MiB, ` +
      `${perEntry} bytes per entry with a body of ${BODY_BYTES} bytes, ` +
      `${perOrderUs} us CPU per order\n`,
  );
};

const requestBody = new Uint8Array(BODY_BYTES);
await measure('warm-up', 20_000, (registry, text) => runAtHome(registry, text, requestBody));
for (const count of ENTRY_COUNTS) {
  await measure('home', count, (registry, text) => runAtHome(registry, text, requestBody));
  await measure('witness', count, runAtWitness);
}
