import { BackendPool, PROBE_REQUEST_ID, isConnectionRefused } from '@bronzelift/backend-client';
import type {
  BackendAttempt,
  BackendDialect,
  BackendRequest,
  BackendResponse,
  BufferBudget,
} from '@bronzelift/backend-client';
import type { Clock } from '@bronzelift/common';
import { LearnedSlowdown } from '@bronzelift/routing';
import type { LoadReport, PlacementCandidate, ReachabilityEvidence } from '@bronzelift/routing';
import {
  ADVERTISED_RATE_DIVISION,
  AdvertisedLimit,
  COLD_RATE_DIVISION,
  SharedRateLimit,
} from '@bronzelift/slots';
import type { SharedRate, VersionedLimit } from '@bronzelift/slots';

import {
  CONNECTION_IDLE_MS,
  CONNECT_TIMEOUT_MS,
  END_CHECK_TIMEOUT_MS,
  FAILURE_SHARE_HALF_LIFE_MS,
  FAILURE_SHARE_WEIGHT,
  LIMIT_CHECK_INTERVAL_MS,
  MAX_COLD_MS,
  MAX_CONNECTION_CHECK_AGE_MS,
  MAX_PAUSE_MS,
  MAX_RESPONSE_BYTES,
} from './constants.js';
import type { InstanceRecord } from './types.js';

/** Dependencies of an InstanceRuntime and its connection limit. */
export interface InstanceRuntimeOptions {
  readonly clock: Clock;
  readonly dialect: BackendDialect;
  readonly maxConnections: number;
  /** Local address of connections; undefined to let the system choose it. */
  readonly localAddress?: string | undefined;
  /** Limits the bytes of responses that the process buffers. */
  readonly bufferBudget: BufferBudget;
  readonly onViolation: (name: 'whole-answer', detail: string) => void;
  /** Called for each response of the instance itself with the monotonic send time of its request. */
  readonly onResponse: (instance: InstanceRuntime, sentAtMs: number) => void;
  /** Called with what each attempt shows of the way to the instance. */
  readonly onEvidence: (instance: InstanceRuntime, evidence: ReachabilityEvidence) => void;
  /** Called when a response of the instance begins, changes or ends a limit on its requests. */
  readonly onLimitChange: (instance: InstanceRuntime) => void;
}

const HTTP_UNAVAILABLE = 503;

/** Whether an attempt ended without a byte of a response, other than by its sender. */
const isUnanswered = (attempt: BackendAttempt): boolean =>
  attempt.kind === 'failed-after-send' &&
  (attempt.reason === 'timeout' || attempt.reason === 'reset');

/**
 * State of one instance in this entry VM: connections, latest load report, slowdown, health and
 * cold state.
 */
export class InstanceRuntime {
  readonly learnedSlowdown = LearnedSlowdown.create();

  readonly limit: AdvertisedLimit;

  private readonly pool: BackendPool;

  private currentReport: LoadReport | undefined;

  /** Start times of this entry VM's requests in flight. */
  private readonly requestStarts = new Set<{ readonly atMs: number }>();

  private coldUntilMs: number;

  private coldLimit: SharedRateLimit;

  private lastHealthResponseAtMs = -Infinity;

  private lastResponseAtMs = -Infinity;

  private isAddressTaken = false;

  private pauseUntilMs = -Infinity;

  private hasStatedLeaving = false;

  private limitTokens: SharedRateLimit;

  /** Whether a health response contained the limit. */
  private hasLimitInHealth = false;

  private failureShare = 0;

  private endCheck: Promise<boolean> | undefined;

  private failureShareAtMs: number;

