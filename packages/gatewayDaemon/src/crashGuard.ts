import { CrashLedger } from '@bronzelift/admission';
import type { CrashReport, CrashVerdict, Quarantine } from '@bronzelift/admission';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  CRASH_REPORTS_PER_MESSAGE,
  CRASH_REPORT_RESENDS,
  QUARANTINES_PER_MESSAGE,
} from './constants.js';
import type { InstanceRuntime } from './instanceRuntime.js';
import type { PeerMessage } from './peerMessages.js';
import { hashText } from './utils.js';

/** Evidence on requests that entry VMs exchange, each part as short as possible. */
export interface CrashEvidence {
  readonly crashes: readonly CrashReport[];
  /** Instance processes that responded although they were reported as ended. */
  readonly aliveProcesses: readonly string[];
  /** Fingerprints of requests that instances completed. */
  readonly completed: readonly string[];
}

/** Dependencies of a CrashGuard. */
export interface CrashGuardOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Sends a message to the given hosts, or to all other entry VMs. */
  readonly send: (message: PeerMessage, hosts?: readonly string[]) => void;
}

const DIGEST_MODULUS = 2 ** 32;

const createEvidence = (evidence: Partial<CrashEvidence>): PeerMessage => ({
  kind: 'crashes',
  evidence: { crashes: [], aliveProcesses: [], completed: [], ...evidence },
});

const toProcess = ({ id, record }: InstanceRuntime): string => `${id} ${record.startedAtWallMs}`;

/**
 * Protects instances from requests that crash them: exchanges evidence with the other entry VMs,
 * and lets none of them send a request on that has crashed several instances.
 */
export class CrashGuard {
  private readonly ledger: CrashLedger;

  /** Reports of this entry VM with the number of times that they are still to be sent. */
  private readonly resends = new Map<CrashReport, number>();

  private constructor(private readonly options: CrashGuardOptions) {
    this.ledger = CrashLedger.create(options.clock);
  }

  static create(options: CrashGuardOptions): CrashGuard {
    return new CrashGuard(options);
  }

  /** Judges a request by its fingerprint. */
  judge(fingerprint: string): CrashVerdict {
    return this.ledger.judge(fingerprint);
  }

  /** Records that an instance ended while it ran a request of this entry VM. */
  recordCrash(fingerprint: string, instance: InstanceRuntime): void {
    const report = { fingerprint, instanceProcess: toProcess(instance) };
    if (!this.ledger.recordCrash(report)) return;
    this.resends.set(report, CRASH_REPORT_RESENDS);
    this.sendEvidence({ crashes: [report] });
  }

  /** Records that an instance completed a request of this entry VM. */
  recordCompletion(fingerprint: string): void {
    if (this.ledger.recordCompletion(fingerprint)) this.sendEvidence({ completed: [fingerprint] });
  }

  /** Records a response of an instance to what this entry VM sent at the given monotonic time. */
  recordResponse(instance: InstanceRuntime, sentAtMs: number): void {
    const instanceProcess = toProcess(instance);
    if (!this.ledger.recordResponse(instanceProcess, sentAtMs)) return;
    this.forgetReports((report) => report.instanceProcess === instanceProcess);
    this.sendEvidence({ aliveProcesses: [instanceProcess] });
  }

  /** Merges evidence of another entry VM, and tells this one what it does not know. */
  merge({ crashes, aliveProcesses, completed }: CrashEvidence, fromHost: string): void {
    for (const instanceProcess of aliveProcesses) this.ledger.voidCrash(instanceProcess);
    for (const fingerprint of completed) this.mergeCompletion(fingerprint);
    const disputed = crashes
      .map(({ fingerprint }) => fingerprint)
      .filter((fingerprint) => this.ledger.isCompleted(fingerprint));
    for (const report of crashes) this.ledger.recordCrash(report);
    if (disputed.length === 0) return;
    this.options.send(createEvidence({ completed: [...new Set(disputed)] }), [fromHost]);
  }

  /** The member that has reported a request tells all others of the first dispute. */
  private mergeCompletion(fingerprint: string): void {
    this.ledger.recordCompletion(fingerprint);
    const isReporter = [...this.resends.keys()].some(
      (report) => report.fingerprint === fingerprint,
    );
    if (!isReporter) return;
    this.forgetReports((report) => report.fingerprint === fingerprint);
    this.sendEvidence({ completed: [fingerprint] });
  }

  /** Confirms suspicions that nobody disputed, and sends recent reports again. */
  update(): void {
    const confirmed = this.ledger.confirmDue();
    for (const quarantine of confirmed) this.logQuarantine(quarantine, 'crashes');
    this.sendQuarantines(confirmed);
    const due = [...this.resends.keys()];
    for (const [report, count] of this.resends) {
      if (count > 1) this.resends.set(report, count - 1);
      else this.resends.delete(report);
    }
    for (let index = 0; index < due.length; index += CRASH_REPORTS_PER_MESSAGE) {
      this.sendEvidence({ crashes: due.slice(index, index + CRASH_REPORTS_PER_MESSAGE) });
    }
  }

  /** Adds quarantines that another entry VM or the store knows. */
  addQuarantines(quarantines: readonly Quarantine[], source: 'peer' | 'store'): void {
    const added = quarantines.filter((quarantine) => this.ledger.addQuarantine(quarantine));
    for (const quarantine of added) this.logQuarantine(quarantine, source);
    if (source === 'store') this.sendQuarantines(added);
  }

  /** Quarantines in force. */
  listQuarantines(): Quarantine[] {
    return this.ledger.listQuarantines();
  }

  /** Digest of the quarantined requests; equal on all entry VMs that know the same ones. */
  get digest(): number {
    return this.ledger
      .listQuarantines()
      .reduce((sum, { fingerprint }) => (sum + hashText(fingerprint)) % DIGEST_MODULUS, 0);
  }

  private forgetReports(isForgotten: (report: CrashReport) => boolean): void {
    for (const report of this.resends.keys()) if (isForgotten(report)) this.resends.delete(report);
  }

  private sendQuarantines(quarantines: readonly Quarantine[]): void {
    for (let index = 0; index < quarantines.length; index += QUARANTINES_PER_MESSAGE) {
      const part = quarantines.slice(index, index + QUARANTINES_PER_MESSAGE);
      this.options.send({ kind: 'quarantines', quarantines: part });
    }
  }

  private sendEvidence(evidence: Partial<CrashEvidence>): void {
    this.options.send(createEvidence(evidence));
  }

  private logQuarantine({ fingerprint, untilWallMs }: Quarantine, source: string): void {
    const { log, metrics, clock } = this.options;
    log.warn(LogComponent.admit, 'request quarantined', {
      fingerprint,
      source,
      forMs: Math.round(untilWallMs - clock.wallMs()),
    });
    metrics.counter('bronzelift_quarantined_requests_total', { source }).increment();
  }
}
