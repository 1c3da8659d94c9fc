import { deflateRawSync, inflateRawSync } from 'node:zlib';

import type { CrashReport, Quarantine } from '@bronzelift/admission';
import { assertNever, formatEndpoint, parseEndpoint } from '@bronzelift/common';

import {
  MAX_DATAGRAM_BYTES,
  MAX_ERA,
  MAX_LISTED_TEXTS,
  MAX_LISTED_TEXT_CHARS,
  MAX_MESSAGE_BYTES,
  MAX_REQUESTS_PER_S,
  NEVER_READ_AGE_MS,
  NO_DIGEST,
  NO_VERSION,
} from './constants.js';
import type { CrashEvidence } from './crashGuard.js';
import {
  isCount,
  isHostAddress,
  isIntegerWithin,
  isName,
  isNumberWithin,
  isPosition,
  isReachableEndpoint,
  isWallMs,
} from './fieldBounds.js';
import type { RegistrationEntry } from './instanceRegistry.js';
import type { InstanceLimit } from './limitExchange.js';
import type { MemberStatus } from './memberTable.js';
import type {
  DomainDigest,
  DomainRoster,
  ListedMember,
  RelayDigest,
  RosterChange,
} from './members/index.js';
import { decodeEntry, encodeEntry } from './registrationCodec.js';
import { createPosition, getEra, toOffset } from './storePosition.js';

/** A message that entry VMs exchange as a datagram. */
export type PeerMessage =
  | { readonly kind: 'heartbeat'; readonly status: MemberStatus }
  /** Hosts of the entry VMs that the sender knows. */
  | { readonly kind: 'members'; readonly hosts: readonly string[] }
  /** Changed registrations; some of those that changed together. */
  | { readonly kind: 'changes'; readonly entries: readonly RegistrationEntry[] }
  /** Limits that instances advertised. */
  | { readonly kind: 'limits'; readonly limits: readonly InstanceLimit[] }
  /** Evidence on requests that were present when instances ended. */
  | { readonly kind: 'crashes'; readonly evidence: CrashEvidence }
  /** Requests that are no longer sent to instances. */
  | { readonly kind: 'quarantines'; readonly quarantines: readonly Quarantine[] }
  /** Asks the receiver for its quarantines. */
  | { readonly kind: 'quarantine-query' }
  /** Digests of the members that a relay lists. */
  | { readonly kind: 'digest'; readonly digest: RelayDigest }
  /** Change of the members that a relay lists. */
  | { readonly kind: 'roster-change'; readonly change: RosterChange };

/**
 * Code 3 was a difference between two whole sets of registrations, code 4 had offsets in place of
 * positions.
 */
const MessageCode = {
  heartbeat: 1,
  members: 2,
  limits: 5,
  changes: 6,
  crashes: 7,
  quarantines: 8,
  quarantineQuery: 9,
  digest: 10,
  rosterChange: 11,
} as const;

const PHASES = ['starting', 'ready', 'leaving'] as const;

const PURPOSES = ['report', 'search', 'greeting'] as const;

const STATUS_FIELDS = 11;

const DOMAIN_DIGEST_FIELDS = 2;

/** First byte of a message that is not compressed. */
const JSON_ARRAY_START = '['.charCodeAt(0);

const toEra = (position: number): number => (position < 0 ? 0 : getEra(position));

/**
 * Encodes fields by position to save bytes: traffic between failure domains costs money, and most
 * of it is heartbeats.
 */
const encodeStatus = (status: MemberStatus): readonly unknown[] => [
  status.vmId,
  status.incarnation,
  status.failureDomainId,
  formatEndpoint(status.callerEndpoint),
  PHASES.indexOf(status.phase),
  Number(status.isStoreFailing),
  Number(status.isReader),
  Math.round(status.storeReadAgeMs),
  // Offsets are sent apart from the eras, as earlier builds do and because large numbers take bytes.
  toOffset(status.operatorRevision),
  toOffset(status.instancePosition),
  status.instanceDigest,
  status.configurationVersion,
  toEra(status.operatorRevision),
  toEra(status.instancePosition),
  status.quarantineDigest,
  Number(status.isCutOff),
  ...(status.sequence === undefined
    ? []
    : [status.sequence, PURPOSES.indexOf(status.purpose ?? 'greeting')]),
];

const isDigest = (value: unknown): value is number => isIntegerWithin(value, 0, 2 ** 32);

