import type { FailureDomainId } from '@bronzelift/common';

import { MAX_OVERLOAD_DETAILS } from './constants.js';
import type { ColdOverload, DomainReport, RunRecord } from './types.js';

/** What all instances of a backend stand-in count together. */
export class RunRegistry {
  private readonly runs = new Map<string, RunRecord[]>();

  private readonly domains = new Map<
    FailureDomainId,
    { -readonly [K in keyof DomainReport]: DomainReport[K] }
  >();

  private readonly overloads: ColdOverload[] = [];

  private constructor() {
    // Use create.
  }

  /** Creates an empty registry. */
  static create(): RunRegistry {
    return new RunRegistry();
  }

  /** Counts a started run under its idempotency key. */
  recordRun(key: string, run: RunRecord): void {
    const runs = this.runs.get(key);
    if (runs) runs.push(run);
    else this.runs.set(key, [run]);
  }

  /** Describes a cold overload, up to the limit of the report. */
  recordOverload(overload: ColdOverload): void {
    if (this.overloads.length < MAX_OVERLOAD_DETAILS) this.overloads.push(overload);
  }

  /** Descriptions of cold overloads. */
  reportOverloads(): readonly ColdOverload[] {
    return [...this.overloads];
  }

  /** Notes that a request for work arrived in a failure domain. */
  recordArrival(failureDomainId: FailureDomainId, atMs: number): void {
    this.domain(failureDomainId).lastArrivalAtMs = atMs;
  }

  /** Notes that work started in a failure domain. */
  recordStart(failureDomainId: FailureDomainId, atMs: number): void {
    this.domain(failureDomainId).lastStartAtMs = atMs;
  }

  /** Started runs per idempotency key. */
  reportRuns(): Record<string, readonly RunRecord[]> {
    return Object.fromEntries(this.runs);
  }

  /** Last arrival and start per failure domain. */
  reportDomains(): Record<FailureDomainId, DomainReport> {
    return Object.fromEntries(
      [...this.domains].map(([failureDomainId, report]) => [failureDomainId, { ...report }]),
    );
  }

  private domain(failureDomainId: FailureDomainId): {
    -readonly [K in keyof DomainReport]: DomainReport[K];
  } {
    const known = this.domains.get(failureDomainId);
    if (known) return known;
    const created = { lastArrivalAtMs: undefined, lastStartAtMs: undefined };
    this.domains.set(failureDomainId, created);
    return created;
  }
}
