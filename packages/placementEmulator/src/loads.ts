import type { Load, ServiceShape } from './types.js';

const MS_PER_S = 1_000;

/** Requests per second that all instances can handle at their mean slowdown and low utilization. */
export const calculateCapacityPerS = (shape: ServiceShape): number => {
  const meanSlowdown = 1 + shape.slowShare * (shape.slowFactor - 1);
  return (shape.instances * shape.slots * MS_PER_S) / (shape.workMs * meanSlowdown);
};

const isNever = (): boolean => false;

const isBetween = (atMs: number, fromMs: number, toMs: number): boolean =>
  atMs >= fromMs && atMs < toMs;

/** Loads that an experiment can run. */
export const LOADS: readonly Load[] = [
  {
    name: 'calm',
    description: '35% of the capacity',
    durationMs: 20_000,
    ratePerS: (_atMs, shape) => calculateCapacityPerS(shape) * 0.35,
    isOut: isNever,
  },
  {
    name: 'flood',
    description: '40% of the capacity, but 130% for five seconds',
    durationMs: 20_000,
    ratePerS: (atMs, shape) =>
      calculateCapacityPerS(shape) * (isBetween(atMs, 6_000, 11_000) ? 1.3 : 0.4),
    isOut: isNever,
  },
  {
    name: 'domain-out',
    description: '60% of the capacity; a quarter of the instances do not respond for five seconds',
    durationMs: 20_000,
    ratePerS: (_atMs, shape) => calculateCapacityPerS(shape) * 0.6,
    isOut: (instance, atMs, shape) =>
      instance < shape.instances / 4 && isBetween(atMs, 6_000, 11_000),
  },
  {
    name: 'pace-unstated',
    description: '35% of the capacity; instances report their load without their slowdown',
    durationMs: 20_000,
    ratePerS: (_atMs, shape) => calculateCapacityPerS(shape) * 0.35,
    isOut: isNever,
    changeShape: (shape) => ({ ...shape, reportsSlowdown: false }),
  },
];
