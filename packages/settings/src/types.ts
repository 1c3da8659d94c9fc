import type { Endpoint, FailureDomainId, VmId } from '@bronzelift/common';

/** One mistake in an INI file. */
export interface IniProblem {
  /** Name of the file as it was given. */
  readonly file: string;
  /** Line from 1; 0 when the mistake concerns the file as a whole. */
  readonly line: number;
  /** Section and key, for example `[log] address`. */
  readonly key: string;
  /** What should have been there. */
  readonly expected: string;
  /** What was there, shortened; undefined when something is missing. */
  readonly found?: string;
}

/** One mistake in the settings of a process. */
export type SettingsProblem = IniProblem;

/** One `key = value` line. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** One section with the lines that belong to it. */
export interface IniSection {
  /** Text between the brackets, with single spaces between words. */
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** An INI file with line numbers, and the lines that could not be read. */
export interface IniDocument {
  readonly file: string;
  readonly sections: readonly IniSection[];
  readonly problems: readonly IniProblem[];
}

/** Settings of the entry daemon; durations in milliseconds. */
export interface EntrySettings {
  readonly entry: { readonly vmId: VmId; readonly failureDomainId: FailureDomainId };
  /** Address for callers. */
  readonly caller: Endpoint;
  /** Address for the other entry daemons. */
  readonly peer: Endpoint;
  /** Address for metrics and status. */
  readonly admin: Endpoint;
  readonly log: {
    readonly address: Endpoint;
    readonly readWaitMs: number;
    readonly retentionMs: number;
  };
  readonly vmList: { readonly address: Endpoint; readonly pollIntervalMs: number };
}
