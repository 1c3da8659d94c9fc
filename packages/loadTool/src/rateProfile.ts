import { FLOOD_FACTOR, FLOOD_RAMP_MS } from './constants.js';
import type { RateStep } from './types.js';

/** Returns the rate factor at a time; 1 before the first step. Steps are sorted by time. */
export const getFactorAt = (profile: readonly RateStep[], atMs: number): number => {
  let factor = 1;
  for (const step of profile) {
    if (step.atMs > atMs) break;
    const rampMs = step.rampMs ?? 0;
    const progress = rampMs === 0 ? 1 : Math.min(1, (atMs - step.atMs) / rampMs);
    factor += (step.factor - factor) * progress;
  }
  return factor;
};

/** Returns the largest factor that a profile reaches; at least 1. */
export const findMaxFactor = (profile: readonly RateStep[]): number =>
  Math.max(1, ...profile.map(({ factor }) => factor));

/**
 * Creates the profile of a flood that starts at `atMs` and begins to fall after `durationMs`, or
 * lasts until the end of the run if `durationMs` is undefined.
 */
export const createFloodProfile = (
  atMs: number,
  durationMs?: number,
  factor = FLOOD_FACTOR,
): RateStep[] => {
  const start = { atMs, factor, rampMs: FLOOD_RAMP_MS };
  if (durationMs === undefined) return [start];
  return [start, { atMs: atMs + durationMs, factor: 1, rampMs: FLOOD_RAMP_MS }];
};
