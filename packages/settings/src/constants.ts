import type { EntrySettings } from './types.js';

/** Maximum number of problems listed for one file. */
export const MAX_REPORTED_PROBLEMS = 100;

/** Maximum number of keys in a section; no valid section has that many. */
export const MAX_SECTION_KEYS = 100;

/** Maximum number of characters quoted from a file in a message. */
export const MAX_QUOTED_LENGTH = 60;

/** Exit code of a process whose settings are invalid. */
export const EXIT_CODE_INVALID_SETTINGS = 2;

/** Maximum number of characters in an id or name. */
export const MAX_ID_LENGTH = 63;

/** Characters of an id; ids are part of paths, headers and targets. */
export const ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]*$/;

/** Characters of an entry VM id; no dots, because they separate the parts of a ticket. */
export const ENTRY_VM_ID_PATTERN = /^[A-Za-z0-9][A-Za-z0-9_-]*$/;

/** Default values of optional keys; see section 5 of the design page. */
export const SETTINGS_DEFAULTS = {
  log: { readWaitMs: 1000, retentionMs: 86_400_000 },
  vmList: { pollIntervalMs: 1000 },
} as const satisfies {
  readonly [Section in keyof EntrySettings]?: Partial<EntrySettings[Section]>;
};

/**
 * Maximum age of the control state on which a member acts. Durations on which all members must
 * agree, such as this one and the lease, are constants: members with different values would break
 * the leases.
 */
export const FRESHNESS_MS = 3000;
