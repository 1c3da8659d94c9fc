import type { ControlState, ViolationHandler } from './types.js';
import { findHigherCounters } from './utils.js';

const describeState = (state: ControlState): string =>
  `version ${state.configurationVersion} (apply ${state.applyId}), epoch ${state.epoch}, ` +
  `drain revision ${state.drainRevision}, offset ${state.nextOffset} of log "${state.logId}"`;

/**
 * Returns the state to use next and asserts the invariant `configuration-order`.
 *
 * Keeps the current state when a counter would decrease. When the configuration changes
 * without a new version, reports a violation but returns the new state: the log lost an
 * accepted apply and gave its version to another apply.
 */
export const advanceState = (
  current: ControlState,
  next: ControlState,
  onViolation: ViolationHandler,
): ControlState => {
  const change = `${describeState(current)} to ${describeState(next)}`;
  const lowered = findHigherCounters(current, next);
  if (lowered.length > 0) {
    onViolation('configuration-order', `${lowered.join(', ')} would decrease: ${change}`);
    return current;
  }
  const sameVersion = current.configurationVersion === next.configurationVersion;
  if (sameVersion && current.applyId !== next.applyId) {
    onViolation('configuration-order', `two configurations have the same version: ${change}`);
  }
  return next;
};