const isListedText = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_LISTED_TEXT_CHARS;

const decodeTexts = (fields: unknown): string[] =>
  Array.isArray(fields) ? fields.slice(0, MAX_LISTED_TEXTS).filter(isListedText) : [];

const isFlag = (value: unknown): boolean => value === 0 || value === 1;

const createPlausiblePosition = (era: unknown, offset: unknown): number | undefined => {
  if (!isIntegerWithin(era, 0, MAX_ERA) || !Number.isSafeInteger(offset)) return undefined;
  const position = createPosition(era, offset as number);
  return isPosition(position) ? position : undefined;
};

const decodeStatus = (
  fields: unknown,
  unreachedServices: readonly string[],
): MemberStatus | undefined => {
  if (!Array.isArray(fields) || fields.length < STATUS_FIELDS) return undefined;
  const [vmId, incarnation, failureDomainId, endpoint, phase, ...numbers] = fields as unknown[];
  if (!isName(vmId) || !isName(incarnation) || !isName(failureDomainId)) return undefined;
  const callerEndpoint = typeof endpoint === 'string' ? parseEndpoint(endpoint) : undefined;
  const phaseName = typeof phase === 'number' ? PHASES[phase] : undefined;
  if (callerEndpoint === undefined || phaseName === undefined) return undefined;
  if (!isReachableEndpoint(callerEndpoint)) return undefined;
  const [isStoreFailing, isReader, storeReadAgeMs, revision, offset, digest, ...later] = numbers;
  // Earlier builds do not send all of these.
  const [version = NO_VERSION, operatorEra = 0, instanceEra = 0, ...latest] = later;
  const [quarantineDigest = NO_DIGEST, isCutOff = 0, sequence, purposeCode] = latest;
  const purpose = typeof purposeCode === 'number' ? PURPOSES[purposeCode] : undefined;
  if (sequence !== undefined && (!isCount(sequence) || purpose === undefined)) return undefined;
  const operatorRevision = createPlausiblePosition(operatorEra, revision);
  const instancePosition = createPlausiblePosition(instanceEra, offset);
  if (operatorRevision === undefined || instancePosition === undefined) return undefined;
  if (![isStoreFailing, isReader, isCutOff].every(isFlag)) return undefined;
  if (!isNumberWithin(storeReadAgeMs, 0, NEVER_READ_AGE_MS)) return undefined;
  if (![digest, version, quarantineDigest].every(Number.isSafeInteger)) return undefined;
  return {
    vmId,
    incarnation,
    failureDomainId,
    callerEndpoint,
    phase: phaseName,
    isStoreFailing: isStoreFailing === 1,
    isReader: isReader === 1,
    storeReadAgeMs,
    operatorRevision,
    instancePosition,
    instanceDigest: digest as number,
    configurationVersion: version as number,
    quarantineDigest: quarantineDigest as number,
    isCutOff: isCutOff === 1,
    unreachedServices,
    ...(sequence === undefined ? {} : { sequence, purpose }),
  };
};

const encodeListed = ({ status, host }: ListedMember): readonly unknown[] => [
  encodeStatus(status),
  status.unreachedServices,
  host,
];

const decodeListed = (fields: unknown): ListedMember | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [statusFields, services, host] = fields as unknown[];
  const status = decodeStatus(statusFields, decodeTexts(services));
  if (status?.sequence === undefined || !isHostAddress(host)) return undefined;
  return { status, host };
};

const decodeAllListed = (fields: unknown): ListedMember[] | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const listed = fields.flatMap((item) => decodeListed(item) ?? []);
  return listed.length === fields.length ? listed : undefined;
};

const isAge = (value: unknown): value is number => isNumberWithin(value, 0, NEVER_READ_AGE_MS);

const encodeDomainDigest = ({ failureDomainId, digest }: DomainDigest) =>
  [failureDomainId, digest] as const;

const decodeDomainDigest = (fields: unknown): DomainDigest | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [failureDomainId, digest] = fields as unknown[];
  if (!isName(failureDomainId) || !isDigest(digest)) return undefined;
  return { failureDomainId, digest };
};

const encodeDigest = ({ status, domains, readerAgeMs, readAgeMs }: RelayDigest): unknown => [
  MessageCode.digest,
  encodeStatus(status),
  status.unreachedServices,
  domains.map(encodeDomainDigest),
  Math.round(readerAgeMs),
  Math.round(readAgeMs),
];

