import type { RandomSource } from '@bronzelift/common';
import type { LoadReport } from '@bronzelift/routing';

import type { ServiceShape } from './types.js';

/** A request at an instance; `leftMs` is its remaining work at slowdown 1. */
interface Job {
  leftMs: number;
  readonly onEnd: (isDone: boolean) => void;
}

/** Emulates an instance with slots and a queue on a host that is slow at random times. */
export class EmulatedInstance {
  private running: Job[] = [];

  private readonly waiting: Job[] = [];

  private slowdown = 1;

  private slowdownUntilMs = 0;

  private isOutNow = false;

  private constructor(
    readonly index: number,
    private readonly shape: ServiceShape,
    private readonly random: RandomSource,
  ) {}

  static create(index: number, shape: ServiceShape, random: RandomSource): EmulatedInstance {
    return new EmulatedInstance(index, shape, random);
  }

  /** Whether the instance is out of service and does not respond. */
  get isOut(): boolean {
    return this.isOutNow;
  }

  /** Load that the instance would report now. */
  reportLoad(atMs: number): LoadReport {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots: this.shape.slots,
      slowdown: this.shape.reportsSlowdown ? this.slowdown : 1,
      atMs,
    };
  }

  /** Actual slowdown and load, even if the instance does not report them. */
  get actual(): { readonly slowdown: number; readonly requestCount: number } {
    return { slowdown: this.slowdown, requestCount: this.running.length + this.waiting.length };
  }

  /** Starts or queues a request; false if slots and queue are full. */
  accept(workMs: number, onEnd: (isDone: boolean) => void): boolean {
    const job = { leftMs: workMs, onEnd };
    if (this.running.length < this.shape.slots) this.running.push(job);
    else if (this.waiting.length < this.shape.queue) this.waiting.push(job);
    else return false;
    return true;
  }

  /** Advances the emulated time; an instance that goes out of service drops its requests. */
  advance(nowMs: number, stepMs: number, isOut: boolean): void {
    if (isOut && !this.isOutNow) this.dropRequests();
    this.isOutNow = isOut;
    if (nowMs >= this.slowdownUntilMs) this.drawSlowdown(nowMs);
    const { slots, highUtilizationShare, highUtilizationFactor } = this.shape;
    const isHighlyUtilized = this.running.length > slots * highUtilizationShare;
    const doneMs = stepMs / (this.slowdown * (isHighlyUtilized ? highUtilizationFactor : 1));
    for (const job of this.running) job.leftMs -= doneMs;
    const ended = this.running.filter(({ leftMs }) => leftMs <= 0);
    if (ended.length === 0) return;
    this.running = this.running.filter(({ leftMs }) => leftMs > 0);
    this.running.push(...this.waiting.splice(0, slots - this.running.length));
    for (const job of ended) job.onEnd(true);
  }

  private drawSlowdown(nowMs: number): void {
    const { slowShare, slowFactor, meanSlowdownDurationMs } = this.shape;
    this.slowdown = this.random.next() < slowShare ? slowFactor : 1;
    this.slowdownUntilMs = nowMs - meanSlowdownDurationMs * Math.log(1 - this.random.next());
  }

  private dropRequests(): void {
    const lost = [...this.running, ...this.waiting.splice(0)];
    this.running = [];
    for (const job of lost) job.onEnd(false);
  }
}
