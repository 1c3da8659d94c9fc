import { NO_SLOTS_GRACE_MS } from './constants.js';
import type { AdmissionDecision, AdmissionRequest, AdmissionView } from './types.js';
import { countAheadOfLookup, countAheadOfOrder, predictWaitMs } from './utils.js';

const getEffectiveSlots = (view: AdmissionView): number => {
  if (view.usableSlots > 0) return view.usableSlots;
  return view.withoutSlotsForMs < NO_SLOTS_GRACE_MS ? view.lastUsableSlots : 0;
};

/** Predicts the wait of a request that arrives now, in milliseconds; Infinity without slots. */
export const predictWait = (view: AdmissionView, isOrder: boolean): number => {
  const { queuedOrders, queuedLookups, orderShare } = view;
  const ahead = isOrder
    ? countAheadOfOrder(queuedOrders, queuedLookups)
    : countAheadOfLookup(queuedOrders, queuedLookups, orderShare);
  return predictWaitMs(ahead, view.meanServiceTimeMs, getEffectiveSlots(view));
};

/** Whether the newest waiting lookup can no longer end before its deadline. */
export const isLookupTooLate = (view: AdmissionView, deadlineAtMs: number): boolean => {
  const ahead = countAheadOfLookup(view.queuedOrders, view.queuedLookups - 1, view.orderShare);
  const waitMs = predictWaitMs(ahead, view.meanServiceTimeMs, getEffectiveSlots(view));
  return view.nowMs + waitMs + view.meanServiceTimeMs > deadlineAtMs;
};

/** Decides whether a request starts, waits or is refused; it waits only if it can end in time. */
export const decideAdmission = (
  view: AdmissionView,
  request: Pick<AdmissionRequest, 'isOrder' | 'deadlineAtMs' | 'isImmediate'>,
): AdmissionDecision => {
  const remainingMs = request.deadlineAtMs - view.nowMs;
  if (remainingMs <= 0) return { kind: 'refuse', code: 'deadline-exceeded', predictedWaitMs: 0 };
  const queued = view.queuedOrders + view.queuedLookups;
  // With a free slot, a request is not refused for a long mean service time: it may be a short one.
  if (queued === 0 && view.running < view.usableSlots) return { kind: 'start' };
  const predictedWaitMs = predictWait(view, request.isOrder);
  const isInTime = predictedWaitMs + view.meanServiceTimeMs <= remainingMs;
  if (request.isImmediate) return { kind: 'refuse', code: 'no-free-slot', predictedWaitMs };
  if (!isInTime) {
    return { kind: 'refuse', code: 'overloaded', predictedWaitMs };
  }
  if (queued < view.maxQueued) return { kind: 'wait', predictedWaitMs };
  if (request.isOrder && view.queuedLookups > 0)
    return { kind: 'displace-lookup', predictedWaitMs };
  return { kind: 'refuse', code: 'overloaded', predictedWaitMs };
};
