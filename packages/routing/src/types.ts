import type { FailureDomainId, InstanceId, VmId } from '@bronzelift/common';

/** An instance and the number of its slots that this entry VM has free. */
export interface Candidate {
  readonly instanceId: InstanceId;
  readonly freeSlots: number;
}

/** Restrictions on the selection of an instance for one request. */
export interface SelectOptions {
  /** Orders are never used as trial requests. */
  readonly isOrder: boolean;
  /** Instances to which this request has already been sent. */
  readonly excluded?: ReadonlySet<InstanceId> | undefined;
  /** Whether to use an ejected instance if there is no other; default false. */
  readonly allowsEjected?: boolean | undefined;
}

/** Instance selected for a request, and the reason. */
export interface Selection {
  readonly instanceId: InstanceId;
  readonly expectedLatencyMs: number;
  /** Whether the request is the single trial of an ejected instance. */
  readonly isTrial: boolean;
  readonly reason: 'lower-cost' | 'only-candidate' | 'trial' | 'last-resort';
}

/** Failure of an attempt, as it counts for the ejection of its instance. */
export type FailureKind =
  | 'connect-failed'
  | 'refused'
  | 'timeout'
  | 'reset'
  | 'cut-short'
  | 'mismatched'
  | 'malformed'
  | 'server-error';

/** Observation of an instance at the end of an attempt. */
export type AttemptObservation =
  | { readonly kind: 'answered'; readonly latencyMs: number }
  | { readonly kind: 'failed'; readonly failure: FailureKind }
  /** The attempt tells nothing about the instance, for example because the caller disconnected. */
  | { readonly kind: 'abandoned' };

/** End of an attempt with the fields that concern its instance; matches `BackendAttempt`. */
export type ObservedAttempt =
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'refused' }
  | {
      readonly kind: 'answered';
      readonly durationMs: number;
      readonly response: { readonly status: number };
    }
  | {
      readonly kind: 'too-large';
      readonly isLengthDeclared: boolean;
      readonly durationMs: number;
    }
  | {
      readonly kind: 'failed-after-send';
      readonly reason:
        Exclude<FailureKind, 'connect-failed' | 'refused' | 'server-error'> | 'cancelled';
    };

/** An attempt in flight; only the first call of `end` has an effect. */
export interface AttemptHandle {
  readonly instanceId: InstanceId;
  readonly end: (observation: AttemptObservation) => void;
}

/** Ejection or readmission of an instance, for the decision log. */
export interface EjectionChange {
  readonly instanceId: InstanceId;
  readonly change: 'ejected' | 'readmitted';
  readonly reason: FailureKind | 'slow' | 'trial-succeeded' | 'limit';
  /** Time until the first trial request; 0 when readmitted. */
  readonly intervalMs: number;
}

/** Latency, load and ejection state of one instance, for the status page. */
export interface InstanceHealth {
  readonly instanceId: InstanceId;
  readonly latencyMs: number;
  readonly inFlight: number;
  readonly isEjected: boolean;
  readonly consecutiveFailures: number;
}

/** A peer to which requests can be forwarded, and its failure domain. */
export interface ForwardPeer {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
}

/** Peer selected for forwarding, and the reason. */
export interface ForwardSelection {
  readonly vmId: VmId;
  /** Reported free slots minus requests sent since the report; 0 without a recent report. */
  readonly estimatedFreeSlots: number;
  readonly reason: 'same-domain' | 'other-domain' | 'unknown-load';
}

/** End of an attempt with the fields that decide about a retry; matches `BackendAttempt`. */
export type AttemptOutcome =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'refused' }
  | { readonly kind: 'answered' }
  | { readonly kind: 'too-large'; readonly isLengthDeclared: boolean }
  | { readonly kind: 'failed-after-send' };

/** State of the request that decides whether an attempt is followed by a retry. */
export interface RetryContext {
  readonly isOrder: boolean;
  /** Whether an earlier attempt of this request was sent and failed, and may have run. */
  readonly mayHaveRun: boolean;
  readonly remainingMs: number;
  /** Time that another attempt is expected to take. */
  readonly expectedLatencyMs: number;
  /** Whether another instance has a free slot or a peer can accept the request. */
  readonly hasAlternative: boolean;
  /** Whether the caller is still connected. */
  readonly isCallerPresent: boolean;
  /** Takes a token from the retry budget; called only if all other conditions allow a retry. */
  readonly takeRetryToken: () => boolean;
}

/** Decision to retry a request after an attempt, or to end it with a result. */
export type RetryDecision =
  | { readonly kind: 'pass-answer' }
  | { readonly kind: 'retry' }
  | { readonly kind: 'answer-unknown'; readonly reason: string }
  | { readonly kind: 'answer-not-run'; readonly reason: string };
