/* eslint-disable no-console -- the benchmark prints its result */
import { SystemClock, systemRandom } from '@bronzelift/common';

import { AdmissionQueue } from '../src/index.js';

// Measures the time per call of `admit` with a free slot, with a wait in the queue, and with a
// refusal.
const ROUNDS = 30;
const REQUESTS = 2000;
const MICROSECONDS_PER_MS = 1000;
const MANY_SLOTS = 10_000;

const createQueue = (slots: number): AdmissionQueue => {
  const queue = AdmissionQueue.create({
    clock: SystemClock.create(),
    random: systemRandom,
    maxQueued: REQUESTS,
    initialServiceTimeMs: 0.001,
    onViolation: (name, detail) => console.error(name, detail),
  });
  queue.setUsableSlots(slots);
  return queue;
};

const task = async (): Promise<void> => {};

const measure = async (queue: AdmissionQueue, timeoutMs: number, isConcurrent: boolean) => {
  const signals = Array.from({ length: REQUESTS }, () => new AbortController().signal);
  const deadlineAtMs = performance.now() + timeoutMs;
  const startedAtMs = performance.now();
  const admit = (index: number) =>
    queue.admit({ isOrder: index % 4 === 0, deadlineAtMs, signal: signals[index]! }, task);
  if (isConcurrent) await Promise.all(Array.from({ length: REQUESTS }, (_, index) => admit(index)));
  else for (let index = 0; index < REQUESTS; index++) await admit(index);
  return ((performance.now() - startedAtMs) / REQUESTS) * MICROSECONDS_PER_MS;
};

const report = async (title: string, slots: number, timeoutMs: number, isConcurrent: boolean) => {
  const queue = createQueue(slots);
  const costs: number[] = [];
  for (let round = 0; round < ROUNDS; round++) {
    costs.push(await measure(queue, timeoutMs, isConcurrent));
  }
  const median = costs.sort((left, right) => left - right)[ROUNDS / 2]!;
  console.log(`${title}: ${median.toFixed(2)} us`);
};

const bareCosts: number[] = [];
for (let round = 0; round < ROUNDS; round++) {
  const startedAtMs = performance.now();
  for (let index = 0; index < REQUESTS; index++) await task();
  bareCosts.push(((performance.now() - startedAtMs) / REQUESTS) * MICROSECONDS_PER_MS);
}
console.log(
  `bare task: ${bareCosts.sort((left, right) => left - right)[ROUNDS / 2]!.toFixed(2)} us`,
);
await report('free slot', MANY_SLOTS, 60_000, false);
await report('waits in the queue', 1, 60_000, true);
await report('refused', 1, -1, false);
