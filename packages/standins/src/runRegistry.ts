import type { FailureDomainId } from '@bronzelift/common';

import { MAX_OVERLOAD_DETAILS } from './constants.js';
import type { ColdOverload, DomainReport, RunRecord } from './types.js';

/** Records runs, cold overloads and failure domain activity of all instances together. */
export class RunRegistry {
  private readonly runs = new Map<string, RunRecord[]>();

  private readonly domains = new Map<
    FailureDomainId,
    { -readonly [K in keyof DomainReport]: DomainReport[K] }
  >();

  private readonly overloads: ColdOverload[] = [];

  private constructor() {
    // Private, so that registries are created through `create`.
  }

  static create(): RunRegistry {
    return new RunRegistry();
  }

  /** Records a started run under its idempotency key. */
  recordRun(key: string, run: RunRecord): void {
    const runs = this.runs.get(key);
    if (runs) runs.push(run);
    else this.runs.set(key, [run]);
  }

  /** Stores the details of a cold overload, unless the limit of the report is reached. */
  recordOverload(overload: ColdOverload): void {
    if (this.overloads.length < MAX_OVERLOAD_DETAILS) this.overloads.push(overload);
  }

  /** Returns the stored details of cold overloads. */
  reportOverloads(): readonly ColdOverload[] {
    return [...this.overloads];
  }

  /** Records that a request, even a refused one, arrived in a failure domain. */
  recordArrival(failureDomainId: FailureDomainId, atMs: number): void {
    this.domain(failureDomainId).lastArrivalAtMs = atMs;
  }

  /** Records the start of a run in a failure domain. */
  recordStart(failureDomainId: FailureDomainId, atMs: number): void {
    this.domain(failureDomainId).lastStartAtMs = atMs;
  }

  /** Returns the started runs by idempotency key. */
  reportRuns(): Record<string, readonly RunRecord[]> {
    return Object.fromEntries(this.runs);
  }

  /** Returns the last arrival and the last start by failure domain. */
  reportDomains(): Record<FailureDomainId, DomainReport> {
    return Object.fromEntries(
      [...this.domains].map(([failureDomainId, report]) => [failureDomainId, { ...report }]),
    );
  }

  private domain(failureDomainId: FailureDomainId): {
    -readonly [K in keyof DomainReport]: DomainReport[K];
  } {
    const existingReport = this.domains.get(failureDomainId);
    if (existingReport) return existingReport;
    const newReport = { lastArrivalAtMs: undefined, lastStartAtMs: undefined };
    this.domains.set(failureDomainId, newReport);
    return newReport;
  }
}
