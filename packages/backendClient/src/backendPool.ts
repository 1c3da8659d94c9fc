import { formatEndpoint } from '@bronzelift/common';

import {
  DEFAULT_CONNECT_TIMEOUT_MS,
  DEFAULT_IDLE_TIMEOUT_MS,
  DEFAULT_MAX_BODY_BYTES,
} from './constants.js';
import { explainClose, findAnswerProblem } from './judgeAttempt.js';
import { openSocket } from './openSocket.js';
import { ownDialect } from './ownDialect.js';
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
  ConnectionNeed,
  NoConnectionReason,
  PoolStats,
} from './types.js';

/** Connections to one instance; each carries one request at a time. */
export class BackendPool {
  /** Idle connections, the one used last at the end. */
  private readonly idle: PoolConnection[] = [];

  private readonly busy = new Set<PoolConnection>();

  private opening = 0;

  private lastId = 0;

  private isClosed = false;

  private maxConnections: number;

  private constructor(private readonly options: BackendPoolOptions) {
    this.maxConnections = options.maxConnections;
  }

  /** Creates a pool without connections. */
  static create(options: BackendPoolOptions): BackendPool {
    return new BackendPool(options);
  }

  /** Changes the limit; connections above it are closed when they are swept or give way. */
  setMaxConnections(maxConnections: number): void {
    this.maxConnections = maxConnections;
  }

  /** Reserves an idle connection that fulfils the need, or opens one if that can fulfil it. */
  async acquire(need: ConnectionNeed, signal?: AbortSignal): Promise<AcquireResult> {
    const idle = this.takeIdle(need);
    if (idle !== undefined) {
      return { kind: 'acquired', connection: idle, isNew: false, connectMs: 0 };
    }
    if (need.openedBeforeMs !== undefined) {
      return this.decline('no-match', 'no idle connection was opened early enough');
    }
    return this.open(signal);
  }

