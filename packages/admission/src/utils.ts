import type { RandomSource } from '@bronzelift/common';

import {
  MAX_RETRY_AFTER_MS,
  MIN_RETRY_AFTER_MS,
  ORDERS_PER_LOOKUP,
  RETRY_AFTER_WITHOUT_SLOTS_MS,
} from './constants.js';
import type { ScheduleTimer } from './types.js';

/** Schedules a callback with setTimeout; does not keep the process running. */
export const scheduleTimeout: ScheduleTimer = (durationMs, callback) => {
  const timer = setTimeout(callback, durationMs);
  timer.unref();
  return () => clearTimeout(timer);
};

/** Updates an exponentially weighted mean with a sample. */
export const updateMean = (mean: number, sample: number, weight: number): number =>
  mean + weight * (sample - mean);

/** Number of requests that start before a new order: the queued orders and some lookups. */
export const countAheadOfOrder = (queuedOrders: number, queuedLookups: number): number =>
  queuedOrders + Math.min(queuedLookups, Math.ceil(queuedOrders / ORDERS_PER_LOOKUP));

/**
 * Number of requests that start before a new lookup: the queued lookups and orders, and the orders
 * expected to arrive and overtake it, estimated from the share of orders in recent starts.
 */
export const countAheadOfLookup = (
  queuedOrders: number,
  queuedLookups: number,
  orderShare: number,
): number => {
  const minLookupShare = 1 / (ORDERS_PER_LOOKUP + 1);
  const lookupShare = Math.max(1 - orderShare, minLookupShare);
  const maxCount = (queuedLookups + 1) / minLookupShare - 1;
  return Math.min(queuedOrders + (queuedLookups + 1) / lookupShare - 1, maxCount);
};

/** Predicts the wait of a request that starts after `ahead` others; Infinity without slots. */
export const predictWaitMs = (ahead: number, meanServiceTimeMs: number, slots: number): number =>
  slots === 0 ? Infinity : ((ahead + 1) * meanServiceTimeMs) / slots;

/**
 * Calculates a Retry-After at random between the predicted wait and that wait plus a spread. The
 * spread is the predicted wait or, if longer, the time that all recently refused requests need, so
 * that their callers do not retry together.
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
