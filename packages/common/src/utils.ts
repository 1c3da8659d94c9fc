import type { Clock, Endpoint, Incarnation, MemberId, RandomSource } from './types.js';

const INCARNATION_RANDOM_LENGTH = 5;
const BASE_36 = 36;

/** Creates an incarnation from the wall-clock time and a random suffix. */
export const createIncarnation = (clock: Clock, random: RandomSource): Incarnation => {
  const startedAt = Math.trunc(clock.wallMs()).toString(BASE_36);
  const suffix = Math.floor(random.next() * BASE_36 ** INCARNATION_RANDOM_LENGTH)
    .toString(BASE_36)
    .padStart(INCARNATION_RANDOM_LENGTH, '0');
  return `${startedAt}${suffix}`;
};

/** Formats a member for logs, for example `vm1@lq3x9k`. */
export const formatMember = (member: MemberId): string => `${member.vmId}@${member.incarnation}`;

/** Whether two ids identify the same run of the same entry daemon. */
export const isSameMember = (left: MemberId, right: MemberId): boolean =>
  left.vmId === right.vmId && left.incarnation === right.incarnation;

/** Formats an endpoint as `host:port`. */
export const formatEndpoint = (endpoint: Endpoint): string => `${endpoint.host}:${endpoint.port}`;

/** Parses `host:port`; returns undefined if the text is not an endpoint. */
export const parseEndpoint = (text: string): Endpoint | undefined => {
  const separator = text.lastIndexOf(':');
  const host = text.slice(0, separator);
  const port = Number(text.slice(separator + 1));
  if (separator <= 0 || !Number.isInteger(port) || port < 0 || port > 65_535) return undefined;
  return { host, port };
};

/** Causes a compiler error if a switch over a union misses a case. */
export const assertNever = (value: never): never => {
  throw new Error(`unhandled case ${JSON.stringify(value)}`);
};

/**
 * Creates a controller that is aborted when its parent is; costs less per request than
 * AbortSignal.any.
 */
export const createLinkedAbort = (parent: AbortSignal): AbortController => {
  const controller = new AbortController();
  if (parent.aborted) controller.abort();
  else parent.addEventListener('abort', () => controller.abort(), { once: true });
  return controller;
};

/** Whether a promise settles within a duration in milliseconds. */
export const settlesWithin = async (
  promise: Promise<unknown>,
  durationMs: number,
): Promise<boolean> => {
  let timer: NodeJS.Timeout | undefined;
  const late = new Promise<false>((resolve) => {
    timer = setTimeout(() => resolve(false), durationMs);
  });
  const isSettled = await Promise.race([promise.then(() => true), late]);
  clearTimeout(timer);
  return isSettled;
};
