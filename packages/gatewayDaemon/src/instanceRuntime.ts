import { BackendPool } from '@bronzelift/backend-client';
import type { BackendAttempt, BackendDialect, BackendRequest } from '@bronzelift/backend-client';
import type { Clock } from '@bronzelift/common';
import { SpeedTracker } from '@bronzelift/routing';
import type { LoadReport, PlacementCandidate } from '@bronzelift/routing';
import { COLD_RATE_DIVISION, SharedRateLimit } from '@bronzelift/slots';
import type { SharedRate } from '@bronzelift/slots';

import {
  CONNECTION_IDLE_MS,
  CONNECT_TIMEOUT_MS,
  FAILURE_SHARE_HALF_LIFE_MS,
  FAILURE_SHARE_WEIGHT,
  MAX_RESPONSE_BYTES,
  PROVEN_WITHIN_MS,
} from './constants.js';
import type { InstanceRecord } from './types.js';

/** Parameters of what an entry VM keeps of one instance. */
export interface InstanceRuntimeOptions {
  readonly clock: Clock;
  readonly dialect: BackendDialect;
  readonly maxConnections: number;
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
}

/** What this entry VM keeps of one instance: connections, load, pace and cold state. */
export class InstanceRuntime {
  readonly speed = SpeedTracker.create();

  private readonly pool: BackendPool;

  private currentReport: LoadReport | undefined;

  /** Start times of own requests in flight. */
  private readonly startsMs = new Set<{ readonly atMs: number }>();

  private coldUntilMs: number;

  private coldLimit: SharedRateLimit;

  private lastHealthAtMs = -Infinity;

  private lastAnswerAtMs = -Infinity;

  private hasOtherProcess = false;

  private failureShare = 0;

  private failureShareAtMs: number;

  private constructor(
    private currentRecord: InstanceRecord,
    private readonly options: InstanceRuntimeOptions,
  ) {
    const nowMs = options.clock.monotonicMs();
    this.coldUntilMs = nowMs + currentRecord.coldForMs;
    this.coldLimit = SharedRateLimit.create(options.clock, COLD_RATE_DIVISION);
    this.failureShareAtMs = nowMs;
    this.pool = BackendPool.create({
      instanceId: currentRecord.id,
      endpoint: currentRecord.endpoint,
      maxConnections: options.maxConnections,
      clock: options.clock,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleTimeoutMs: CONNECTION_IDLE_MS,
      maxBodyBytes: MAX_RESPONSE_BYTES,
      dialect: options.dialect,
      onViolation: options.onViolation,
    });
  }

  /** Creates the runtime of an instance that has just become known. */
  static create(record: InstanceRecord, options: InstanceRuntimeOptions): InstanceRuntime {
    return new InstanceRuntime(record, options);
  }

  get id(): string {
    return this.currentRecord.id;
  }

  get record(): InstanceRecord {
    return this.currentRecord;
  }

  get ownInFlight(): number {
    return this.startsMs.size;
  }

  get report(): LoadReport | undefined {
    return this.currentReport;
  }

  /** Whether an update keeps the process and its address, so that connections stay valid. */
  isSameProcess(record: InstanceRecord): boolean {
    const { endpoint, startedAtWallMs } = this.currentRecord;
    return (
      startedAtWallMs === record.startedAtWallMs &&
      endpoint.host === record.endpoint.host &&
      endpoint.port === record.endpoint.port
    );
  }

  /** Takes over a newer registration of the same process. */
  update(record: InstanceRecord): void {
    this.currentRecord = record;
    // A registration is seconds old; what the instance itself said last may be newer.
    const leftMs = Math.max(this.coldUntilMs - this.now(), 0);
    this.setCold(Math.max(record.coldForMs, leftMs));
  }

  /** Whether another instance answered at the address; the registration is out of date. */
  get isReplaced(): boolean {
    return this.hasOtherProcess;
  }

  /** Notes that another instance answered at the address. */
  markReplaced(): void {
    this.hasOtherProcess = true;
    this.pool.close();
  }

  get isCold(): boolean {
    return this.now() < this.coldUntilMs;
  }

  /** Whether the cold limit lets a request through; always for a warm instance. */
  isOpen(limit: SharedRate): boolean {
    return !this.isCold || this.coldLimit.isOpen(limit);
  }