  /** Reserves an idle connection that fulfils the need, the one used last first. */
  takeIdle(need: ConnectionNeed): BackendConnection | undefined {
    const nowMs = this.now();
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const connection = this.idle[index]!;
      if (!connection.fulfils(need, nowMs)) continue;
      this.idle.splice(index, 1);
      this.reserve(connection);
      return connection;
    }
    return undefined;
  }

  /** Idle connections, the one used last first. */
  idleConnections(): BackendConnection[] {
    return this.idle.filter((connection) => connection.isOpen).reverse();
  }

  /** Reserves one certain idle connection; false when it is no longer idle. */
  take(connection: BackendConnection): boolean {
    const index = this.idle.indexOf(connection as PoolConnection);
    if (index < 0 || !connection.isOpen) return false;
    const [taken] = this.idle.splice(index, 1);
    this.reserve(taken!);
    return true;
  }

  /** Gives back a reserved connection that was not used. */
  release(connection: BackendConnection): void {
    const known = this.findReserved(connection);
    if (known?.startSending()) this.park(known);
  }

  /** Sends a request on a reserved connection, which is given back or closed. Never rejects. */
  async send(
    request: BackendRequest,
    connection: BackendConnection,
    signal?: AbortSignal,
  ): Promise<BackendAttempt> {
    const known = this.findReserved(connection);
    if (known !== undefined && !known.startSending()) {
      const detail = `connection ${connection.id} to ${this.peer} carries another request`;
      return { kind: 'not-sent', reason: 'connection-busy', detail, durationMs: 0 };
    }
    if (known === undefined || !known.isOpen) {
      known?.close('in-doubt', 'not open when a request was to be sent');
      const detail = `connection ${connection.id} to ${this.peer} is closed`;
      return { kind: 'not-sent', reason: 'connection-closed', detail, durationMs: 0 };
    }
    if (signal?.aborted || request.timeoutMs <= 0) {
      this.park(known);
      const reason = signal?.aborted ? 'cancelled' : 'expired';
      return { kind: 'not-sent', reason, detail: `${reason} before the send`, durationMs: 0 };
    }
    const sentAtMs = this.now();
    const { endpoint, clock, maxBodyBytes = DEFAULT_MAX_BODY_BYTES } = this.options;
    const { dialect = ownDialect } = this.options;
    const context = {
      socket: known.socket,
      endpoint,
      clock,
      maxBodyBytes,
      dialect,
      isEndedByReset: () => known.isEndedByReset,
    };
    const result = await sendAttempt(request, context, signal);
    return this.conclude(known, result, sentAtMs);
  }

  /**
   * Closes connections that were idle for longer than the idle timeout, all but `minIdle`, and those
   * that their backend server is about to close.
   */
  sweep(): void {
    const { idleTimeoutMs = DEFAULT_IDLE_TIMEOUT_MS, minIdle = 0 } = this.options;
    const nowMs = this.now();
    const surplus = this.idle.slice(0, Math.max(this.idle.length - minIdle, 0));
    const expired = this.idle.filter(
      (connection) =>
        connection.isStale(nowMs) ||
        (surplus.includes(connection) && connection.provenAtMs < nowMs - idleTimeoutMs),
    );
    for (const connection of expired) connection.close('idle', 'idle timeout');
  }

  /** Opens no more connections; idle ones close now, the others after their request. */
  close(): void {
    this.isClosed = true;
    for (const connection of [...this.idle]) connection.close('pool-closed', 'pool closed');
  }

  /** Closes all connections now; requests in flight fail. */
  destroy(): void {
    this.close();
    for (const connection of [...this.busy]) connection.close('pool-closed', 'pool destroyed');
  }

  /** All open connections. */
  connections(): readonly BackendConnection[] {
    return [...this.idle, ...this.busy];
  }

  /** Connections by state. */
  stats(): PoolStats {
    return { idle: this.idle.length, busy: this.busy.size, opening: this.opening };
  }

  private async open(signal: AbortSignal | undefined): Promise<AcquireResult> {
    if (this.isClosed) return this.decline('pool-closed', 'the pool is closed');
    if (!this.makeRoom()) return this.decline('limit', 'all connections are in use');
    const startedAtMs = this.now();
    const { endpoint, connectTimeoutMs = DEFAULT_CONNECT_TIMEOUT_MS } = this.options;
    this.opening += 1;
    const result = await openSocket(endpoint, connectTimeoutMs, signal);
    this.opening -= 1;
    if (result.kind === 'failed') return this.decline(result.reason, result.detail);
    if (this.isClosed) {
      result.socket.destroy();
      return this.decline('pool-closed', 'the pool closed during the connect');
    }
    this.lastId += 1;
    const connection = PoolConnection.create(
      this.lastId,
      this.options.instanceId,
      this.now(),
      result.socket,
      (closed, reason, detail) => this.forget(closed, reason, detail),
    );
    this.reserve(connection);
    return { kind: 'acquired', connection, isNew: true, connectMs: this.now() - startedAtMs };
  }

  /** Whether a connection can be opened; an idle one that was of no use gives way. */
  private makeRoom(): boolean {
    const total = this.idle.length + this.busy.size + this.opening;
    if (total < this.maxConnections) return true;
    const [leastRecent] = this.idle;
    leastRecent?.close('idle', 'replaced by a new connection');
    return leastRecent !== undefined;
  }

  /** Decides what becomes of the connection; an answer that is not whole is never passed on. */
  private conclude(
    connection: PoolConnection,
    result: AttemptResult,
    sentAtMs: number,
  ): BackendAttempt {
    const attempt = this.assertWholeAnswer(connection, result);
    if (attempt.kind === 'answered' || attempt.kind === 'refused') {
      connection.markResponse(this.now(), result.proof?.idleTimeoutMs);
    }
    if (result.isReusable && attempt === result.attempt) {
      this.park(connection);
      return attempt;
    }
    const { reason, detail } = explainClose(attempt);
    connection.close(reason, detail);
    const isSilent = attempt.kind === 'failed-after-send' && attempt.reason === 'timeout';
    if (isSilent) this.closeSuspects(sentAtMs);
    return attempt;
  }

  private assertWholeAnswer(connection: PoolConnection, result: AttemptResult): BackendAttempt {
    const { attempt, proof } = result;
    if (attempt.kind !== 'answered' && attempt.kind !== 'refused') return attempt;
    const problem = findAnswerProblem(attempt.response, proof);
    if (problem === undefined) return attempt;
    const detail = `${problem} on connection ${connection.id} to ${this.peer}`;
    this.options.onViolation('whole-answer', detail);
    const { durationMs } = attempt;
    return { kind: 'failed-after-send', reason: 'mismatched', detail, durationMs };
  }

  /** After a silence, idle connections without a response since may be silent as well. */
  private closeSuspects(sentAtMs: number): void {
    const suspects = this.idle.filter(({ provenAtMs }) => provenAtMs < sentAtMs);
    for (const connection of suspects) {
      connection.close('suspect', 'another connection went silent');
    }
  }

  private reserve(connection: PoolConnection): void {
    connection.markBusy(true);
    this.busy.add(connection);
  }

  private park(connection: PoolConnection): void {
    this.busy.delete(connection);
    connection.markBusy(false);
    if (this.isClosed) connection.close('pool-closed', 'pool closed');
    else if (connection.isOpen) this.idle.push(connection);
    else connection.close('ended-by-backend', 'ended while in use');
  }

  private forget(connection: PoolConnection, reason: CloseReason, detail: string): void {
    this.busy.delete(connection);
    const index = this.idle.indexOf(connection);
    if (index >= 0) this.idle.splice(index, 1);
    this.options.onConnectionClosed?.({ connection, reason, detail });
  }

  private findReserved(connection: BackendConnection): PoolConnection | undefined {
    const known = connection as PoolConnection;
    return this.busy.has(known) ? known : undefined;
  }

  private decline(reason: NoConnectionReason, detail: string): AcquireResult {
    return { kind: 'not-available', reason, detail: `connect (${this.peer}): ${detail}` };
  }

  private get peer(): string {
    return formatEndpoint(this.options.endpoint);
  }

  private now(): number {
    return this.options.clock.monotonicMs();
  }
}
