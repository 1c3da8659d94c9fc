import { setImmediate as nextTurn } from 'node:timers/promises';

import { expect } from 'chai';
import fc from 'fast-check';

import { ManualClock, SeededRandom } from '@bronzelift/common';

import { AdmissionQueue } from '../src/index.js';
import type { AdmissionResult } from '../src/index.js';

const seedOption = process.env.SEED === undefined ? {} : { seed: Number(process.env.SEED) };

interface Request {
  readonly deadlineAtMs: number;
  readonly isOrder: boolean;
  readonly caller: AbortController;
  starts: number;
  answers: AdmissionResult<string>[];
  finish: ((isFailure: boolean) => void) | undefined;
}

/** A queue on a manual clock; each task ends when the test calls `finish`. */
class Harness {
  readonly clock = ManualClock.create();

  readonly requests: Request[] = [];

  readonly started: Request[] = [];

  readonly violations: string[] = [];

  usableSlots = 0;

  running = 0;

  private readonly timers = new Map<() => void, number>();

  readonly queue: AdmissionQueue;

  constructor(maxQueued = 12) {
    this.queue = AdmissionQueue.create({
      clock: this.clock,
      random: SeededRandom.create(1),
      maxQueued,
      schedule: (durationMs, callback) => {
        this.timers.set(callback, this.clock.monotonicMs() + durationMs);
        return () => this.timers.delete(callback);
      },
      onViolation: (name, detail) => this.violations.push(`${name}: ${detail}`),
    });
  }

  setSlots(count: number): void {
    this.usableSlots = count;
    this.queue.setUsableSlots(count);
  }

  async advance(durationMs: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs++) {
      this.clock.advance(1);
      for (const [callback, atMs] of [...this.timers]) {
        if (atMs <= this.clock.monotonicMs() && this.timers.delete(callback)) callback();
      }
    }
    await nextTurn();
  }

  arrive(isOrder: boolean, timeoutMs: number): Request {
    const deadlineAtMs = this.clock.monotonicMs() + timeoutMs;
    const caller = new AbortController();
    const request: Request = {
      deadlineAtMs,
      isOrder,
      caller,
      starts: 0,
      answers: [],
      finish: undefined,
    };
    this.requests.push(request);
    this.queue
      .admit({ isOrder, deadlineAtMs, signal: caller.signal }, () => this.runTask(request))
      .then((answer) => request.answers.push(answer));
    return request;
  }

  private runTask(request: Request): Promise<string> {
    const { usableSlots, running } = this;
    if (running >= usableSlots) this.violations.push(`start: ${running} of ${usableSlots} busy`);
    this.running += 1;
    request.starts += 1;
    this.started.push(request);
    return new Promise((resolve, reject) => {
      request.finish = (isFailure) => {
        request.finish = undefined;
        this.running -= 1;
        if (isFailure) reject(new Error('task failed'));
        else resolve('done');
      };
    });
  }
}

const step = fc.oneof(
  { weight: 5, arbitrary: fc.tuple(fc.constant('arrive'), fc.integer({ min: 0, max: 120 })) },
  { weight: 3, arbitrary: fc.tuple(fc.constant('order'), fc.integer({ min: 0, max: 120 })) },
  { weight: 4, arbitrary: fc.tuple(fc.constant('finish'), fc.nat(50)) },
  { weight: 2, arbitrary: fc.tuple(fc.constant('cancel'), fc.nat(50)) },
  { weight: 2, arbitrary: fc.tuple(fc.constant('slots'), fc.integer({ min: 0, max: 4 })) },
  { weight: 2, arbitrary: fc.tuple(fc.constant('advance'), fc.integer({ min: 1, max: 30 })) },
);

const apply = async (harness: Harness, [action, value]: [string, number]): Promise<void> => {
  const runningNow = harness.requests.filter(({ finish }) => finish !== undefined);
  if (action === 'arrive') harness.arrive(false, value);
  if (action === 'order') harness.arrive(true, value);
  if (action === 'finish') runningNow[value % runningNow.length]?.finish!(value % 5 === 0);
  if (action === 'cancel') harness.requests[value % harness.requests.length]?.caller.abort();
  if (action === 'slots') harness.setSlots(value);
  if (action === 'advance') await harness.advance(value);
  // A third of the steps run in the same turn of the event loop as the following step.
  if (value % 3 > 0) await nextTurn();
};

const checkAnswers = (harness: Harness): void => {
  for (const request of harness.requests) {
    expect(request.answers, 'answers per request').to.have.length(1);
    const isRun = request.answers[0]!.kind !== 'not-run';
    expect(request.starts, 'starts per request').to.equal(isRun ? 1 : 0);
  }
};

