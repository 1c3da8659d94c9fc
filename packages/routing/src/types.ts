import type { FailureDomainId, InstanceId, VmId } from '@bronzelift/common';

/** An instance with slots that are free at this entry VM. */
export interface Candidate {
  readonly instanceId: InstanceId;
  readonly freeSlots: number;
}

/** Options of a choice of instance. */
export interface SelectOptions {
  /** Orders are never used as trial requests. */
  readonly isOrder: boolean;
  /** Instances that this request has already tried. */
  readonly excluded?: ReadonlySet<InstanceId> | undefined;
  /** Use an ejected instance when there is no other; default false. */
  readonly isLastResort?: boolean | undefined;
}

/** A chosen instance. */
export interface Selection {
  readonly instanceId: InstanceId;
  readonly expectedLatencyMs: number;
  /** Single trial request to an ejected instance. */
  readonly isTrial: boolean;
  readonly reason: 'lower-cost' | 'only-candidate' | 'trial' | 'last-resort';
}

/** Ways in which an attempt fails. */
export type FailureKind =
  | 'connect-failed'
  | 'refused'
  | 'timeout'
  | 'reset'
  | 'cut-short'
  | 'mismatched'
  | 'malformed'
  | 'server-error';

/** End of an attempt at an instance. */
export type AttemptObservation =
  | { readonly kind: 'answered'; readonly latencyMs: number }
  | { readonly kind: 'failed'; readonly failure: FailureKind }
  /** The attempt says nothing about the instance, for example the caller went away. */
  | { readonly kind: 'abandoned' };

/** End of an attempt as far as the instance is concerned; matches `BackendAttempt`. */
export type ObservedAttempt =
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'refused' }
  | {
      readonly kind: 'answered';
      readonly durationMs: number;
      readonly response: { readonly status: number };
    }
  | { readonly kind: 'too-large'; readonly durationMs: number }
  | {
      readonly kind: 'failed-after-send';
      readonly reason:
        Exclude<FailureKind, 'connect-failed' | 'refused' | 'server-error'> | 'cancelled';
    };

/** An attempt in flight; `end` counts once. */
export interface AttemptHandle {
  readonly instanceId: InstanceId;
  readonly end: (observation: AttemptObservation) => void;
}

/** Change of an instance's standing, for the decision log. */
export interface EjectionChange {
  readonly instanceId: InstanceId;
  readonly change: 'ejected' | 'readmitted';
  readonly reason: FailureKind | 'slow' | 'trial-succeeded' | 'limit';
  /** Time until the first trial request; 0 when readmitted. */
  readonly intervalMs: number;
}

/** State of one instance for the status page. */
export interface InstanceStanding {
  readonly instanceId: InstanceId;
  readonly latencyMs: number;
  readonly inFlight: number;
  readonly isEjected: boolean;
  readonly consecutiveFailures: number;
}

/** A peer that requests can be forwarded to. */
export interface ForwardPeer {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
}

/** A chosen peer. */
export interface ForwardSelection {
  readonly vmId: VmId;
  /** Reported free slots less what was sent since; 0 when nothing recent was reported. */
  readonly estimatedFreeSlots: number;
  readonly reason: 'same-domain' | 'other-domain' | 'unknown-load';
}

/** End of an attempt as far as retries are concerned; matches `BackendAttempt`. */
export type AttemptOutcome =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered' }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'failed-after-send' };

/** Circumstances of a retry decision. */
export interface RetryContext {
  readonly isOrder: boolean;
  /** An earlier attempt of this request was sent and failed without proof that it did not run. */
  readonly mayHaveRun: boolean;
  readonly remainingMs: number;
  /** Time that another attempt is expected to take. */
  readonly expectedLatencyMs: number;
  /** A free slot at another instance, or a peer, exists. */
  readonly hasAlternative: boolean;
  /** The caller is still there. */
  readonly isCallerPresent: boolean;
  /** Withdraws from the retry budget; called only when everything else allows a retry. */
  readonly takeRetryToken: () => boolean;
}

/** What to do after an attempt. */
export type RetryDecision =
  | { readonly kind: 'pass-answer' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'answer-unknown'; readonly reason: string }
  | { readonly kind: 'answer-not-run'; readonly reason: string };
