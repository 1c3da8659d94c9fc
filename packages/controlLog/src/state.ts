import type { Result } from 'ts-results';

import { parseConfiguration } from '@bronzelift/configuration';
import { Err, Ok, formatProblem } from '@bronzelift/settings';

import { decodeStoredState, encodeRecord, toStoredState } from './codec.js';
import { APPLIED_FILE_NAME, INITIAL_STATE, MAX_REJECTION_PROBLEMS } from './constants.js';
import type { ControlState, StoredState } from './types.js';

type ConfigurationPart = Pick<
  ControlState,
  'configurationVersion' | 'applyId' | 'configurationText' | 'configuration'
>;

/** Parses a configuration text from the log; the error names the first mistakes. */
export const parseAppliedText = (text: string): Result<ControlState['configuration'], string> => {
  const parsed = parseConfiguration(text, APPLIED_FILE_NAME);
  if (parsed.ok) return Ok(parsed.val);
  const shown = parsed.val.slice(0, MAX_REJECTION_PROBLEMS).map(formatProblem);
  const rest = parsed.val.length - shown.length;
  return Err(shown.join('; ') + (rest > 0 ? `; and ${rest} more` : ''));
};

const restoreConfiguration = (
  own: ControlState,
  stored: StoredState,
): Result<ConfigurationPart, string> => {
  const { configurationVersion, applyId, configurationText } = stored;
  const part = { configurationVersion, applyId, configurationText };
  if (configurationVersion === 0) {
    return Ok({ ...part, configurationText: '', configuration: INITIAL_STATE.configuration });
  }
  if (configurationText === own.configurationText) {
    return Ok({ ...part, configuration: own.configuration });
  }
  const parsed = parseAppliedText(configurationText);
  return parsed.ok ? Ok({ ...part, configuration: parsed.val }) : parsed;
};

const mergeDrainsAndRoster = (own: ControlState, other: StoredState): ControlState => {
  const drainsNewer = other.drainRevision > own.drainRevision;
  const rosterNewer = other.epoch > own.epoch;
  if (!drainsNewer && !rosterNewer) return own;
  return {
    ...own,
    ...(drainsNewer && { drainRevision: other.drainRevision, takenOut: other.takenOut }),
    ...(rosterNewer && { epoch: other.epoch, members: other.members }),
  };
};

/**
 * Takes over each part of a peer's state whose counter is higher than the own one.
 *
 * The parts (configuration, targets taken out, roster) don't depend on one another, so the
 * result lowers no counter. At equal counters the own part stays. Offset and log stay too,
 * unless the own state is bound to no log.
 */
export const mergeState = (own: ControlState, peersState: ControlState): ControlState => {
  let merged = mergeDrainsAndRoster(own, peersState);
  if (peersState.configurationVersion > own.configurationVersion) {
    merged = {
      ...merged,
      configurationVersion: peersState.configurationVersion,
      applyId: peersState.applyId,
      configurationText: peersState.configurationText,
      configuration: peersState.configuration,
    };
  }
  if (own.logId === '' && peersState.logId !== '') {
    merged = { ...merged, logId: peersState.logId, nextOffset: peersState.nextOffset };
  }
  return merged;
};

/** Like `mergeState`, for a stored state; its text is parsed only when it is needed. */
export const mergeStoredState = (
  own: ControlState,
  stored: StoredState,
): Result<ControlState, string> => {
  const merged = mergeDrainsAndRoster(own, stored);
  if (stored.configurationVersion <= own.configurationVersion) return Ok(merged);
  const restored = restoreConfiguration(own, stored);
  return restored.ok ? Ok({ ...merged, ...restored.val }) : restored;
};

/** The whole stored state; the text is parsed unless `known` has the same one parsed. */
export const restoreState = (
  stored: StoredState,
  known: ControlState = INITIAL_STATE,
): Result<ControlState, string> => {
  const restored = restoreConfiguration(known, stored);
  return restored.ok ? Ok({ ...stored, ...restored.val }) : restored;
};

/** Decodes the state that a peer sent as JSON; a text that `known` has is not parsed again. */
export const decodeState = (
  json: unknown,
  known: ControlState = INITIAL_STATE,
): Result<ControlState, string> => {
  const stored = decodeStoredState(json);
  return stored.ok ? restoreState(stored.val, known) : stored;
};

/** Snapshot record of a state that is the fold of its log up to `nextOffset`. */
export const createSnapshot = (state: ControlState): string =>
  encodeRecord({
    kind: 'state-snapshot',
    asOfOffset: state.nextOffset,
    state: toStoredState(state),
  });

/**
 * Snapshot record of a state that is not the fold of the present log, for a log that lost
 * records. Readers merge it where it stands, and none starts from it.
 */
export const createUnboundSnapshot = (state: ControlState): string =>
  createSnapshot({ ...state, logId: '', nextOffset: 0 });
