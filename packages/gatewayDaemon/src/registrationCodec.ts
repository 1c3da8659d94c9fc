import { formatEndpoint, parseEndpoint } from '@bronzelift/common';

import { NO_POSITION } from './constants.js';
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

/** Decodes a registration; returns undefined for fields that this version does not know. */
export const decodeEntry = (fields: unknown): RegistrationEntry | undefined => {
  if (!Array.isArray(fields)) return undefined;
  const [id, recordPosition, removedPosition, retainForMs] = fields as unknown[];
  const numbers = [recordPosition, removedPosition, retainForMs];
  if (typeof id !== 'string' || !numbers.every((value) => Number.isFinite(value))) return undefined;
  const entry = {
    id,
    recordPosition: Number(recordPosition),
    removedPosition: Number(removedPosition),
    retainForMs: Number(retainForMs),
  };
  if (fields.length === REMOVAL_FIELDS) {
    return { ...entry, record: undefined, recordPosition: NO_POSITION };
  }
  if (fields.length < RECORD_FIELDS) return undefined;
  const [service, address, domain, ...counts] = (fields as unknown[]).slice(REMOVAL_FIELDS);
  const endpoint = parseEndpoint(String(address));
  if (endpoint === undefined || !counts.every((value) => Number.isFinite(value))) return undefined;
  const [slots, isDraining, coldForMs, startedAtWallMs, sequence] = counts.map(Number);
  const record = {
    id,
    service: String(service),
    endpoint,
    failureDomainId: String(domain),
    slots: slots!,
    isDraining: isDraining === 1,
    coldForMs: coldForMs!,
    startedAtWallMs: startedAtWallMs!,
    sequence: sequence!,
  };
  return { ...entry, record };
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
  if (typeof nextPosition !== 'number' || typeof digest !== 'number') return undefined;
  if (!Array.isArray(entries)) return undefined;
  const decoded = entries.flatMap((fields) => decodeEntry(fields) ?? []);
  return decoded.length === entries.length ? { nextPosition, digest, entries: decoded } : undefined;
};
