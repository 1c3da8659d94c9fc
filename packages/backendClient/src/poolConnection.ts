import type { Socket } from 'node:net';

import { describeError } from '@bronzelift/common';
import type { InstanceId } from '@bronzelift/common';

import { IDLE_CLOSE_MARGIN_MS, MAX_FAILED_IDS } from './constants.js';
import type { BackendConnection, CloseReason, ConnectionRequirements } from './types.js';

/** A pooled connection and its socket; closes itself on unexpected data or errors. */
export class PoolConnection implements BackendConnection {
  private responseAtMs: number | undefined;

  /** Idle time during which the backend server certainly keeps the connection open. */
  private maxIdleMs = Infinity;

  private isReserved = true;

  private isSending = false;

  private hasEndedByReset = false;

  /** Requests that the backend server refused or failed on this connection. */
  private readonly failedIds = new Set<string>();

  private closing: { readonly reason: CloseReason; readonly detail: string } | undefined;

  private constructor(
    readonly id: number,
    readonly instanceId: InstanceId,
    readonly openedAtMs: number,
    readonly socket: Socket,
    private readonly onClosed: (
      connection: PoolConnection,
      reason: CloseReason,
      detail: string,
    ) => void,
  ) {
    let errorText: string | undefined;
    socket.on('error', (error) => {
      errorText = describeError(error);
    });
    socket.on('data', () => {
      if (!this.isSending) this.close('in-doubt', 'data arrived without a request');
    });
    socket.on('end', () => {
      // A reset that arrives together with data is reported as an orderly end, but the socket then
      // has no remote address.
      this.hasEndedByReset = socket.remoteAddress === undefined;
      // While a request is in flight, the handlers of its attempt decide.
      if (!this.isSending)
        this.close('ended-by-backend', 'the backend server closed the connection');
    });
    socket.once('close', () => {
      const reason = errorText === undefined ? 'ended-by-backend' : 'reset';
      this.close(reason, errorText ?? 'the backend server closed the connection');
    });
  }

  /** Creates a reserved connection from a socket that has just been opened. */
  static create(
    id: number,
    instanceId: InstanceId,
    openedAtMs: number,
    socket: Socket,
    onClosed: (connection: PoolConnection, reason: CloseReason, detail: string) => void,
  ): PoolConnection {
    return new PoolConnection(id, instanceId, openedAtMs, socket, onClosed);
  }

  get lastResponseAtMs(): number | undefined {
    return this.responseAtMs;
  }

  /** Whether the connection is reserved for a request or used by one. */
  get isBusy(): boolean {
    return this.isReserved;
  }

  get isOpen(): boolean {
    return this.closing === undefined && this.socket.readyState === 'open';
  }

  /** Whether the end of the stream was a reset and not an orderly end. */
  get isEndedByReset(): boolean {
    return this.hasEndedByReset;
  }

  /** Latest time at which the connection was known to work: the last response or the opening. */
  get lastVerifiedAtMs(): number {
    return this.responseAtMs ?? this.openedAtMs;
  }

  /** Marks the connection as reserved or as returned to the pool. */
  markBusy(isBusy: boolean): void {
    this.isReserved = isBusy;
    this.isSending = false;
  }

  /** Marks a request as being sent; false if the connection carries one already. */
  startSending(): boolean {
    if (this.isSending) return false;
    this.isSending = true;
    return true;
  }

  /** Records a complete response and the idle timeout that the backend server sent with it. */
  markResponse(nowMs: number, idleTimeoutMs: number | undefined): void {
    this.responseAtMs = nowMs;
    if (idleTimeoutMs !== undefined) this.maxIdleMs = idleTimeoutMs - IDLE_CLOSE_MARGIN_MS;
  }

  /** Records that the backend server refused or failed a request on this connection. */
  markFailed(requestId: string): void {
    this.failedIds.add(requestId);
  }

  /**
   * Whether the connection must not carry a request again: a late copy of its first answer would
   * name the same request.
   */
  hasFailed(requestId: string): boolean {
    return this.failedIds.has(requestId);
  }

  /** Whether the connection cannot remember another failed request. */
  get hasFailedTooMany(): boolean {
    return this.failedIds.size >= MAX_FAILED_IDS;
  }

  /** Whether the connection has been idle for so long that its backend server may close it. */
  isStale(nowMs: number): boolean {
    return nowMs - this.lastVerifiedAtMs > this.maxIdleMs;
  }

  /** Whether the idle connection meets all requirements. */
  meets(requirements: ConnectionRequirements, nowMs: number): boolean {
    if (!this.isOpen || requirements.isNew || this.isStale(nowMs)) return false;
    const { openedBeforeMs, verifiedWithinMs } = requirements;
    const isOldEnough = openedBeforeMs === undefined || this.openedAtMs < openedBeforeMs;
    const isVerified =
      verifiedWithinMs === undefined || nowMs - this.lastVerifiedAtMs <= verifiedWithinMs;
    return isOldEnough && isVerified;
  }

  /** Closes the connection; only the first call has an effect. */
  close(reason: CloseReason, detail: string): void {
    if (this.closing !== undefined) return;
    this.closing = { reason, detail };
    this.socket.destroy();
    this.onClosed(this, reason, detail);
  }
}
