import { EMPTY_CONFIGURATION } from '@bronzelift/configuration';

import type { ControlState } from './types.js';

/** State before the first record of a log. */
export const INITIAL_STATE: ControlState = {
  configurationVersion: 0,
  applyId: '',
  configurationText: '',
  configuration: EMPTY_CONFIGURATION,
  drainRevision: 0,
  takenOut: [],
  epoch: 0,
  members: [],
  nextOffset: 0,
  logId: '',
};

/** Largest accepted counter or offset; adding 1 to it is still exact in a floating-point number. */
export const MAX_COUNTER = 1e15;

/** File name shown in problems of a configuration that was read from the log. */
export const CONFIGURATION_SOURCE_NAME = 'configuration';

/** Number of problems listed in the reason of a rejection. */
export const MAX_REJECTION_PROBLEMS = 3;

/** Records requested in one read; adapted to the size of the responses within these bounds. */
export const READ_LIMIT = { first: 16, min: 1, max: 1024 } as const;

/** The read limit is halved above `high` and doubled below `low`. */
export const READ_SIZE_BYTES = { high: 8 * 1024 * 1024, low: 1024 * 1024 } as const;

/** Largest response accepted; one record can hold a 4 MiB configuration, JSON-escaped twice. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** Timeout for opening a connection. */
export const CONNECT_TIMEOUT_MS = 500;

/** Time without data after which a request fails; a read adds the wait that it requests. */
export const SILENCE_TIMEOUT_MS = 1000;

/** Limit on the whole request, so that a response that arrives byte by byte also times out. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Backoff after failed reads; `max` stays below the freshness bound of 3000 ms. */
export const BACKOFF_MS = { first: 50, max: 1000 } as const;

/** Fraction of the log's retention within which the next snapshot must follow the last one. */
export const SNAPSHOT_RETENTION_FRACTION = 0.25;

/**
 * Range of a member's random delay before a snapshot, as a fraction of the time that
 * `SNAPSHOT_RETENTION_FRACTION` allows.
 */
export const SNAPSHOT_DELAY_RANGE = { min: 0.5, max: 0.95 } as const;

/** Upper bound of the random delay before a snapshot that is overdue or follows lost records. */
export const URGENT_SNAPSHOT_DELAY_MS = 250;

/**
 * Delay before a member publishes a base snapshot to a log without one, so that a member with a
 * newer state can publish first.
 */
export const BASE_SNAPSHOT_DELAY_MS = 10_000;