  /** Time since the instance last stated whether it is cold. */
  get healthAgeMs(): number {
    return this.now() - this.lastHealthAtMs;
  }

  /** Time since the instance last answered anything; Infinity before its first answer. */
  get silentMs(): number {
    return this.now() - this.lastAnswerAtMs;
  }

  /** Share of failures among the latest requests; fades with time, so that it is tried again. */
  get recentFailureShare(): number {
    const ageMs = this.now() - this.failureShareAtMs;
    return this.failureShare * 2 ** (-ageMs / FAILURE_SHARE_HALF_LIFE_MS);
  }

  /** This instance as a choice for a request. */
  toCandidate(ownDomainId: string): PlacementCandidate {
    const reportAtMs = this.currentReport?.atMs ?? -Infinity;
    let sentSinceReport = 0;
    for (const { atMs } of this.startsMs) if (atMs >= reportAtMs) sentSinceReport += 1;
    return {
      instanceId: this.id,
      slots: this.currentRecord.slots,
      report: this.currentReport,
      sentSinceReport,
      ownInFlight: this.startsMs.size,
      speedFactor: this.speed.speedFactor,
      failureShare: this.recentFailureShare,
      isLocalDomain: this.currentRecord.failureDomainId === ownDomainId,
    };
  }

  /** Counts a request from here on; the returned function ends it. */
  begin(limit: SharedRate): () => void {
    if (this.isCold) this.coldLimit.spend(limit);
    const start = { atMs: this.now() };
    this.startsMs.add(start);
    return () => this.startsMs.delete(start);
  }

  /** Sends a request; opens a connection if none is idle. Never rejects. */
  async send(
    request: BackendRequest,
    isIdempotent: boolean,
    signal: AbortSignal,
  ): Promise<BackendAttempt> {
    const need = isIdempotent ? {} : { provenWithinMs: PROVEN_WITHIN_MS };
    const startedAtMs = this.now();
    const acquired = await this.pool.acquire(need, signal);
    if (acquired.kind === 'not-available') {
      const durationMs = this.now() - startedAtMs;
      return { kind: 'not-sent', reason: acquired.reason, detail: acquired.detail, durationMs };
    }
    const attempt = await this.pool.send(request, acquired.connection, signal);
    if (attempt.kind === 'answered' || attempt.kind === 'refused') {
      this.lastAnswerAtMs = this.now();
      this.noteLoad(attempt.response.load);
    }
    return attempt;
  }

  /** Notes a response to a health request; `coldForMs` is undefined when it does not say. */
  noteHealth(coldForMs: number | undefined): void {
    this.lastHealthAtMs = this.now();
    if (coldForMs !== undefined) this.setCold(coldForMs);
  }

  /** Counts a response or a failure of the instance. */
  noteOutcome(hasFailed: boolean): void {
    const share = this.recentFailureShare;
    this.failureShare = share + FAILURE_SHARE_WEIGHT * (Number(hasFailed) - share);
    this.failureShareAtMs = this.now();
  }

  /** Closes connections that were idle for long, and takes over this VM's share of the limit. */
  sweep(maxConnections: number): void {
    this.pool.setMaxConnections(maxConnections);
    this.pool.sweep();
  }

  /** Opens no more connections; requests in flight are finished. */
  close(): void {
    this.pool.close();
  }

  private noteLoad(load: {
    readonly inFlight: number | undefined;
    readonly slots: number | undefined;
    readonly waiting?: number | undefined;
    readonly slowdown?: number | undefined;
  }): void {
    if (load.inFlight === undefined) return;
    this.currentReport = {
      running: load.inFlight,
      waiting: load.waiting ?? 0,
      slots: load.slots ?? this.currentRecord.slots,
      slowdown: load.slowdown ?? 1,
      atMs: this.now(),
    };
  }

  private setCold(coldForMs: number): void {
    const nowMs = this.now();
    const wasCold = nowMs < this.coldUntilMs;
    this.coldUntilMs = nowMs + coldForMs;
    if (coldForMs > 0 && !wasCold) {
      this.coldLimit = SharedRateLimit.create(this.options.clock, COLD_RATE_DIVISION);
    }
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
