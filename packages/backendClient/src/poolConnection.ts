import type { Socket } from 'node:net';

import { describeError } from '@bronzelift/common';
import type { InstanceId } from '@bronzelift/common';

import { IDLE_CLOSE_MARGIN_MS } from './constants.js';
import type { BackendConnection, CloseReason, ConnectionNeed } from './types.js';

/** A connection of a pool, with its socket. */
export class PoolConnection implements BackendConnection {
  private responseAtMs: number | undefined;

  /** Idle time within which the backend server keeps the connection open. */
  private usableForMs = Infinity;

  private isReserved = true;

  private isSending = false;

  private hasEndedByReset = false;

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
      if (!this.isSending) this.close('in-doubt', 'data without a request');
    });
    socket.on('end', () => {
      // A reset that arrives together with data shows as an orderly end, but leaves no peer behind.
      this.hasEndedByReset = socket.remoteAddress === undefined;
      // While a request is in flight, its own handlers decide first.
      if (!this.isSending) this.close('ended-by-backend', 'ended by the backend server');
    });
    socket.once('close', () => {
      const reason = errorText === undefined ? 'ended-by-backend' : 'reset';
      this.close(reason, errorText ?? 'ended by the backend server');
    });
  }

  /** Wraps a socket that has just been opened. */
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

  /** Reserved for a request or used by one. */
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

  /** Latest time at which the connection was known to work. */
  get provenAtMs(): number {
    return this.responseAtMs ?? this.openedAtMs;
  }

  /** Reserves the connection or gives it back. */
  markBusy(isBusy: boolean): void {
    this.isReserved = isBusy;
    this.isSending = false;
  }

  /** Takes the connection for a request; false when it carries one already. */
  startSending(): boolean {
    if (this.isSending) return false;
    this.isSending = true;
    return true;
  }

  /** Notes a complete response, and the idle time that the backend server stated with it. */
  markResponse(nowMs: number, idleTimeoutMs: number | undefined): void {
    this.responseAtMs = nowMs;
    if (idleTimeoutMs !== undefined) this.usableForMs = idleTimeoutMs - IDLE_CLOSE_MARGIN_MS;
  }

  /** Whether the connection was idle for so long that its backend server may close it. */
  isStale(nowMs: number): boolean {
    return nowMs - this.provenAtMs > this.usableForMs;
  }

  /** Whether an idle connection fulfils a need. */
  fulfils(need: ConnectionNeed, nowMs: number): boolean {
    if (!this.isOpen || need.isNew || this.isStale(nowMs)) return false;
    const { openedBeforeMs, provenWithinMs } = need;
    const isOldEnough = openedBeforeMs === undefined || this.openedAtMs < openedBeforeMs;
    const isProven = provenWithinMs === undefined || nowMs - this.provenAtMs <= provenWithinMs;
    return isOldEnough && isProven;
  }

  /** Closes the connection; only the first reason counts. */
  close(reason: CloseReason, detail: string): void {
    if (this.closing !== undefined) return;
    this.closing = { reason, detail };
    this.socket.destroy();
    this.onClosed(this, reason, detail);
  }
}
