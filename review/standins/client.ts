import { once } from 'node:events';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

import { HOST_NAME } from './world.js';

/** Complete answer that a client read; times are in milliseconds since the start of the process. */
export interface Answer {
  readonly status: number;
  readonly requestId: string;
  readonly body: string;
  readonly isSigned: boolean;
  readonly closesConnection: boolean;
  readonly atMs: number;
}

/** What became of a request. */
export interface Sent {
  readonly requestId: string;
  readonly path: string;
  readonly lastByteAtMs: number;
  answer: Answer | undefined;
  /** Time at which the connection ended without an answer; undefined if it did not. */
  cutAtMs: number | undefined;
}

/** Request of a client. */
export interface ClientRequest {
  readonly requestId: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: string;
  readonly deadlineMs: number;
}

const END_OF_HEAD = '\r\n\r\n';

/** Client connection that may carry several requests before the first one is answered. */
export class ClientConnection {
  readonly sent: Sent[] = [];

  private buffered = '';

  private answeredCount = 0;

  private constructor(private readonly socket: Socket) {
    socket.setNoDelay(true);
    socket.on('data', (data) => this.read(data.toString('latin1')));
    socket.on('error', () => {});
    socket.on('close', () => this.end());
  }

  /** Opens a connection. */
  static async open(host: string, port: number): Promise<ClientConnection> {
    const socket = connect({ host, port });
    await once(socket, 'connect');
    return new ClientConnection(socket);
  }

  get isOpen(): boolean {
    return !this.socket.destroyed && this.socket.writable;
  }

  /** Sends a whole request. */
  send({ requestId, method, path, body = '', deadlineMs }: ClientRequest): Sent {
    const length = method === 'POST' ? `Content-Length: ${Buffer.byteLength(body)}\r\n` : '';
    this.socket.write(
      `${method} ${path} HTTP/1.1\r\nHost: ${HOST_NAME}\r\nRequest-Id: ${requestId}\r\n` +
        `Deadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`,
    );
    const sent: Sent = {
      requestId,
      path,
      lastByteAtMs: performance.now(),
      answer: undefined,
      cutAtMs: undefined,
    };
    this.sent.push(sent);
    return sent;
  }

  /** Closes the connection. */
  close(): void {
    this.socket.destroy();
  }

  private read(text: string): void {
    this.buffered += text;
    for (;;) {
      const end = this.buffered.indexOf(END_OF_HEAD);
      if (end < 0) return;
      const head = this.buffered.slice(0, end);
      const length = Number(/^content-length: *(\d+)/im.exec(head)?.[1] ?? 0);
      const total = end + END_OF_HEAD.length + length;
      if (this.buffered.length < total) return;
      const body = this.buffered.slice(end + END_OF_HEAD.length, total);
      this.buffered = this.buffered.slice(total);
      const sent = this.sent[this.answeredCount];
      this.answeredCount += 1;
      if (sent === undefined) continue;
      sent.answer = {
        status: Number(/^HTTP\/1\.1 (\d+)/.exec(head)?.[1] ?? 0),
        requestId: /^request-id: *(\S+)/im.exec(head)?.[1] ?? '',
        body,
        isSigned: /^response-signature:/im.test(head),
        closesConnection: /^connection: *close/im.test(head),
        atMs: performance.now(),
      };
    }
  }

  private end(): void {
    for (const sent of this.sent) {
      if (sent.answer === undefined) sent.cutAtMs ??= performance.now();
    }
  }
}
