import { isIPv4 } from 'node:net';

import type { Result } from 'ts-results';
import { z } from 'zod';

import { describeError } from '@bronzelift/common';
import { ENTRY_VM_ID_PATTERN, Err, ID_PATTERN, MAX_ID_LENGTH, Ok } from '@bronzelift/settings';

import { MAX_COUNTER } from './constants.js';
import { EVICTION_REASONS } from './types.js';
import type { ControlState, LogRecord, RosterMember, StoredState, Target } from './types.js';
import { isSortedBy } from './utils.js';

const MAX_APPLY_ID_LENGTH = 100;
const MAX_INCARNATION_LENGTH = 40;
const MAX_PORT = 65_535;
const TARGET_PATTERN = /^(?:domain|vm):[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/;

const counter = z.number().int().min(0).max(MAX_COUNTER);
const id = z.string().max(MAX_ID_LENGTH).regex(ID_PATTERN);
const entryVmId = z.string().max(MAX_ID_LENGTH).regex(ENTRY_VM_ID_PATTERN);
const incarnation = z.string().max(MAX_INCARNATION_LENGTH).regex(ENTRY_VM_ID_PATTERN);
const endpoint = z.object({
  host: z.string().refine(isIPv4, 'expected a numeric IPv4 address'),
  port: z.number().int().min(1).max(MAX_PORT),
});
const target = z.custom<Target>(
  (value) => typeof value === 'string' && TARGET_PATTERN.test(value),
  'expected domain:<id> or vm:<id>',
);

const memberSchema: z.ZodType<RosterMember> = z.object({
  vmId: entryVmId,
  incarnation,
  failureDomainId: id,
  callerEndpoint: endpoint,
  peerEndpoint: endpoint,
});

const storedStateSchema = z.object({
  configurationVersion: counter,
  applyId: z.string().max(MAX_APPLY_ID_LENGTH),
  configurationText: z.string(),
  drainRevision: counter,
  takenOut: z
    .array(target)
    .refine(
      (targets) => isSortedBy(targets, String),
      'expected targets that are sorted and unique',
    ),
  epoch: counter,
  members: z
    .array(memberSchema)
    .refine(
      (members) => isSortedBy(members, (member) => member.vmId),
      'expected members sorted by unique vmId',
    ),
  nextOffset: counter,
  logId: z.string(),
});

const recordSchema: z.ZodType<LogRecord> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('configuration-applied'),
    applyId: z.string().min(1).max(MAX_APPLY_ID_LENGTH),
    basedOnVersion: counter,
    text: z.string(),
  }),
  z.object({ kind: z.literal('target-taken-out'), target }),
  z.object({ kind: z.literal('target-brought-back'), target }),
  z.object({
    kind: z.literal('member-joined'),
    vmId: entryVmId,
    incarnation,
    failureDomainId: id,
    callerEndpoint: endpoint,
    peerEndpoint: endpoint,
  }),
  z.object({ kind: z.literal('member-left'), vmId: entryVmId, incarnation }),
  z.object({
    kind: z.literal('member-evicted'),
    vmId: entryVmId,
    incarnation,
    reason: z.enum(EVICTION_REASONS),
  }),
  z.object({ kind: z.literal('state-snapshot'), asOfOffset: counter, state: storedStateSchema }),
]);

const describeIssue = (error: z.ZodError): string => {
  const issue = error.issues[0]!;
  return `${issue.path.join('.') || 'record'}: ${issue.message}`;
};

const parseJson = (payload: unknown): unknown => {
  if (typeof payload === 'string') return JSON.parse(payload);
  if (payload instanceof Uint8Array) return JSON.parse(Buffer.from(payload).toString('utf8'));
  return payload;
};

const decode = <T>(schema: z.ZodType<T>, payload: unknown): Result<T, string> => {
  try {
    const parsed = schema.safeParse(parseJson(payload));
    return parsed.success ? Ok(parsed.data) : Err(describeIssue(parsed.error));
  } catch (error) {
    return Err(describeError(error));
  }
};

/** Decodes a record and drops unknown fields; the error names the first invalid field. */
export const decodeRecord = (payload: unknown): Result<LogRecord, string> =>
  decode(recordSchema, payload);

/** Encodes a record as the JSON payload of an append. */
export const encodeRecord = (record: LogRecord): string => JSON.stringify(record);

/** Copies a state without the parsed configuration, which the text already contains. */
export const toStoredState = (state: ControlState): StoredState => ({
  configurationVersion: state.configurationVersion,
  applyId: state.applyId,
  configurationText: state.configurationText,
  drainRevision: state.drainRevision,
  takenOut: state.takenOut,
  epoch: state.epoch,
  members: state.members,
  nextOffset: state.nextOffset,
  logId: state.logId,
});

/** Encodes a state as JSON to send to a peer. */
export const encodeState = (state: ControlState): string => JSON.stringify(toStoredState(state));

/** Decodes a state that a peer sent; does not parse its configuration text. */
export const decodeStoredState = (json: unknown): Result<StoredState, string> =>
  decode(storedStateSchema, json);
