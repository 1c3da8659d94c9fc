import {
  USUAL_LATENCY_GROWTH,
  USUAL_LATENCY_WEIGHT,
  MIN_SLOW_MS,
  SLOW_FACTOR,
  MIN_CONSECUTIVE_SLOW,
} from './constants.js';
import type { LatencyClass } from './types.js';

/** Learns the usual latency of an instance from its responses while it is fully warm. */
export class UsualLatency {
  private usualMs: number | undefined;

  private constructor(private slowCount: number) {}

  /** The usual latency is unknown at first; no response counts as slow until it is known. */
  static create(): UsualLatency {
    return new UsualLatency(0);
  }

  /** Usual latency in milliseconds; undefined while unknown. */
  get valueMs(): number | undefined {
    return this.usualMs;
  }

  /** Records a latency and compares it; only responses with `isWarm` change the usual latency. */
  recordLatency(latencyMs: number, isWarm: boolean): LatencyClass {
    if (this.isSlow(latencyMs)) {
      this.usualMs! *= 1 + USUAL_LATENCY_GROWTH;
      this.slowCount += 1;
      return this.slowCount >= MIN_CONSECUTIVE_SLOW ? 'slow-series' : 'slow';
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
    this.usualMs += (latencyMs - this.usualMs) * USUAL_LATENCY_WEIGHT;
  }
}
