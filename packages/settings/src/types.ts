import type { Endpoint, FailureDomainId, VmId } from '@bronzelift/common';

/** An invalid line, section, key or value in an INI file. */
export interface IniProblem {
  /** File name that was passed to the parser. */
  readonly file: string;
  /** Line number from 1; 0 if the problem concerns the whole file. */
  readonly line: number;
  /** Section and key, for example `[log] address`. */
  readonly key: string;
  /** Description of a valid value. */
  readonly expected: string;
  /** The invalid text, shortened and quoted; undefined if something is missing. */
  readonly found?: string;
}

/** An invalid section, key or value in the settings of a process. */
export type SettingsProblem = IniProblem;

/** A `key = value` line with its line number. */
export interface IniEntry {
  readonly key: string;
  readonly value: string;
  readonly line: number;
}

/** A section with its entries and the line of its header. */
export interface IniSection {
  /** Text between the brackets, with single spaces between words. */
  readonly name: string;
  readonly line: number;
  readonly entries: readonly IniEntry[];
}

/** Parsed INI file with line numbers, and the problems of its lines. */
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
