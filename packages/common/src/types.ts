/** Id of an entry VM or a backend VM in the VM list. */
export type VmId = string;

/** Id of a failure domain in the configuration file. */
export type FailureDomainId = string;

/** Name of a service in the configuration file. */
export type ServiceName = string;

/** Id of one instance of a service in the configuration file. */
export type InstanceId = string;

/** Id of one run of an entry daemon; each start creates a new one. */
export type Incarnation = string;

/** Host and TCP port of a server. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** Identifies one run of the entry daemon on an entry VM. */
export interface MemberId {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
}

/** Monotonic and wall-clock time. Durations and leases use monotonic time. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never decreases. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
}

/** Generator of uniformly distributed random numbers. */
export interface RandomSource {
  /** Draws a number from 0 (inclusive) to 1 (exclusive). */
  next(): number;
}

/** Whether a request ran, as reported to the caller. */
export const Outcome = {
  ran: 'ran',
  notRun: 'not-run',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
