import { assertNever } from '@bronzelift/common';

import { decodeRecord } from './codec.js';
import { mergeStoredState, parseAppliedText } from './state.js';
import type { ControlState, FoldResult, LogRecord, RosterMember } from './types.js';
import { findMember, isTakenOut } from './utils.js';

type RecordOf<Kind extends LogRecord['kind']> = Extract<LogRecord, { kind: Kind }>;

const ignore = (state: ControlState, reason: string): FoldResult => ({
  kind: 'ignored',
  state,
  reason,
});

const apply = (state: ControlState): FoldResult => ({ kind: 'applied', state });

const foldConfiguration = (
  state: ControlState,
  record: RecordOf<'configuration-applied'>,
): FoldResult => {
  const version = state.configurationVersion;
  if (record.basedOnVersion !== version) return { kind: 'lost-race', state, version };
  const parsed = parseAppliedText(record.text);
  if (parsed.err) return { kind: 'rejected', state, reason: parsed.val };
  const next = {
    ...state,
    configurationVersion: version + 1,
    applyId: record.applyId,
    configurationText: record.text,
    configuration: parsed.val,
    // The instances, like the roster, decide which VM holds a slot, so moved slots need a new
    // settlement.
    epoch: state.epoch + 1,
  };
  return { kind: 'accepted', state: next, version: version + 1 };
};

const foldDrain = (
  state: ControlState,
  record: RecordOf<'target-taken-out' | 'target-brought-back'>,
): FoldResult => {
  const { target } = record;
  const isTakeOut = record.kind === 'target-taken-out';
  if (isTakenOut(state, target) === isTakeOut) {
    return ignore(state, `${target} is already ${isTakeOut ? 'out of' : 'in'} service`);
  }
  const takenOut = isTakeOut
    ? [...state.takenOut, target].sort()
    : state.takenOut.filter((other) => other !== target);
  return apply({ ...state, takenOut, drainRevision: state.drainRevision + 1 });
};

const replaceMembers = (state: ControlState, members: readonly RosterMember[]): FoldResult =>
  apply({ ...state, members, epoch: state.epoch + 1 });

const compareVmIds = (left: RosterMember, right: RosterMember): number =>
  left.vmId < right.vmId ? -1 : 1;

const foldJoin = (state: ControlState, record: RecordOf<'member-joined'>): FoldResult => {
  const { kind, ...member } = record;
  const currentMember = findMember(state, member.vmId);
  if (currentMember?.incarnation === member.incarnation)
    return ignore(state, 'this incarnation is already a member');
  const others = state.members.filter((other) => other.vmId !== member.vmId);
  return replaceMembers(state, [...others, member].sort(compareVmIds));
};

const foldDeparture = (
  state: ControlState,
  record: RecordOf<'member-left' | 'member-evicted'>,
): FoldResult => {
  const currentMember = findMember(state, record.vmId);
  if (currentMember?.incarnation !== record.incarnation)
    return ignore(state, 'this incarnation is not a member');
  return replaceMembers(
    state,
    state.members.filter((member) => member !== currentMember),
  );
};

const foldSnapshot = (state: ControlState, record: RecordOf<'state-snapshot'>): FoldResult => {
  const merged = mergeStoredState(state, record.state);
  if (merged.err) return { kind: 'malformed', state, reason: merged.val };
  return merged.val === state
    ? ignore(state, 'snapshot contains nothing newer')
    : apply(merged.val);
};

const foldDecoded = (state: ControlState, record: LogRecord): FoldResult => {
  switch (record.kind) {
    case 'configuration-applied':
      return foldConfiguration(state, record);
    case 'target-taken-out':
    case 'target-brought-back':
      return foldDrain(state, record);
    case 'member-joined':
      return foldJoin(state, record);
    case 'member-left':
    case 'member-evicted':
      return foldDeparture(state, record);
    case 'state-snapshot':
      return foldSnapshot(state, record);
    default:
      return assertNever(record);
  }
};

/**
 * Applies one record to a state and reports its effect.
 *
 * Depends only on its arguments and never throws, so that every reader of a log reaches
 * the same decision. A record that was already folded changes nothing.
 */
export const foldRecord = (state: ControlState, offset: number, payload: unknown): FoldResult => {
  if (offset < state.nextOffset) return ignore(state, 'the record was already folded');
  const next = { ...state, nextOffset: offset + 1 };
  const decoded = decodeRecord(payload);
  if (decoded.err) return { kind: 'malformed', state: next, reason: decoded.val };
  return foldDecoded(next, decoded.val);
};
