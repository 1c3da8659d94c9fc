import type { EntrySettings } from './types.js';

/** Largest number of mistakes listed for one file; the rest is counted. */
export const MAX_REPORTED_PROBLEMS = 100;

/** Largest number of keys in a section; no section has that many. */
export const MAX_SECTION_KEYS = 100;

/** Longest piece of a file that is repeated in a message. */
export const MAX_QUOTED_LENGTH = 60;

/** Exit code of a process whose settings are wrong. */
export const EXIT_CODE_BAD_SETTINGS = 2;

/** Longest id or name. */
export const MAX_ID_LENGTH = 63;

/** Ids are part of paths, headers and targets. */
export const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Entry VM ids are part of the ticket, which is separated by dots. */
export const ENTRY_VM_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]*$/;

/** Values of the keys that may be left out; see section 5 of the design page. */
export const SETTINGS_DEFAULTS = {
  log: { readWaitMs: 1000, retentionMs: 86_400_000 },
  vmList: { pollIntervalMs: 1000 },
} as const satisfies {
  readonly [Section in keyof EntrySettings]?: Partial<EntrySettings[Section]>;
};

/**
 * Control state older than this is not acted on. Durations that all members must agree on, such as
 * this one and the lease, are constants, because a member with another value would break the leases.
 */
export const FRESHNESS_MS = 3000;