  private constructor(
    private currentRecord: InstanceRecord,
    private readonly options: InstanceRuntimeOptions,
  ) {
    const nowMs = options.clock.monotonicMs();
    this.coldUntilMs = nowMs + currentRecord.coldForMs;
    this.coldLimit = SharedRateLimit.create(options.clock, COLD_RATE_DIVISION);
    this.limit = AdvertisedLimit.create(options.clock);
    this.limitTokens = SharedRateLimit.create(options.clock, ADVERTISED_RATE_DIVISION);
    this.failureShareAtMs = nowMs;
    this.pool = BackendPool.create({
      instanceId: currentRecord.id,
      endpoint: currentRecord.endpoint,
      maxConnections: options.maxConnections,
      localAddress: options.localAddress,
      clock: options.clock,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      idleTimeoutMs: CONNECTION_IDLE_MS,
      maxBodyBytes: MAX_RESPONSE_BYTES,
      bufferBudget: options.bufferBudget,
      dialect: options.dialect,
      onViolation: options.onViolation,
    });
  }

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
    return this.requestStarts.size;
  }

  get report(): LoadReport | undefined {
    return this.currentReport;
  }

  /** Requests per second that the instance accepts from all entry VMs; undefined for no limit. */
  get maxRequestsPerS(): number | undefined {
    return this.limit.maxRequestsPerS;
  }

  /**
   * Whether a registration is of the same process at the same address, so that open connections
   * stay valid.
   */
  isSameProcess(record: InstanceRecord): boolean {
    const { endpoint, startedAtWallMs } = this.currentRecord;
    return (
      startedAtWallMs === record.startedAtWallMs &&
      endpoint.host === record.endpoint.host &&
      endpoint.port === record.endpoint.port
    );
  }

  /** Applies a newer registration of the same process. */
  update(record: InstanceRecord): void {
    this.currentRecord = record;
    // A registration may be seconds old, and the instance's own latest response newer.
    const leftMs = Math.max(this.coldUntilMs - this.now(), 0);
    this.setColdTime(Math.max(record.coldForMs, leftMs));
  }

  /**
   * Whether another instance responded at this address, so that the registration is out of date.
   */
  get isReplaced(): boolean {
    return this.isAddressTaken;
  }

  /** Records that another instance responded at this address, and closes the connections. */
  markReplaced(): void {
    this.isAddressTaken = true;
    this.pool.close();
  }

  /** Whether the instance is about to end, by its registration or its own responses. */
  get isLeaving(): boolean {
    return this.currentRecord.isDraining || this.hasStatedLeaving;
  }

  /** Time for which the instance wants neither requests nor probes of this VM; 0 for none. */
  get pauseLeftMs(): number {
    return Math.max(this.pauseUntilMs - this.now(), 0);
  }

  get isCold(): boolean {
    return this.now() < this.coldUntilMs;
  }

  /** Time until this VM's share of the cold limit allows a request; 0 for a warm instance. */
  calculateColdWaitMs(rate: SharedRate): number {
    return this.isCold ? this.coldLimit.calculateWaitMs(rate) : 0;
  }

  /** Whether a request is due that shows whether the instance still limits its requests. */
  get isLimitCheckDue(): boolean {
    return this.maxRequestsPerS !== undefined && this.limit.responseAgeMs > LIMIT_CHECK_INTERVAL_MS;
  }

  /** Time until this VM's share of the advertised limit allows `count` requests; 0 without a limit. */
  calculateLimitWaitMs(rate: SharedRate, count: number): number {
    return this.maxRequestsPerS === undefined ? 0 : this.limitTokens.calculateWaitMs(rate, count);
  }

  /** Counts a request or a probe against the advertised limit. */
  spendLimitToken(rate: SharedRate): void {
    if (this.maxRequestsPerS !== undefined) this.limitTokens.spendToken(rate);
  }

  /** Merges a limit that another entry VM knows; returns whether this changes the limit. */
  mergeLimit(limit: VersionedLimit): boolean {
    const wasLimited = this.maxRequestsPerS !== undefined;
    const hasChanged = this.limit.merge(limit);
    if (!wasLimited) this.resetLimitTokens();
    return hasChanged;
  }

  /** Time since the last health response, which says whether the instance is cold. */
  get healthAgeMs(): number {
    return this.now() - this.lastHealthResponseAtMs;
  }

  /** Time since the last response of any kind; Infinity before the first one. */
  get responseAgeMs(): number {
    return this.now() - this.lastResponseAtMs;
  }

  /**
   * Exponentially weighted share of failures; it decays with time, so that a failed instance is
   * used again.
   */
  get recentFailureShare(): number {
    const ageMs = this.now() - this.failureShareAtMs;
    return this.failureShare * 2 ** (-ageMs / FAILURE_SHARE_HALF_LIFE_MS);
  }

  /** Creates the input with which this instance is ranked for a request. */
  toCandidate(ownDomainId: string): PlacementCandidate {
    const reportAtMs = this.currentReport?.atMs ?? -Infinity;
    let sentSinceReport = 0;
    for (const { atMs } of this.requestStarts) if (atMs >= reportAtMs) sentSinceReport += 1;
    return {
      instanceId: this.id,
      slots: this.currentRecord.slots,
      report: this.currentReport,
      sentSinceReport,
      ownInFlight: this.requestStarts.size,
      learnedSlowdown: this.learnedSlowdown.value,
      failureShare: this.recentFailureShare,
      isLocalDomain: this.currentRecord.failureDomainId === ownDomainId,
    };
  }

  /**
   * Counts a request as in flight and against the limits of the instance; the returned function must
   * be called when the request has ended.
   */
  beginRequest(coldRate: SharedRate, advertisedRate: SharedRate): () => void {
    if (this.isCold) this.coldLimit.spendToken(coldRate);
    this.spendLimitToken(advertisedRate);
    const start = { atMs: this.now() };
    this.requestStarts.add(start);
    return () => this.requestStarts.delete(start);
  }

  /** Sends a request over an idle or a new connection. Never rejects. */
  async send(
    request: BackendRequest,
    isIdempotent: boolean,
    signal: AbortSignal,
  ): Promise<BackendAttempt> {
    const need = isIdempotent ? {} : { verifiedWithinMs: MAX_CONNECTION_CHECK_AGE_MS };
    const startedAtMs = this.now();
    const acquired = await this.pool.acquire(need, signal);
    if (acquired.kind === 'not-available') {
      const durationMs = this.now() - startedAtMs;
      if (acquired.reason === 'connect-failed' || acquired.reason === 'connect-timeout') {
        this.options.onEvidence(this, 'connect-failed');
      }
      return { kind: 'not-sent', reason: acquired.reason, detail: acquired.detail, durationMs };
    }
    const attempt = await this.pool.send(request, acquired.connection, signal);
    if (attempt.kind === 'answered' || attempt.kind === 'refused') {
      this.lastResponseAtMs = this.now();
      this.options.onEvidence(this, acquired.isNew ? 'response-on-new-connection' : 'response');
      const isProbe = request.requestId === PROBE_REQUEST_ID;
      if (this.isOwnResponse(attempt, isProbe)) this.options.onResponse(this, startedAtMs);
      this.recordLoad(attempt.response.load);
      if (attempt.response.load.state === 'draining') this.hasStatedLeaving = true;
      this.recordPause(attempt.response);
      this.recordLimit(attempt.response.load.maxRequestsPerS, startedAtMs, isProbe);
    } else if (isUnanswered(attempt)) {
      this.options.onEvidence(this, 'no-response');
    }
    return attempt;
  }

  /**
   * Whether the process of the instance has ended, so that its port refuses connections. Requests
   * that fail together share one check. Never rejects.
   */
  hasEnded(): Promise<boolean> {
    this.endCheck ??= isConnectionRefused(
      this.currentRecord.endpoint,
      END_CHECK_TIMEOUT_MS,
    ).finally(() => {
      this.endCheck = undefined;
    });
    return this.endCheck;
  }

  /** Records a health response; `coldForMs` is undefined if it does not contain the cold state. */
  recordHealth(coldForMs: number | undefined): void {
    this.lastHealthResponseAtMs = this.now();
    if (coldForMs !== undefined) this.setColdTime(Math.min(coldForMs, MAX_COLD_MS));
  }

  /** Updates the failure share with the outcome of a request. */
  recordOutcome(hasFailed: boolean): void {
    const share = this.recentFailureShare;
    this.failureShare = share + FAILURE_SHARE_WEIGHT * (Number(hasFailed) - share);
    this.failureShareAtMs = this.now();
  }

  /** Closes connections that were idle for too long, and applies a new connection limit. */
  sweep(maxConnections: number): void {
    this.pool.setMaxConnections(maxConnections);
    this.pool.sweep();
  }

  /** Opens no more connections; requests in flight still finish. */
  close(): void {
    this.pool.close();
  }

  private recordLoad(load: {
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

  /** Whether a response shows that this instance runs, and not another one at its address. */
  private isOwnResponse(attempt: BackendAttempt, isProbe: boolean): boolean {
    if (attempt.kind !== 'answered') return false;
    const { instanceId } = attempt.response.load;
    // A request names the instance that it expects, and another one would refuse it.
    return instanceId === undefined ? !isProbe : instanceId === this.id;
  }

  private recordPause({ status, load: { pauseMs } }: BackendResponse): void {
    if (status !== HTTP_UNAVAILABLE || pauseMs === undefined) return;
    this.pauseUntilMs = Math.max(this.pauseUntilMs, this.now() + Math.min(pauseMs, MAX_PAUSE_MS));
  }

  private recordLimit(
    maxRequestsPerS: number | undefined,
    sentAtMs: number,
    isProbe: boolean,
  ): void {
    if (isProbe && maxRequestsPerS !== undefined) this.hasLimitInHealth = true;
    // The health responses of an instance need not contain its limit.
    if (isProbe && !this.hasLimitInHealth) return;
    const wasLimited = this.maxRequestsPerS !== undefined;
    if (!this.limit.recordResponse(maxRequestsPerS, sentAtMs)) return;
    if (!wasLimited) this.resetLimitTokens();
    this.options.onLimitChange(this);
  }

  private resetLimitTokens(): void {
    this.limitTokens = SharedRateLimit.create(this.options.clock, ADVERTISED_RATE_DIVISION);
  }

  private setColdTime(coldForMs: number): void {
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
