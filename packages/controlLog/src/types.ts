import type { Endpoint, FailureDomainId, Incarnation, StepError, VmId } from '@bronzelift/common';
import type { Configuration } from '@bronzelift/configuration';

/** Failure domain or VM that operators can take out of service. */
export type Target = `domain:${string}` | `vm:${string}`;

/** Identity and addresses of one entry daemon in the roster. */
export interface RosterMember {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
  readonly failureDomainId: FailureDomainId;
  readonly callerEndpoint: Endpoint;
  readonly peerEndpoint: Endpoint;
}

/** Result of folding every record of the log below `nextOffset`. */
export interface ControlState {
  /** Number of accepted configurations; 0 before the first. */
  readonly configurationVersion: number;
  /** Id of the most recently accepted apply. */
  readonly applyId: string;
  readonly configurationText: string;
  readonly configuration: Configuration;
  /** Number of changes of `takenOut`. */
  readonly drainRevision: number;
  /** Targets out of service, sorted. */
  readonly takenOut: readonly Target[];
  /** Counts changes of `members` and accepted configurations; both decide which VM holds a slot. */
  readonly epoch: number;
  /** Sorted by vmId; one incarnation for each VM. */
  readonly members: readonly RosterMember[];
  readonly nextOffset: number;
  /** Log that `nextOffset` refers to; empty when the state is bound to no log. */
  readonly logId: string;
}

/**
 * State as written to a snapshot record or sent to a peer; the receiver parses
 * `configurationText`.
 */
export type StoredState = Omit<ControlState, 'configuration'>;

/** Why a member was evicted. */
export const EVICTION_REASONS = ['silent', 'process-gone', 'vm-gone'] as const;
export type EvictionReason = (typeof EVICTION_REASONS)[number];

/** Record on the log; `kind` determines the other fields. */
export type LogRecord =
  | {
      readonly kind: 'configuration-applied';
      readonly applyId: string;
      readonly basedOnVersion: number;
      readonly text: string;
    }
  | { readonly kind: 'target-taken-out'; readonly target: Target }
  | { readonly kind: 'target-brought-back'; readonly target: Target }
  | ({ readonly kind: 'member-joined' } & RosterMember)
  | { readonly kind: 'member-left'; readonly vmId: VmId; readonly incarnation: Incarnation }
  | {
      readonly kind: 'member-evicted';
      readonly vmId: VmId;
      readonly incarnation: Incarnation;
      readonly reason: EvictionReason;
    }
  | {
      readonly kind: 'state-snapshot';
      readonly asOfOffset: number;
      readonly state: StoredState;
    };

/** Effect of a record on the state; `state` is the state after the record. */
export type FoldResult =
  /** The record changed the state. */
  | { readonly kind: 'applied'; readonly state: ControlState }
  /** The apply was accepted and created this version. */
  | { readonly kind: 'accepted'; readonly state: ControlState; readonly version: number }
  /** The text of the apply is invalid. */
  | { readonly kind: 'rejected'; readonly state: ControlState; readonly reason: string }
  /** The apply was based on a version other than the one in force. */
  | { readonly kind: 'lost-race'; readonly state: ControlState; readonly version: number }
  /** The record is well formed but changes nothing. */
  | { readonly kind: 'ignored'; readonly state: ControlState; readonly reason: string }
  /** The payload does not match the schema of any record. */
  | { readonly kind: 'malformed'; readonly state: ControlState; readonly reason: string };

/** One record as the log service returns it. */
export interface StoredRecord {
  readonly offset: number;
  readonly appendedAtMs: number;
  /** JSON text, or any other value when another program wrote it. */
  readonly payload: unknown;
}

/** Records returned by one read, with the offsets that the log holds. */
export interface LogPage {
  readonly logId: string;
  /** Offset of the oldest record that the log still holds. */
  readonly firstOffset: number;
  /** Offset that the next appended record will get. */
  readonly endOffset: number;
  readonly records: readonly StoredRecord[];
  /** Size of the response body. */
  readonly sizeBytes: number;
}

/** Failure of an append that returned no offset. */
export interface AppendFailure {
  /** `refused`: the record is not on the log; `unknown`: it may be there or still arrive. */
  readonly kind: 'refused' | 'unknown';
  readonly error: StepError;
}

/** Name of an invariant whose runtime assertion is in this package. */
export type ViolationName = 'configuration-order';

/** Called when a runtime assertion detects a violation. */
export type ViolationHandler = (name: ViolationName, detail: string) => void;
