import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import {
  ClaimRequestSchema,
  ClaimResponseSchema,
  ClaimResult as ClaimResultCode,
  CompletionSchema,
  CompletionsRequestSchema,
  HandoverRequestSchema,
  ReleaseRequestSchema,
  StoredAnswerSchema,
  TakeoverRequestSchema,
  TakeoverResponseSchema,
  TakeoverResult as TakeoverResultCode,
} from '@bronzelift/protocol';

import type { MemberId } from '@bronzelift/common';
import type { Completion, StoredAnswer as StoredAnswerMessage } from '@bronzelift/protocol';
import { parseOrderKey } from './ticket.js';

import type {
  Claim,
  ClaimResult,
  CompletionReport,
  HandoverPart,
  HeaderMap,
  OrderKey,
  StoredAnswer,
  TakeoverResult,
} from './types.js';

/** Joins the values of a repeated header; header values contain no line breaks. */
const VALUE_SEPARATOR = '\n';

const CLAIM_CODES = {
  granted: ClaimResultCode.GRANTED,
  'taken-over': ClaimResultCode.TAKEN_OVER,
  'wrong-incarnation': ClaimResultCode.WRONG_INCARNATION,
  full: ClaimResultCode.FULL,
  unavailable: ClaimResultCode.UNSPECIFIED,
} as const satisfies Record<ClaimResult, ClaimResultCode>;

const TAKEOVER_CODES = {
  'taken-over': TakeoverResultCode.TAKEN_OVER,
  claimed: TakeoverResultCode.CLAIMED,
  completed: TakeoverResultCode.COMPLETED,
  'home-alive': TakeoverResultCode.HOME_ALIVE,
  'wrong-incarnation': TakeoverResultCode.WRONG_INCARNATION,
  full: TakeoverResultCode.FULL,
  'no-lease': TakeoverResultCode.NO_LEASE,
  'ticket-expired': TakeoverResultCode.TICKET_EXPIRED,
  'key-reused': TakeoverResultCode.KEY_REUSED,
  unavailable: TakeoverResultCode.UNSPECIFIED,
} as const satisfies Record<TakeoverResult['kind'], TakeoverResultCode>;

/** Request to the witness of a key to take it over from its home. */
export interface TakeoverMessage {
  readonly key: OrderKey;
  readonly requestHash: string;
}

const invert = <K extends string, V extends number>(table: Record<K, V>): ReadonlyMap<number, K> =>
  new Map(Object.entries(table).map(([kind, code]) => [code as number, kind as K]));

const CLAIM_KINDS = invert(CLAIM_CODES);
const TAKEOVER_KINDS = invert(TAKEOVER_CODES);

const parseKey = (text: string): OrderKey => {
  const parsed = parseOrderKey(text);
  if (parsed.kind === 'rejected') throw new RangeError(parsed.reason);
  return parsed.value;
};

const toHeaderFields = (headers: HeaderMap): Record<string, string> =>
  Object.fromEntries(
    Object.entries(headers).map(([name, value]) => [
      name,
      typeof value === 'string' ? value : value.join(VALUE_SEPARATOR),
    ]),
  );

const toHeaderMap = (fields: Record<string, string>): HeaderMap =>
  Object.fromEntries(
    Object.entries(fields).map(([name, value]) => [
      name,
      value.includes(VALUE_SEPARATOR) ? value.split(VALUE_SEPARATOR) : value,
    ]),
  );

const toAnswerMessage = (answer: StoredAnswer): StoredAnswerMessage =>
  create(StoredAnswerSchema, {
    status: answer.status,
    headers: toHeaderFields(answer.headers),
    body: answer.body ?? new Uint8Array(),
    bodyOmitted: answer.body === undefined,
  });

const toStoredAnswer = (message: StoredAnswerMessage): StoredAnswer => ({
  status: message.status,
  headers: toHeaderMap(message.headers),
  // Copied because the decoded body is a view that keeps the whole message in memory.
  body: message.bodyOmitted ? undefined : new Uint8Array(message.body),
});

const toCompletionMessage = (report: CompletionReport): Completion =>
  create(CompletionSchema, {
    key: report.key,
    requestHash: report.requestHash ?? '',
    answer: toAnswerMessage(report.answer),
  });

const toReport = (message: Completion): CompletionReport => {
  if (message.answer === undefined) throw new RangeError('completion without answer');
  return {
    key: parseKey(message.key).text,
    requestHash: message.requestHash === '' ? undefined : message.requestHash,
    answer: toStoredAnswer(message.answer),
  };
};

/** Body of a request to `/peer/v1/claims`. */
export const encodeClaim = (claim: Claim): Uint8Array => {
  const { home, witness } = claim.key.ticket;
  const message = create(ClaimRequestSchema, {
    key: claim.key.text,
    homeVmId: home.vmId,
    homeIncarnation: home.incarnation,
    witnessIncarnation: witness?.incarnation ?? '',
    attempt: claim.attempt,
    requestHash: claim.requestHash,
  });
  return toBinary(ClaimRequestSchema, message);
};

