import { SLOT_GAP_MS } from './constants.js';
import type { AdmissionDecision, AdmissionRequest, AdmissionView } from './types.js';
import { countAheadOfLookup, countAheadOfOrder, predictWaitMs } from './utils.js';

const selectSlots = (view: AdmissionView): number => {
  if (view.usableSlots > 0) return view.usableSlots;
  return view.withoutSlotsForMs < SLOT_GAP_MS ? view.lastUsableSlots : 0;
};

/** Wait predicted for a request that arrives now, in milliseconds; Infinity without slots. */
export const predictWait = (view: AdmissionView, isOrder: boolean): number => {
  const { queuedOrders, queuedLookups, orderShare } = view;
  const ahead = isOrder
    ? countAheadOfOrder(queuedOrders, queuedLookups)
    : countAheadOfLookup(queuedOrders, queuedLookups, orderShare);
  return predictWaitMs(ahead, view.meanServiceTimeMs, selectSlots(view));
};

/** Whether the lookup that joined last can no longer end before its deadline. */
export const isLookupHopeless = (view: AdmissionView, deadlineAtMs: number): boolean => {
  const ahead = countAheadOfLookup(view.queuedOrders, view.queuedLookups - 1, view.orderShare);
  const waitMs = predictWaitMs(ahead, view.meanServiceTimeMs, selectSlots(view));
  return view.nowMs + waitMs + view.meanServiceTimeMs > deadlineAtMs;
};

/** Decides whether a request starts, waits or is refused; it must be able to end in time. */
export const decideAdmission = (
  view: AdmissionView,
  request: Pick<AdmissionRequest, 'isOrder' | 'deadlineAtMs' | 'isImmediate'>,
): AdmissionDecision => {
  const remainingMs = request.deadlineAtMs - view.nowMs;
  if (remainingMs <= 0) return { kind: 'refuse', code: 'deadline-exceeded', predictedWaitMs: 0 };
  const queued = view.queuedOrders + view.queuedLookups;
  // With a free slot the mean is no reason to refuse: this request may be a quick one.
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
