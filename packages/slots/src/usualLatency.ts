import {
  BASELINE_SLOW_GROWTH,
  BASELINE_WEIGHT,
  MIN_SLOW_MS,
  SLOW_FACTOR,
  SLOW_RESPONSES,
} from './constants.js';
import type { Pace } from './types.js';

/** Usual latency of an instance, learnt from the responses that it gives while fully warm. */
export class UsualLatency {
  private usualMs: number | undefined;

  private constructor(private slowCount: number) {}

  /** Creates a latency that is not known yet; nothing is slow until it is. */
  static create(): UsualLatency {
    return new UsualLatency(0);
  }

  /** Usual latency in milliseconds; undefined while unknown. */
  get valueMs(): number | undefined {
    return this.usualMs;
  }

  /** Takes the latency of a response; `isWarm` when it may be learnt from. */
  observe(latencyMs: number, isWarm: boolean): Pace {
    if (this.isSlow(latencyMs)) {
      this.usualMs! *= 1 + BASELINE_SLOW_GROWTH;
      this.slowCount += 1;
      return this.slowCount >= SLOW_RESPONSES ? 'slow-series' : 'slow';
    }
    this.slowCount = 0;
    if (isWarm) this.learn(latencyMs);
    return 'normal';
  }

  private isSlow(latencyMs: number): boolean {
    if (this.usualMs === undefined) return false;
    return latencyMs >= MIN_SLOW_MS && latencyMs > this.usualMs * SLOW_FACTOR;
  }

  private learn(latencyMs: number): void {
    this.usualMs ??= latencyMs;
    this.usualMs += (latencyMs - this.usualMs) * BASELINE_WEIGHT;
  }
}
