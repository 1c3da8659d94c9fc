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

/** Largest counter and offset accepted, so that adding one stays exact. */
export const MAX_COUNTER = 1e15;

/** File name in the messages about a text that came over the log. */
export const APPLIED_FILE_NAME = 'configuration';

/** Mistakes named in a rejection. */
export const MAX_REJECTION_PROBLEMS = 3;

/** Records asked for in one read; adapted between the bounds by the size of the responses. */
export const READ_LIMIT = { first: 16, min: 1, max: 1024 } as const;

/** Size of a response from which the read limit is halved, and below which it is doubled. */
export const READ_SIZE_BYTES = { high: 8 * 1024 * 1024, low: 1024 * 1024 } as const;

/** Largest response; one record holds a configuration of 4 MiB, escaped twice as JSON. */
export const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/** A connection that takes longer to open is given up. */
export const CONNECT_TIMEOUT_MS = 500;

/** Time without a byte, beyond the wait asked for, after which a connection counts as silent. */
export const SILENCE_TIMEOUT_MS = 1000;

/** Whole duration of a request, for a response that trickles in. */
export const REQUEST_TIMEOUT_MS = 30_000;

/** Delay between failed reads; the cap stays below the freshness bound of 3000 ms. */
export const BACKOFF_MS = { first: 50, max: 1000 } as const;

/** Part of the retention within which a snapshot must follow the last one. */
export const SNAPSHOT_RETENTION_PART = 0.25;

/** A member draws its delay from this range, as a part of the time that is left. */
export const SNAPSHOT_DELAY_RANGE = { min: 0.5, max: 0.95 } as const;

/** Random delay before a snapshot that is overdue or follows a restart of the log. */
export const URGENT_SNAPSHOT_DELAY_MS = 250;

/** Delay before a snapshot becomes the base of a log that holds none; others may know more. */
export const BASE_SNAPSHOT_DELAY_MS = 10_000;
