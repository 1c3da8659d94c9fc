import type { ControlState, ViolationHandler } from './types.js';
import { findHigherCounters } from './utils.js';

const describe = (state: ControlState): string =>
  `version ${state.configurationVersion} (apply ${state.applyId}), epoch ${state.epoch}, ` +
  `drain revision ${state.drainRevision}, offset ${state.nextOffset} of log "${state.logId}"`;

/**
 * Runtime assertion of `configuration-order`. Keeps the current state when a counter would
 * fall. A version that changes its content is reported too, but taken over: it means that
 * the log lost an accepted apply and gave its version to another.
 */
export const advanceState = (
  current: ControlState,
  next: ControlState,
  onViolation: ViolationHandler,
): ControlState => {
  const change = `${describe(current)} to ${describe(next)}`;
  const lowered = findHigherCounters(current, next);
  if (lowered.length > 0) {
    onViolation('configuration-order', `${lowered.join(', ')} would fall: ${change}`);
    return current;
  }
  const sameVersion = current.configurationVersion === next.configurationVersion;
  if (sameVersion && current.applyId !== next.applyId) {
    onViolation('configuration-order', `another configuration at one version: ${change}`);
  }
  return next;
};
