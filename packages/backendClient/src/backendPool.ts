import { formatEndpoint } from '@bronzelift/common';

import {
  DEFAULT_CONNECT_TIMEOUT_MS,
  DEFAULT_IDLE_TIMEOUT_MS,
  DEFAULT_MAX_BODY_BYTES,
  PROBE_REQUEST_ID,
} from './constants.js';
import { describeClose, findResponseProblem } from './attemptChecks.js';
import { openSocket } from './openSocket.js';
import { bronzeliftDialect } from './bronzeliftDialect.js';
import { PoolConnection } from './poolConnection.js';
import { sendAttempt } from './sendAttempt.js';
import type { AttemptResult } from './sendAttempt.js';
import type {
  AcquireResult,
  BackendAttempt,
  BackendConnection,
  BackendPoolOptions,
  BackendRequest,
  CloseReason,
  ConnectionRequirements,
  NoConnectionReason,
  PoolStats,
} from './types.js';

const HTTP_SERVER_ERROR = 500;

/** Whether a request that was answered may be sent once more. */
const isRepeatable = (attempt: BackendAttempt): boolean =>
  attempt.kind === 'refused' ||
  (attempt.kind === 'answered' && attempt.response.status >= HTTP_SERVER_ERROR);

/** Pool of connections to one instance; each carries one request at a time. */
export class BackendPool {
  /** Idle connections, ordered by last use; the most recent one is last. */
  private readonly idle: PoolConnection[] = [];

  private readonly busy = new Set<PoolConnection>();

  private opening = 0;

  private lastId = 0;

  private isClosed = false;

  private maxConnections: number;

  private constructor(private readonly options: BackendPoolOptions) {
    this.maxConnections = options.maxConnections;
  }

  /** Creates a pool; it opens connections only in `acquire`. */
  static create(options: BackendPoolOptions): BackendPool {
    return new BackendPool(options);
  }

  /** Changes the limit for opening connections; existing ones stay until swept or replaced. */
  setMaxConnections(maxConnections: number): void {
    this.maxConnections = maxConnections;
  }

  /** Reserves an idle connection that meets the requirements, or opens one that does if possible. */
  async acquire(
    requirements: ConnectionRequirements,
    signal?: AbortSignal,
  ): Promise<AcquireResult> {
    const idle = this.takeIdle(requirements);
    if (idle !== undefined) {
      return { kind: 'acquired', connection: idle, isNew: false, connectMs: 0 };
    }
    if (requirements.openedBeforeMs !== undefined) {
      return this.createUnavailableResult('no-match', 'no idle connection meets the requirements');
    }
    return this.open(signal);
  }