const decodeDigest = (fields: readonly unknown[]): RelayDigest | undefined => {
  const [statusFields, services, domains, readerAgeMs, readAgeMs] = fields;
  const status = decodeStatus(statusFields, decodeTexts(services));
  if (status?.sequence === undefined || !Array.isArray(domains)) return undefined;
  if (!isAge(readerAgeMs) || !isAge(readAgeMs)) return undefined;
  const decoded = domains
    .slice(0, MAX_LISTED_TEXTS)
    .flatMap((domain) => decodeDomainDigest(domain) ?? []);
  return { status, domains: decoded, readerAgeMs, readAgeMs };
};

const encodeRosterChange = (change: RosterChange): unknown => [
  MessageCode.rosterChange,
  change.relayId,
  change.failureDomainId,
  change.formerDigest,
  change.digest,
  change.changed.map(encodeListed),
  change.removed,
];

const decodeRosterChange = (fields: readonly unknown[]): RosterChange | undefined => {
  const [relayId, failureDomainId, formerDigest, digest, listed, removed] = fields;
  if (!isName(relayId) || !isName(failureDomainId)) return undefined;
  if (!isDigest(formerDigest) || !isDigest(digest)) return undefined;
  const changed = decodeAllListed(listed);
  if (changed === undefined) return undefined;
  const removedIds = decodeTexts(removed);
  return { relayId, failureDomainId, formerDigest, digest, changed, removed: removedIds };
};

/** Encodes the lists of a relay for a JSON body. */
export const encodeRosters = (rosters: readonly DomainRoster[]): unknown =>
  rosters.map(({ members, ...digest }) => [
    ...encodeDomainDigest(digest),
    members.map(encodeListed),
  ]);

/** Decodes the lists of a relay; undefined if a part of them is malformed or out of bounds. */
export const decodeRosters = (value: unknown): DomainRoster[] | undefined => {
  if (!Array.isArray(value)) return undefined;
  const rosters = (value as unknown[]).flatMap((fields) => {
    const digest = decodeDomainDigest(fields);
    if (digest === undefined) return [];
    const members = decodeAllListed((fields as unknown[])[DOMAIN_DIGEST_FIELDS]);
    return members === undefined ? [] : { ...digest, members };
  });
  return rosters.length === value.length ? rosters : undefined;
};

const encodeLimit = (limit: InstanceLimit): readonly unknown[] => [
  limit.instanceId,
  limit.startedAtWallMs,
  limit.version,
  limit.maxRequestsPerS ?? null,
];

const decodeLimit = (fields: unknown): InstanceLimit | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [instanceId, startedAtWallMs, version, maxRequestsPerS] = fields as unknown[];
  if (!isName(instanceId) || !isWallMs(startedAtWallMs) || !isCount(version)) return undefined;
  if (maxRequestsPerS === null) {
    return { instanceId, startedAtWallMs, version, maxRequestsPerS: undefined };
  }
  if (!isNumberWithin(maxRequestsPerS, 0, MAX_REQUESTS_PER_S)) return undefined;
  return { instanceId, startedAtWallMs, version, maxRequestsPerS };
};

const encodeEvidence = ({ crashes, aliveProcesses, completed }: CrashEvidence): unknown => [
  crashes.map(({ fingerprint, instanceProcess }) => [fingerprint, instanceProcess]),
  aliveProcesses,
  completed,
];

const decodeReport = (fields: unknown): CrashReport | undefined => {
  const [fingerprint, instanceProcess] = decodeTexts(fields);
  if (fingerprint === undefined || instanceProcess === undefined) return undefined;
  return { fingerprint, instanceProcess };
};

const decodeEvidence = ([
  crashes,
  aliveProcesses,
  completed,
]: readonly unknown[]): CrashEvidence => ({
  crashes: Array.isArray(crashes) ? crashes.flatMap((fields) => decodeReport(fields) ?? []) : [],
  aliveProcesses: decodeTexts(aliveProcesses),
  completed: decodeTexts(completed),
});

const decodeQuarantine = (fields: unknown): Quarantine | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [fingerprint, untilWallMs] = fields as unknown[];
  if (!isListedText(fingerprint) || !isWallMs(untilWallMs)) return undefined;
  return { fingerprint, untilWallMs };
};

