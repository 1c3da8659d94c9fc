import { formatEndpoint, parseEndpoint } from '@bronzelift/common';

import { MAX_COLD_MS, NO_POSITION } from './constants.js';
import { findImplausibleField, isName, isNumberWithin, isPosition } from './fieldBounds.js';
import type { RegistrationEntry, RegistrySnapshot } from './instanceRegistry.js';

const REMOVAL_FIELDS = 4;
const RECORD_FIELDS = 12;

/** Registrations as they are sent: fields by position, to save bytes between failure domains. */
export type EncodedEntry = readonly (string | number)[];

/** Encodes a registration by position. */
export const encodeEntry = (entry: RegistrationEntry): EncodedEntry => {
  const { id, record, recordPosition, removedPosition, retainForMs } = entry;
  const removal = [id, recordPosition, removedPosition, Math.round(retainForMs)];
  if (record === undefined) return removal;
  return [
    ...removal,
    record.service,
    formatEndpoint(record.endpoint),
    record.failureDomainId,
    record.slots,
    Number(record.isDraining),
    Math.round(record.coldForMs),
    record.startedAtWallMs,
    record.sequence,
  ];
};

/** Decodes a registration; returns undefined for fields that are unknown or out of bounds. */
export const decodeEntry = (fields: unknown): RegistrationEntry | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [id, recordPosition, removedPosition, retainForMs] = fields as unknown[];
  if (!isName(id) || !isPosition(recordPosition) || !isPosition(removedPosition)) return undefined;
  if (!isNumberWithin(retainForMs, 0, MAX_COLD_MS)) return undefined;
  const entry = { id, recordPosition, removedPosition, retainForMs };
  if (fields.length === REMOVAL_FIELDS) {
    return { ...entry, record: undefined, recordPosition: NO_POSITION };
  }
  if (fields.length < RECORD_FIELDS) return undefined;
  const [service, address, domain, ...numbers] = (fields as unknown[]).slice(REMOVAL_FIELDS);
  const [slots, isDraining, coldForMs, startedAtWallMs, sequence] = numbers.map((value) =>
    typeof value === 'number' ? value : NaN,
  );
  const endpoint = typeof address === 'string' ? parseEndpoint(address) : undefined;
  if (!isName(service) || endpoint === undefined || !isName(domain)) return undefined;
  const record = {
    id,
    service,
    endpoint,
    failureDomainId: domain,
    slots: slots!,
    isDraining: isDraining === 1,
    coldForMs: coldForMs!,
    startedAtWallMs: startedAtWallMs!,
    sequence: sequence!,
  };
  return findImplausibleField(record) === undefined ? { ...entry, record } : undefined;
};

/** Encodes a snapshot for a JSON body. */
export const encodeSnapshot = ({ nextPosition, digest, entries }: RegistrySnapshot): unknown => ({
  nextOffset: nextPosition,
  digest,
  entries: entries.map(encodeEntry),
});

/** Decodes a snapshot; returns undefined if a part of it is not known to this version. */
export const decodeSnapshot = (value: unknown): RegistrySnapshot | undefined => {
  const { nextOffset: nextPosition, digest, entries } = (value ?? {}) as Record<string, unknown>;
  if (!isPosition(nextPosition) || !Number.isSafeInteger(digest)) return undefined;
  if (!Array.isArray(entries)) return undefined;
  const decoded = entries.flatMap((fields) => decodeEntry(fields) ?? []);
  if (decoded.length !== entries.length) return undefined;
  return { nextPosition, digest: Number(digest), entries: decoded };
};