describe('AdmissionQueue', () => {
  // Also verifies that each request is answered exactly once, and that a request that has not started
  // is answered by its deadline.
  it('never exceeds the usable slots, and answers not-run only to requests that did not run', async () => {
    const property = fc.asyncProperty(
      fc.array(step, { maxLength: 80, size: 'max' }),
      async (steps) => {
        const harness = new Harness();
        harness.setSlots(2);
        for (const next of steps) {
          await apply(harness, next);
          const nowMs = harness.clock.monotonicMs();
          await nextTurn();
          for (const { answers, starts, deadlineAtMs } of harness.requests) {
            const isLate = starts === 0 && answers.length === 0 && deadlineAtMs <= nowMs;
            expect(isLate, 'waiting past the deadline').to.equal(false);
          }
        }
        for (const { finish } of harness.requests) finish?.(false);
        await harness.advance(130);
        for (const { finish } of harness.requests) finish?.(false);
        await nextTurn();
        checkAnswers(harness);
        expect(harness.violations).to.deep.equal([]);
      },
    );
    await fc.assert(property, { numRuns: 300, ...seedOption });
  });

  it('starts orders first, and one lookup after every eight orders so that lookups do not starve', async () => {
    const harness = new Harness(100);
    harness.setSlots(1);
    harness.arrive(false, 10_000);
    const lookups = [harness.arrive(false, 10_000), harness.arrive(false, 10_000)];
    for (let n = 0; n < 30; n++) harness.arrive(true, 10_000);
    for (let n = 0; n < 33; n++) {
      harness.started[n]!.finish!(false);
      await nextTurn();
    }
    expect(harness.started[1]!.isOrder).to.equal(true);
    expect(harness.started.indexOf(lookups[0]!)).to.equal(9);
    expect(harness.started.indexOf(lookups[1]!)).to.equal(18);
  });

  it('keeps the slot of a running task whose caller disconnected until the task ends', async () => {
    const harness = new Harness();
    harness.setSlots(1);
    const first = harness.arrive(false, 1000);
    const second = harness.arrive(false, 1000);
    first.caller.abort();
    await nextTurn();
    expect(second.starts).to.equal(0);
    first.finish!(false);
    await nextTurn();
    expect(second.starts).to.equal(1);
  });

  it('removes a waiting request at once when its caller disconnects', async () => {
    const harness = new Harness();
    harness.setSlots(1);
    harness.arrive(false, 1000);
    const second = harness.arrive(true, 1000);
    second.caller.abort();
    await nextTurn();
    expect(second.answers[0]).to.include({ kind: 'not-run', code: 'cancelled' });
    expect(harness.queue.stats().queuedOrders).to.equal(0);
  });

  // Guards against a lookup that waits until its deadline before the caller learns of the refusal.
  it('displaces a lookup as soon as queued orders would delay the lookup past its deadline', async () => {
    const harness = new Harness(100);
    harness.setSlots(1);
    harness.arrive(false, 1000);
    const lookup = harness.arrive(false, 60);
    for (let n = 0; n < 8; n++) harness.arrive(true, 1000);
    await nextTurn();
    expect(lookup.answers[0]).to.include({ kind: 'not-run', code: 'displaced' });
  });

  it('displaces lookups, but no orders, that cannot end in time after a loss of slots', async () => {
    const harness = new Harness(100);
    harness.setSlots(4);
    for (let n = 0; n < 4; n++) harness.arrive(false, 1000);
    const order = harness.arrive(true, 25);
    const lookups = Array.from({ length: 4 }, () => harness.arrive(false, 39));
    harness.setSlots(1);
    await nextTurn();
    const codes = lookups.map(({ answers: [answer] }) => answer?.kind === 'not-run' && answer.code);
    expect(codes).to.deep.equal([false, 'displaced', 'displaced', 'displaced']);
    expect(order.answers).to.deep.equal([]);
  });

  // Guards against starting a request that is cut off at its deadline: its outcome would be unknown.
  it('refuses a waiting request that can no longer end in time', async () => {
    const harness = new Harness();
    harness.setSlots(1);
    const first = harness.arrive(false, 1000);
    const late = harness.arrive(true, 40);
    const inTime = harness.arrive(true, 80);
    await harness.advance(35);
    first.finish!(false);
    await nextTurn();
    expect(late.answers[0]).to.include({ kind: 'not-run', code: 'deadline-exceeded' });
    expect(late.starts).to.equal(0);
    expect(inTime.starts).to.equal(1);
  });

  it('displaces a lookup for an order when the queue is full, and refuses a new lookup', async () => {
    const harness = new Harness(2);
    harness.setSlots(1);
    const [, , newest, refused] = Array.from({ length: 4 }, () => harness.arrive(false, 1000));
    const order = harness.arrive(true, 1000);
    await nextTurn();
    expect(refused!.answers[0]).to.include({ code: 'overloaded' });
    expect(newest!.answers[0]).to.include({ code: 'displaced' });
    expect(order.answers).to.deep.equal([]);
  });

  it('queues requests during a short loss of all slots, and refuses new requests after 300 ms', async () => {
    const harness = new Harness();
    harness.setSlots(2);
    harness.setSlots(0);
    const inGap = harness.arrive(false, 1000);
    await nextTurn();
    expect(inGap.answers).to.deep.equal([]);
    await harness.advance(300);
    const later = harness.arrive(false, 1000);
    await nextTurn();
    expect(later.answers[0]).to.include({ kind: 'not-run', code: 'overloaded' });
    harness.setSlots(1);
    await nextTurn();
    expect(inGap.starts).to.equal(1);
  });
});
