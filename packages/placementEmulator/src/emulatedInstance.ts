import type { RandomSource } from '@bronzelift/common';
import type { LoadReport } from '@bronzelift/routing';

import type { ServiceShape } from './types.js';

/** Work at an instance; `leftMs` is what is left of it at usual pace. */
interface Job {
  leftMs: number;
  readonly onEnd: (isDone: boolean) => void;
}

/** An instance with slots, a queue, and a host that is slow at times. */
export class EmulatedInstance {
  private running: Job[] = [];

  private readonly waiting: Job[] = [];

  private slowdown = 1;

  private paceUntilMs = 0;

  private isOutNow = false;

  private constructor(
    readonly index: number,
    private readonly shape: ServiceShape,
    private readonly random: RandomSource,
  ) {}

  /** Creates an idle instance. */
  static create(index: number, shape: ServiceShape, random: RandomSource): EmulatedInstance {
    return new EmulatedInstance(index, shape, random);
  }

  /** Whether the instance answers nothing. */
  get isOut(): boolean {
    return this.isOutNow;
  }

  /** Load as the instance would state it now. */
  stateLoad(atMs: number): LoadReport {
    return {
      running: this.running.length,
      waiting: this.waiting.length,
      slots: this.shape.slots,
      slowdown: this.shape.statesPace ? this.slowdown : 1,
      atMs,
    };
  }

  /** Pace and load as they are, also where the instance states none. */
  get actual(): { readonly slowdown: number; readonly busy: number } {
    return { slowdown: this.slowdown, busy: this.running.length + this.waiting.length };
  }

  /** Takes work in; false when slots and queue are full. */
  accept(workMs: number, onEnd: (isDone: boolean) => void): boolean {
    const job = { leftMs: workMs, onEnd };
    if (this.running.length < this.shape.slots) this.running.push(job);
    else if (this.waiting.length < this.shape.queue) this.waiting.push(job);
    else return false;
    return true;
  }

  /** Lets time pass; an instance that goes out loses its work. */
  advance(nowMs: number, stepMs: number, isOut: boolean): void {
    if (isOut && !this.isOutNow) this.loseWork();
    this.isOutNow = isOut;
    if (nowMs >= this.paceUntilMs) this.changePace(nowMs);
    const { slots, crowdedShare, crowdedFactor } = this.shape;
    const isCrowded = this.running.length > slots * crowdedShare;
    const doneMs = stepMs / (this.slowdown * (isCrowded ? crowdedFactor : 1));
    for (const job of this.running) job.leftMs -= doneMs;
    const ended = this.running.filter(({ leftMs }) => leftMs <= 0);
    if (ended.length === 0) return;
    this.running = this.running.filter(({ leftMs }) => leftMs > 0);
    this.running.push(...this.waiting.splice(0, slots - this.running.length));
    for (const job of ended) job.onEnd(true);
  }

  private changePace(nowMs: number): void {
    const { slowShare, slowFactor, paceMs } = this.shape;
    this.slowdown = this.random.next() < slowShare ? slowFactor : 1;
    this.paceUntilMs = nowMs - paceMs * Math.log(1 - this.random.next());
  }

  private loseWork(): void {
    const lost = [...this.running, ...this.waiting.splice(0)];
    this.running = [];
    for (const job of lost) job.onEnd(false);
  }
}
