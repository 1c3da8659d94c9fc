import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { LINGER_MS } from './constants.js';

/**
 * Connection of a caller, with all requests that it has read. In a planned shutdown, the last
 * response that its caller waits for announces the end of the connection.
 */
export class CallerConnection {
  /** Responses that are not completely written, in the order of their requests. */
  private readonly unanswered = new Set<ServerResponse>();

  /** Bytes that had been received when the latest response was complete; undefined before it. */
  private answeredBytes: number | undefined;

  private closing = false;

  private lingering = false;

  private constructor(private readonly socket: Socket) {
    // The HTTP server calls this after a response that closes the connection.
    Object.assign(socket, { destroySoon: () => this.close() });
  }

  static create(socket: Socket): CallerConnection {
    return new CallerConnection(socket);
  }

  /** Whether the connection is about to be closed; requests that arrive now are not read. */
  get isClosing(): boolean {
    return this.closing;
  }

  /** Whether the connection is ended, and its caller has not closed it yet. */
  get isLingering(): boolean {
    return this.lingering;
  }

  /** Whether a part of a request may have arrived since the latest response. */
  get isReceiving(): boolean {
    const hasNewBytes = this.socket.bytesRead > (this.answeredBytes ?? 0);
    return hasNewBytes && this.unanswered.size === 0 && !this.closing;
  }

  /** Whether the connection has carried requests and carries none now. */
  private get isIdle(): boolean {
    return this.answeredBytes !== undefined && this.unanswered.size === 0 && !this.isReceiving;
  }

  /** Records a request that was read. */
  addRequest(response: ServerResponse): void {
    this.unanswered.add(response);
  }

  /** Records that a response is completely written, or that the connection is closed. */
  endRequest(response: ServerResponse): void {
    this.unanswered.delete(response);
    if (this.unanswered.size > 0) return;
    this.answeredBytes = this.socket.bytesRead;
    if (this.closing) this.close();
  }

  /** Whether no request has been read after the one of this response. */
  isLast(response: ServerResponse): boolean {
    return [...this.unanswered].at(-1) === response;
  }

  /** Takes no further requests; the last response closes the connection. */
  markClosing(): void {
    this.closing = true;
  }

  /** Closes the connection if it is idle, else after the responses that its caller waits for. */
  closeWhenAnswered(): void {
    if (this.isIdle) this.close();
    else if (this.unanswered.size > 0) this.markClosing();
  }

  /**
   * Ends the connection, and reads on until its caller has closed it: closing a connection with
   * unread bytes resets it, and responses in transit are lost.
   */
  private close(): void {
    if (this.lingering || this.socket.destroyed) return;
    this.closing = true;
    this.lingering = true;
    this.socket.end();
    this.socket.resume();
    const limit = setTimeout(() => this.socket.destroy(), LINGER_MS);
    this.socket.once('close', () => {
      this.lingering = false;
      clearTimeout(limit);
    });
  }
}
