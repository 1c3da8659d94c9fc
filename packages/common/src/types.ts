/** Name of an entry VM or a backend VM, as the VM list gives it. */
export type VmId = string;

/** Name of a failure domain. */
export type FailureDomainId = string;

/** Name of a service, as the operators' file gives it. */
export type ServiceName = string;

/** Name of one instance of a service. */
export type InstanceId = string;

/** Identifies one start of an entry daemon; a restart gets another one. */
export type Incarnation = string;

/** An IP address and a TCP port. */
export interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** One start of the entry daemon of one VM. */
export interface MemberId {
  readonly vmId: VmId;
  readonly incarnation: Incarnation;
}

/** Source of time. Durations and leases use the monotonic reading. */
export interface Clock {
  /** Milliseconds since an arbitrary start; never goes back. */
  monotonicMs(): number;
  /** Milliseconds since the Unix epoch. */
  wallMs(): number;
}

/** Source of random numbers. */
export interface RandomSource {
  /** A number from 0 (included) to 1 (excluded). */
  next(): number;
}

/** What became of a request, as told to the caller. */
export const Outcome = {
  ran: 'ran',
  notRun: 'not-run',
  unknown: 'unknown',
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