  /** Reserves the most recently used idle connection that meets the requirements. */
  takeIdle(requirements: ConnectionRequirements): BackendConnection | undefined {
    const nowMs = this.now();
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index]!;
      if (!connection.meets(requirements, nowMs)) continue;
      this.idle.splice(index, 1);
      this.reserve(connection);
      return connection;
    }
    return undefined;
  }

  /** Open idle connections, the most recently used one first. */
  idleConnections(): BackendConnection[] {
    return this.idle.filter((connection) => connection.isOpen).reverse();
  }

  /** Reserves the given connection; false if it is no longer idle. */
  take(connection: BackendConnection): boolean {
    const index = this.idle.indexOf(connection as PoolConnection);
    if (index < 0 || !connection.isOpen) return false;
    const [taken] = this.idle.splice(index, 1);
    this.reserve(taken!);
    return true;
  }

  /** Puts a reserved but unused connection back into the pool. */
  release(connection: BackendConnection): void {
    const reserved = this.findReserved(connection);
    if (reserved?.startSending()) this.returnToIdle(reserved);
  }

  /** Sends a request on a reserved connection, which then becomes idle or closed. Never rejects. */
  async send(
    request: BackendRequest,
    connection: BackendConnection,
    signal?: AbortSignal,
  ): Promise<BackendAttempt> {
    const reserved = this.findReserved(connection);
    if (reserved !== undefined && !reserved.startSending()) {
      const detail = `connection ${connection.id} to ${this.peer} carries another request`;
      return { kind: 'not-sent', reason: 'connection-busy', detail, durationMs: 0 };
    }
    if (reserved === undefined || !reserved.isOpen) {
      reserved?.close('in-doubt', 'the connection was closed before a request was sent');
      const detail = `connection ${connection.id} to ${this.peer} is closed`;
      return { kind: 'not-sent', reason: 'connection-closed', detail, durationMs: 0 };
    }
    if (reserved.hasFailed(request.requestId)) {
      const detail = `connection ${connection.id} to ${this.peer} has carried the request before`;
      reserved.close('in-doubt', detail);
      return { kind: 'not-sent', reason: 'connection-closed', detail, durationMs: 0 };
    }
    if (signal?.aborted || request.timeoutMs <= 0) {
      this.returnToIdle(reserved);
      const reason = signal?.aborted ? 'cancelled' : 'expired';
      return { kind: 'not-sent', reason, detail: `${reason} before the send`, durationMs: 0 };
    }
    const sentAtMs = this.now();
    const { endpoint, clock, maxBodyBytes = DEFAULT_MAX_BODY_BYTES } = this.options;
    const { dialect = bronzeliftDialect, bufferBudget } = this.options;
    const context = {
      socket: reserved.socket,
      endpoint,
      clock,
      maxBodyBytes,
      bufferBudget,
      dialect,
      isEndedByReset: () => reserved.isEndedByReset,
    };
    const result = await sendAttempt(request, context, signal);
    if (isRepeatable(result.attempt) && request.requestId !== PROBE_REQUEST_ID) {
      reserved.markFailed(request.requestId);
    }
    return this.finishAttempt(reserved, result, sentAtMs);
  }

  /**
   * Closes idle connections that the backend server is about to close, and those that were idle for
   * longer than the idle timeout, except the `minIdle` most recently used connections.
   */
  sweep(): void {
    const { idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS, minIdle = 0 } = this.options;
    const nowMs = this.now();
    const surplus = this.idle.slice(0, Math.max(this.idle.length - minIdle, 0));
    const expired = this.idle.filter(
      (connection) =>
        connection.isStale(nowMs) ||
        (surplus.includes(connection) && connection.lastVerifiedAtMs < nowMs - idleTimeoutMs),
    );
    for (const connection of expired) connection.close('idle', 'idle timeout');
  }

  /** Stops opening connections; closes idle ones now and the others after their request. */
  close(): void {
    this.isClosed = true;
    for (const connection of [...this.idle]) connection.close('pool-closed', 'pool closed');
  }

  /** Closes all connections now; requests in flight fail. */
  destroy(): void {
    this.close();
    for (const connection of [...this.busy]) connection.close('pool-closed', 'pool destroyed');
  }

  /** All connections, idle and busy. */
  connections(): readonly BackendConnection[] {
    return [...this.idle, ...this.busy];
  }

  /** Number of connections in each state. */
  stats(): PoolStats {
    return { idle: this.idle.length, busy: this.busy.size, opening: this.opening };
  }

  private async open(signal: AbortSignal | undefined): Promise<AcquireResult> {
    if (this.isClosed) return this.createUnavailableResult('pool-closed', 'the pool is closed');
    if (!this.ensureCapacity())
      return this.createUnavailableResult('limit', 'all connections are in use');
    const startedAtMs = this.now();
    const { endpoint, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    this.opening += 1;
    const result = await openSocket(endpoint, connectTimeoutMs, signal, this.options.localAddress);
    this.opening -= 1;
    if (result.kind === 'failed') return this.createUnavailableResult(result.reason, result.detail);
    if (this.isClosed) {
      result.socket.destroy();
      return this.createUnavailableResult('pool-closed', 'the pool was closed while connecting');
    }
    this.lastId += 1;
    const connection = PoolConnection.create(
      this.lastId,
      this.options.instanceId,
      this.now(),
      result.socket,
      (closed, reason, detail) => this.removeConnection(closed, reason, detail),
    );
    this.reserve(connection);
    return { kind: 'acquired', connection, isNew: true, connectMs: this.now() - startedAtMs };
  }

  /** Whether a connection can be opened; at the limit, closes the least recently used idle one. */
  private ensureCapacity(): boolean {
    const total = this.idle.length + this.busy.size + this.opening;
    if (total < this.maxConnections) return true;
    const [leastRecent] = this.idle;
    leastRecent?.close('idle', 'replaced by a new connection');
    return leastRecent !== undefined;
  }

  /** Returns the connection to the pool or closes it; fails an attempt with an invalid response. */
  private finishAttempt(
    connection: PoolConnection,
    result: AttemptResult,
    sentAtMs: number,
  ): BackendAttempt {
    const attempt = this.checkResponse(connection, result);
    if (attempt.kind === 'answered' || attempt.kind === 'refused') {
      connection.markResponse(this.now(), result.metadata?.idleTimeoutMs);
    }
    if (result.isReusable && attempt === result.attempt) {
      this.returnToIdle(connection);
      if (connection.hasFailedTooMany) connection.close('in-doubt', 'too many failed requests');
      return attempt;
    }
    const { reason, detail } = describeClose(attempt);
    connection.close(reason, detail);
    const isTimeout = attempt.kind === 'failed-after-send' && attempt.reason === 'timeout';
    if (isTimeout) this.closeUnverifiedIdle(sentAtMs);
    return attempt;
  }

  private checkResponse(connection: PoolConnection, result: AttemptResult): BackendAttempt {
    const { attempt, metadata } = result;
    if (attempt.kind !== 'answered' && attempt.kind !== 'refused') return attempt;
    const problem = findResponseProblem(attempt.response, metadata);
    if (problem === undefined) return attempt;
    const detail = `${problem} (connection ${connection.id} to ${this.peer})`;
    this.options.onViolation('whole-answer', detail);
    const { durationMs } = attempt;
    return { kind: 'failed-after-send', reason: 'mismatched', detail, durationMs };
  }

  /** Closes idle connections that were not verified since a request that timed out was sent. */
  private closeUnverifiedIdle(sentAtMs: number): void {
    const unverified = this.idle.filter(({ lastVerifiedAtMs }) => lastVerifiedAtMs < sentAtMs);
    for (const connection of unverified) {
      connection.close('suspect', 'a request on another connection timed out');
    }
  }

  private reserve(connection: PoolConnection): void {
    connection.markBusy(true);
    this.busy.add(connection);
  }

  private returnToIdle(connection: PoolConnection): void {
    this.busy.delete(connection);
    connection.markBusy(false);
    if (this.isClosed) connection.close('pool-closed', 'pool closed');
    else if (connection.isOpen) this.idle.push(connection);
    else connection.close('ended-by-backend', 'the connection was closed while in use');
  }

  private removeConnection(connection: PoolConnection, reason: CloseReason, detail: string): void {
    this.busy.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    this.options.onConnectionClosed?.({ connection, reason, detail });
  }

  private findReserved(connection: BackendConnection): PoolConnection | undefined {
    const candidate = connection as PoolConnection;
    return this.busy.has(candidate) ? candidate : undefined;
  }

  private createUnavailableResult(reason: NoConnectionReason, detail: string): AcquireResult {
    return { kind: 'not-available', reason, detail: `connect (${this.peer}): ${detail}` };
  }

  private get peer(): string {
    return formatEndpoint(this.options.endpoint);
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