/** Parses a claim. Throws on malformed input, or if the sender is not the home in the key. */
export const decodeClaim = (body: Uint8Array): Claim => {
  const message = fromBinary(ClaimRequestSchema, body);
  const key = parseKey(message.key);
  const { home } = key.ticket;
  if (message.homeVmId !== home.vmId || message.homeIncarnation !== home.incarnation) {
    throw new RangeError('claim does not come from the home in its key');
  }
  return { key, requestHash: message.requestHash, attempt: message.attempt };
};

/** Body of the response to a claim; `unavailable` is sent as UNSPECIFIED. */
export const encodeClaimResult = (result: ClaimResult): Uint8Array =>
  toBinary(ClaimResponseSchema, create(ClaimResponseSchema, { result: CLAIM_CODES[result] }));

/** Parses the response to a claim; unknown results give `unavailable`. Throws if malformed. */
export const decodeClaimResult = (body: Uint8Array): ClaimResult =>
  CLAIM_KINDS.get(fromBinary(ClaimResponseSchema, body).result) ?? 'unavailable';

/** Body of a request to `/peer/v1/takeovers`. */
export const encodeTakeover = (witness: MemberId, takeover: TakeoverMessage): Uint8Array => {
  const message = create(TakeoverRequestSchema, {
    key: takeover.key.text,
    witnessIncarnation: witness.incarnation,
    requestHash: takeover.requestHash,
  });
  return toBinary(TakeoverRequestSchema, message);
};

/** Parses a takeover request. Throws on malformed input, also if the key is malformed. */
export const decodeTakeover = (body: Uint8Array): TakeoverMessage => {
  const message = fromBinary(TakeoverRequestSchema, body);
  return { key: parseKey(message.key), requestHash: message.requestHash };
};

/** Body of the response to a takeover request, with the stored answer if the order ran. */
export const encodeTakeoverResult = (result: TakeoverResult): Uint8Array => {
  const message = create(TakeoverResponseSchema, { result: TAKEOVER_CODES[result.kind] });
  if (result.kind === 'completed') message.answer = toAnswerMessage(result.answer);
  return toBinary(TakeoverResponseSchema, message);
};

/** Parses the response to a takeover; unknown results give `unavailable`. Throws if malformed. */
export const decodeTakeoverResult = (body: Uint8Array): TakeoverResult => {
  const message = fromBinary(TakeoverResponseSchema, body);
  const kind = TAKEOVER_KINDS.get(message.result) ?? 'unavailable';
  if (kind !== 'completed') return { kind };
  if (message.answer === undefined) return { kind: 'unavailable' };
  return { kind, answer: toStoredAnswer(message.answer) };
};

/** Body of a request to `/peer/v1/releases`. */
export const encodeRelease = (witness: MemberId, key: OrderKey, attempt: number): Uint8Array => {
  const witnessIncarnation = witness.incarnation;
  const message = create(ReleaseRequestSchema, { key: key.text, witnessIncarnation, attempt });
  return toBinary(ReleaseRequestSchema, message);
};

/** Parses a release; `incarnation` is that of the addressed witness. Throws on malformed input. */
export const decodeRelease = (
  body: Uint8Array,
): { key: OrderKey; incarnation: string; attempt: number } => {
  const message = fromBinary(ReleaseRequestSchema, body);
  const { attempt, witnessIncarnation: incarnation } = message;
  return { key: parseKey(message.key), incarnation, attempt };
};

/** Body of a request to `/peer/v1/completions`. */
export const encodeCompletions = (
  witness: MemberId,
  reports: readonly CompletionReport[],
): Uint8Array => {
  const message = create(CompletionsRequestSchema, {
    witnessIncarnation: witness.incarnation,
    completions: reports.map(toCompletionMessage),
  });
  return toBinary(CompletionsRequestSchema, message);
};

/** Parses completions; `incarnation` is that of the addressed witness. Throws if malformed. */
export const decodeCompletions = (
  body: Uint8Array,
): { incarnation: string; reports: CompletionReport[] } => {
  const message = fromBinary(CompletionsRequestSchema, body);
  const reports = message.completions.map(toReport);
  return { incarnation: message.witnessIncarnation, reports };
};

/** Body of a request to `/peer/v1/handovers`. */
export const encodeHandover = (witness: MemberId, part: HandoverPart): Uint8Array => {
  const message = create(HandoverRequestSchema, {
    homeVmId: part.home.vmId,
    homeIncarnation: part.home.incarnation,
    claimedKeys: [...part.claimedKeys],
    completions: part.completions.map(toCompletionMessage),
    witnessIncarnation: witness.incarnation,
    final: part.final,
  });
  return toBinary(HandoverRequestSchema, message);
};

/** Parses a handover part; `incarnation` is that of the addressed witness. Throws if malformed. */
export const decodeHandover = (body: Uint8Array): { incarnation: string; part: HandoverPart } => {
  const message = fromBinary(HandoverRequestSchema, body);
  const part: HandoverPart = {
    home: { vmId: message.homeVmId, incarnation: message.homeIncarnation },
    claimedKeys: message.claimedKeys.map((text) => parseKey(text).text),
    completions: message.completions.map(toReport),
    final: message.final,
  };
  return { incarnation: message.witnessIncarnation, part };
};
