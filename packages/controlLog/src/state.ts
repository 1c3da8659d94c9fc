import type { Result } from 'ts-results';

import { parseConfiguration } from '@bronzelift/configuration';
import { Err, Ok, formatProblem } from '@bronzelift/settings';

import { decodeStoredState, encodeRecord, toStoredState } from './codec.js';
import { CONFIGURATION_SOURCE_NAME, INITIAL_STATE, MAX_REJECTION_PROBLEMS } from './constants.js';
import type { ControlState, StoredState } from './types.js';

type ConfigurationPart = Pick<
  ControlState,
  'configurationVersion' | 'applyId' | 'configurationText' | 'configuration'
>;

/** Parses a configuration text from the log; the error lists the first problems. */
export const parseAppliedText = (text: string): Result<ControlState['configuration'], string> => {
  const parsed = parseConfiguration(text, CONFIGURATION_SOURCE_NAME);
  if (parsed.ok) return Ok(parsed.val);
  const shownProblems = parsed.val.slice(0, MAX_REJECTION_PROBLEMS).map(formatProblem);
  const omittedCount = parsed.val.length - shownProblems.length;
  return Err(shownProblems.join('; ') + (omittedCount > 0 ? `; and ${omittedCount} more` : ''));
};

const restoreConfiguration = (
  local: ControlState,
  stored: StoredState,
): Result<ConfigurationPart, string> => {
  const { configurationVersion, applyId, configurationText } = stored;
  const part = { configurationVersion, applyId, configurationText };
  if (configurationVersion === 0) {
    return Ok({ ...part, configurationText: '', configuration: INITIAL_STATE.configuration });
  }
  if (configurationText === local.configurationText) {
    return Ok({ ...part, configuration: local.configuration });
  }
  const parsed = parseAppliedText(configurationText);
  return parsed.ok ? Ok({ ...part, configuration: parsed.val }) : parsed;
};

const mergeDrainsAndRoster = (local: ControlState, other: StoredState): ControlState => {
  const areDrainsNewer = other.drainRevision > local.drainRevision;
  const isRosterNewer = other.epoch > local.epoch;
  if (!areDrainsNewer && !isRosterNewer) return local;
  return {
    ...local,
    ...(areDrainsNewer && { drainRevision: other.drainRevision, takenOut: other.takenOut }),
    ...(isRosterNewer && { epoch: other.epoch, members: other.members }),
  };
};

/**
 * Replaces each part of the local state for which the peer's state has a higher counter.
 *
 * The parts (configuration, targets taken out, roster) don't depend on one another, so no
 * counter of the result is lower than in the local state. At equal counters the local part is
 * kept. Offset and log id are kept too, unless the local state is bound to no log.
 */
export const mergeState = (local: ControlState, peerState: ControlState): ControlState => {
  let merged = mergeDrainsAndRoster(local, peerState);
  if (peerState.configurationVersion > local.configurationVersion) {
    merged = {
      ...merged,
      configurationVersion: peerState.configurationVersion,
      applyId: peerState.applyId,
      configurationText: peerState.configurationText,
      configuration: peerState.configuration,
    };
  }
  if (local.logId === '' && peerState.logId !== '') {
    merged = { ...merged, logId: peerState.logId, nextOffset: peerState.nextOffset };
  }
  return merged;
};

/**
 * Like `mergeState`, for a stored state; parses the configuration text only if the stored
 * configuration is newer.
 */
export const mergeStoredState = (
  local: ControlState,
  stored: StoredState,
): Result<ControlState, string> => {
  const merged = mergeDrainsAndRoster(local, stored);
  if (stored.configurationVersion <= local.configurationVersion) return Ok(merged);
  const restored = restoreConfiguration(local, stored);
  return restored.ok ? Ok({ ...merged, ...restored.val }) : restored;
};

/**
 * Converts a stored state; reuses the parsed configuration of `parsedState` if the configuration
 * text is the same.
 */
export const restoreState = (
  stored: StoredState,
  parsedState: ControlState = INITIAL_STATE,
): Result<ControlState, string> => {
  const restored = restoreConfiguration(parsedState, stored);
  return restored.ok ? Ok({ ...stored, ...restored.val }) : restored;
};

/**
 * Decodes a state that a peer sent as JSON; reuses the parsed configuration of `parsedState` if
 * the configuration text is the same.
 */
export const decodeState = (
  json: unknown,
  parsedState: ControlState = INITIAL_STATE,
): Result<ControlState, string> => {
  const stored = decodeStoredState(json);
  return stored.ok ? restoreState(stored.val, parsedState) : stored;
};

/** Encodes a snapshot record of a state that is the fold of its log up to `nextOffset`. */
export const createSnapshot = (state: ControlState): string =>
  encodeRecord({
    kind: 'state-snapshot',
    asOfOffset: state.nextOffset,
    state: toStoredState(state),
  });

/**
 * Encodes a snapshot record of a state that is not the fold of the current log, because that
 * log lost records. Readers merge it at its offset, and no reader starts from it.
 */
export const createUnboundSnapshot = (state: ControlState): string =>
  createSnapshot({ ...state, logId: '', nextOffset: 0 });
