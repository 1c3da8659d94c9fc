import { isIP } from 'node:net';

import type { Endpoint } from '@bronzelift/common';

import {
  MAX_COLD_MS,
  MAX_COUNT,
  MAX_ERA,
  MAX_NAME_CHARS,
  MAX_SLOTS,
  MAX_WALL_MS,
  NO_POSITION,
} from './constants.js';
import { getEra } from './storePosition.js';
import type { InstanceRecord } from './types.js';

/** Whitespace, control characters, unassigned code points, and what undecodable bytes become. */
const NOT_IN_NAMES = /[\s\p{C}\uFFFD]/u;

/** Whether a value can name an instance, a service, a failure domain or an entry VM. */
export const isName = (value: unknown): value is string =>
  typeof value === 'string' &&
  value.length > 0 &&
  value.length <= MAX_NAME_CHARS &&
  !NOT_IN_NAMES.test(value);

/** Whether a value is a number from `min` to `max`. */
export const isNumberWithin = (value: unknown, min: number, max: number): value is number =>
  typeof value === 'number' && value >= min && value <= max;

/** Whether a value is a whole number from `min` to `max`. */
export const isIntegerWithin = (value: unknown, min: number, max: number): value is number =>
  Number.isInteger(value) && isNumberWithin(value, min, max);

/** Whether a value counts something: a whole number that does not overflow 31 bits. */
export const isCount = (value: unknown): value is number => isIntegerWithin(value, 0, MAX_COUNT);

/** Whether a value is a point in time in Unix milliseconds. */
export const isWallMs = (value: unknown): value is number => isNumberWithin(value, 0, MAX_WALL_MS);

/** Whether a value is a position in the store, or NO_POSITION. */
export const isPosition = (value: unknown): value is number =>
  Number.isSafeInteger(value) &&
  (value as number) >= NO_POSITION &&
  getEra(value as number) <= MAX_ERA;

/** Whether a value is an IP address, to which connections need no name service. */
export const isHostAddress = (value: unknown): value is string =>
  typeof value === 'string' && isIP(value) !== 0;

/** Whether connections can be opened to an endpoint without a name service. */
export const isReachableEndpoint = ({ host, port }: Endpoint): boolean =>
  isHostAddress(host) && port > 0;

/**
 * Returns which field of a registration is out of bounds; undefined if all are plausible. Each entry
 * VM leaves out the same registrations, whether it reads them from the store or from a peer.
 */
export const findImplausibleField = (record: InstanceRecord): string | undefined => {
  const isPlausible: Readonly<Record<keyof InstanceRecord, boolean>> = {
    id: isName(record.id),
    service: isName(record.service),
    endpoint: isReachableEndpoint(record.endpoint),
    failureDomainId: isName(record.failureDomainId),
    slots: isIntegerWithin(record.slots, 1, MAX_SLOTS),
    isDraining: true,
    coldForMs: isNumberWithin(record.coldForMs, 0, MAX_COLD_MS),
    startedAtWallMs: Number.isInteger(record.startedAtWallMs) && isWallMs(record.startedAtWallMs),
    sequence: isCount(record.sequence),
  };
  return Object.entries(isPlausible).find(([, isWithin]) => !isWithin)?.[0];
};