/** Earlier builds ignore what follows the fields of the status. */
const encodeHeartbeat = (status: MemberStatus): readonly unknown[] => {
  const message = [MessageCode.heartbeat, encodeStatus(status)];
  return status.unreachedServices.length === 0 ? message : [...message, status.unreachedServices];
};

/** Encodes a message as the bytes of a datagram. */
export const encodeMessage = (message: PeerMessage): Buffer => {
  switch (message.kind) {
    case 'heartbeat':
      return Buffer.from(JSON.stringify(encodeHeartbeat(message.status)));
    case 'members':
      return Buffer.from(JSON.stringify([MessageCode.members, message.hosts]));
    case 'changes':
      // eslint-disable-next-line n/no-sync -- a message of a few kilobytes
      return deflateRawSync(
        JSON.stringify([MessageCode.changes, message.entries.map(encodeEntry)]),
      );
    case 'limits':
      return Buffer.from(JSON.stringify([MessageCode.limits, message.limits.map(encodeLimit)]));
    case 'crashes':
      return Buffer.from(JSON.stringify([MessageCode.crashes, encodeEvidence(message.evidence)]));
    case 'quarantines': {
      const rows = message.quarantines.map(({ fingerprint, untilWallMs }) => [
        fingerprint,
        Math.round(untilWallMs),
      ]);
      return Buffer.from(JSON.stringify([MessageCode.quarantines, rows]));
    }
    case 'quarantine-query':
      return Buffer.from(JSON.stringify([MessageCode.quarantineQuery]));
    case 'digest':
      return Buffer.from(JSON.stringify(encodeDigest(message.digest)));
    case 'roster-change':
      return Buffer.from(JSON.stringify(encodeRosterChange(message.change)));
    default:
      return assertNever(message);
  }
};

/** Splits changed registrations into datagrams. */
export const encodeChanges = (entries: readonly RegistrationEntry[]): readonly Buffer[] => {
  if (entries.length === 0) return [];
  const data = encodeMessage({ kind: 'changes', entries });
  if (data.length <= MAX_DATAGRAM_BYTES || entries.length === 1) return [data];
  const half = Math.ceil(entries.length / 2);
  return [...encodeChanges(entries.slice(0, half)), ...encodeChanges(entries.slice(half))];
};

const isCompressed = (data: Buffer): boolean => data[0] !== JSON_ARRAY_START;

/** Decodes a message; returns undefined for bytes that are no message of this version. */
export const decodeMessage = (data: Buffer): PeerMessage | undefined => {
  let fields: unknown;
  try {
    const content = isCompressed(data)
      ? // eslint-disable-next-line n/no-sync -- limited to MAX_MESSAGE_BYTES
        inflateRawSync(data, { maxOutputLength: MAX_MESSAGE_BYTES })
      : data;
    fields = JSON.parse(content.toString('utf8'));
  } catch {
    return undefined;
  }
  if (!Array.isArray(fields)) return undefined;
  const [code, first, second] = fields as unknown[];
  if (code === MessageCode.members && Array.isArray(first)) {
    return { kind: 'members', hosts: first.slice(0, MAX_LISTED_TEXTS).filter(isHostAddress) };
  }
  if (code === MessageCode.changes && Array.isArray(first)) {
    return { kind: 'changes', entries: first.flatMap((entry) => decodeEntry(entry) ?? []) };
  }
  if (code === MessageCode.limits && Array.isArray(first)) {
    return { kind: 'limits', limits: first.flatMap((limit) => decodeLimit(limit) ?? []) };
  }
  if (code === MessageCode.crashes && Array.isArray(first)) {
    return { kind: 'crashes', evidence: decodeEvidence(first) };
  }
  if (code === MessageCode.quarantines && Array.isArray(first)) {
    const quarantines = first.flatMap((entry) => decodeQuarantine(entry) ?? []);
    return { kind: 'quarantines', quarantines };
  }
  if (code === MessageCode.quarantineQuery) return { kind: 'quarantine-query' };
  if (code === MessageCode.digest) {
    const digest = decodeDigest(fields.slice(1));
    return digest === undefined ? undefined : { kind: 'digest', digest };
  }
  if (code === MessageCode.rosterChange) {
    const change = decodeRosterChange(fields.slice(1));
    return change === undefined ? undefined : { kind: 'roster-change', change };
  }
  if (code !== MessageCode.heartbeat) return undefined;
  const status = decodeStatus(first, decodeTexts(second));
  return status === undefined ? undefined : { kind: 'heartbeat', status };
};
