import type { RandomSource } from '@bronzelift/common';

import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  ORDERS_PER_LOOKUP,
  RETRY_AFTER_WITHOUT_SLOTS_MS,
} from './constants.js';
import type { ScheduleTimer } from './types.js';

/** Timer of the process. */
export const scheduleTimeout: ScheduleTimer = (durationMs, callback) => {
  const timer = setTimeout(callback, durationMs);
  timer.unref();
  return () => clearTimeout(timer);
};

/** Exponentially weighted mean with one more sample. */
export const updateMean = (mean: number, sample: number, weight: number): number =>
  mean + weight * (sample - mean);

/** Starts before an order that joins behind `queuedOrders`: these and the lookups' share. */
export const countAheadOfOrder = (queuedOrders: number, queuedLookups: number): number =>
  queuedOrders + Math.min(queuedLookups, Math.ceil(queuedOrders / ORDERS_PER_LOOKUP));

/**
 * Starts before a lookup that joins behind `queuedLookups`: these, the queued orders, and the orders
 * that are going to arrive and overtake it, as many as their share of the recent starts.
 */
export const countAheadOfLookup = (
  queuedOrders: number,
  queuedLookups: number,
  orderShare: number,
): number => {
  const leastShare = 1 / (ORDERS_PER_LOOKUP + 1);
  const lookupShare = Math.max(1 - orderShare, leastShare);
  const atMost = (queuedLookups + 1) / leastShare - 1;
  return Math.min(queuedOrders + (queuedLookups + 1) / lookupShare - 1, atMost);
};

/** Wait until a slot is free for a request with `ahead` starts before it; Infinity without slots. */
export const predictWaitMs = (ahead: number, meanServiceTimeMs: number, slots: number): number =>
  slots === 0 ? Infinity : ((ahead + 1) * meanServiceTimeMs) / slots;

/**
 * Time after which a refused caller may come back. The base is the predicted wait; the spread is
 * the larger of it and the time that all recently refused requests need, so that they do not
 * return together.
 */
export const calculateRetryAfterMs = (
  predictedWaitMs: number,
  refusedWorkMs: number,
  random: RandomSource,
): number => {
  const baseMs = Number.isFinite(predictedWaitMs) ? predictedWaitMs : RETRY_AFTER_WITHOUT_SLOTS_MS;
  const boundedMs = Math.min(Math.max(baseMs, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS / 2);
  const spreadMs = Math.min(Math.max(boundedMs, refusedWorkMs), MAX_RETRY_AFTER_MS - boundedMs);
  return Math.ceil(boundedMs + random.next() * spreadMs);
};
