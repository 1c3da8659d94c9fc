import { createServer } from 'node:http';
import type { IncomingMessage, OutgoingHttpHeaders, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import { assertNever, describeError } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';

import { CallerConnection } from './callerConnection.js';
import {
  DEFAULT_IDLE_TIMEOUT_MS,
  DEFAULT_MAX_BODY_BYTES,
  MAX_HEADER_BYTES,
  READ_ARRIVED_LIMIT_MS,
} from './constants.js';
import type { RequestHandler } from './requestHandler.js';
import type { CallerLimits, FailureReason, GatewayAnswer, GatewayProtocol } from './types.js';

/** Dependencies of a CallerServer. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly protocol: GatewayProtocol;
  readonly handler: RequestHandler;
  /** Whether a planned shutdown is in progress; responses then close their connections. */
  readonly isStopping: () => boolean;
}

type BodyResult =
  | { readonly kind: 'read'; readonly body: Buffer | undefined }
  | { readonly kind: 'too-large' }
  | { readonly kind: 'aborted' };

const FAILURE_STATUS: Readonly<Record<FailureReason, number>> = {
  timeout: 504,
  'instance-failed': 502,
  'caller-gone': 502,
  'too-large': 502,
};

const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;

const readBody = (message: IncomingMessage, maxBytes: number): Promise<BodyResult> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    message.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= maxBytes) chunks.push(chunk);
      else resolve({ kind: 'too-large' });
    });
    message.on('end', () => resolve({ kind: 'read', body: Buffer.concat(chunks) }));
    message.on('error', () => resolve({ kind: 'aborted' }));
    message.on('close', () => resolve({ kind: 'aborted' }));
  });

const waitForPoll = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** HTTP server that reads callers' requests and writes their responses. */
export class CallerServer {
  readonly server: Server;

  private readonly connections = new Map<Socket, CallerConnection>();

  private inFlightCount = 0;

  private acceptedCount = 0;

  private isRefusing = false;

  private maxBodyBytes = DEFAULT_MAX_BODY_BYTES;

  private constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true, keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS },
      (message, response) => {
        this.handle(message, response).catch((error: unknown) => {
          options.log.error(LogComponent.daemon, 'request failed', { error: describeError(error) });
          response.destroy();
        });
      },
    );
    this.server.on('connection', (socket: Socket) => this.accept(socket));
    // The server's own method, which `close` calls, also destroys connections whose last response
    // is not flushed yet.
    this.server.closeIdleConnections = () => this.closeConnections();
  }

  /** Creates the server without listening; call `server.listen`. */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Number of requests without a complete response. */
  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Number of connections on which a request is arriving, or a response may be in transit. */
  get unsettledConnections(): number {
    return [...this.connections.values()].filter(
      ({ isReceiving, isLingering }) => isReceiving || isLingering,
    ).length;
  }

  /**
   * Accepts no more connections, closes those without a request, and the others after the responses
   * that their callers wait for. Requests that arrive from now on are refused.
   */
  async stopAccepting(): Promise<void> {
    this.isRefusing = true;
    await this.readArrived();
    this.server.close();
  }

  /** Resolves when requests that arrived while the process was busy are read. */
  async readArrived(): Promise<void> {
    const { clock } = this.options;
    const untilMs = clock.monotonicMs() + READ_ARRIVED_LIMIT_MS;
    let formerCount: number;
    // Each poll accepts one connection; a connection is read in the poll after that.
    do {
      formerCount = this.acceptedCount;
      await waitForPoll();
    } while (this.acceptedCount > formerCount && clock.monotonicMs() < untilMs);
    await waitForPoll();
  }

  /** Applies the limits for callers from a configuration. */
  setLimits({ maxBodyBytes, headerTimeoutMs, idleTimeoutMs }: CallerLimits): void {
    this.maxBodyBytes = maxBodyBytes;
    this.server.headersTimeout = headerTimeoutMs;
    this.server.keepAliveTimeout = idleTimeoutMs;
  }

  private accept(socket: Socket): void {
    // Each pipelined request on a connection adds a listener to its socket.
    socket.setMaxListeners(0);
    this.acceptedCount += 1;
    this.connections.set(socket, CallerConnection.create(socket));
    socket.once('close', () => this.connections.delete(socket));
  }

  private closeConnections(): void {
    for (const connection of this.connections.values()) connection.closeWhenAnswered();
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connections.get(message.socket);
    if (connection === undefined || connection.isClosing) {
      // Its caller sends the request again, since it follows a response that closes the connection.
      message.resume();
      return;
    }
    const isLate = this.isRefusing;
    const arrivedAtMs = this.options.clock.monotonicMs();
    const caller = this.trackCaller(message.socket, connection, response);
    const { requestId, waitMs } = this.options.protocol.readCallerHeaders(message.headers);
    if (requestId === undefined) {
      this.write(response, 400, {}, 'the request has no id');
      return;
    }
    const body: BodyResult = hasBody(message)
      ? await readBody(message, this.maxBodyBytes)
      : { kind: 'read', body: undefined };
    if (body.kind === 'aborted') return;
    if (body.kind === 'too-large') {
      response.setHeader('connection', 'close');
      this.write(response, 413, {}, 'the body is too large');
      return;
    }
    if (isLate) {
      this.options.log.info(LogComponent.admit, 'refused', {
        request: requestId,
        reason: 'stopping',
      });
      this.writeAnswer(response, { kind: 'refused', reason: 'stopping', retryAfterMs: 0 });
      return;
    }
    const request = {
      requestId,
      method: message.method ?? 'GET',
      path: message.url ?? '/',
      headers: message.headers,
      body: body.body,
      arrivedAtMs,
      callerWaitMs: waitMs ?? Infinity,
      signal: caller.signal,
    };
    const answer = await this.options.handler.handle(request, message.headers.host);
    if (!caller.signal.aborted) this.writeAnswer(response, answer);
  }

  /**
   * Counts a request as in flight until its response is written or its connection closes; a closed
   * connection cancels it.
   */
  private trackCaller(
    socket: Socket,
    connection: CallerConnection,
    response: ServerResponse,
  ): AbortController {
    const caller = new AbortController();
    this.inFlightCount += 1;
    connection.addRequest(response);
    // When a connection closes, both listeners may be called.
    let hasEnded = false;
    const end = (): void => {
      if (hasEnded) return;
      hasEnded = true;
      response.off('close', end);
      socket.off('close', end);
      this.inFlightCount -= 1;
      connection.endRequest(response);
      if (!response.writableFinished) caller.abort();
    };
    response.once('close', end);
    // A pipelined response that waits for an earlier one has no socket yet, so it emits no close
    // event.
    socket.once('close', end);
    return caller;
  }

  private writeAnswer(response: ServerResponse, answer: GatewayAnswer): void {
    switch (answer.kind) {
      case 'answered':
        this.write(response, answer.status, answer.headers, answer.body);
        return;
      case 'not-found':
        this.write(response, 404, {}, 'no route matches host and path');
        return;
      case 'refused': {
        const headers = this.options.protocol.createRefusalHeaders(answer.retryAfterMs);
        this.write(response, 503, headers, `not run: ${answer.reason}`);
        return;
      }
      case 'failed':
        this.write(response, FAILURE_STATUS[answer.reason], {}, answer.reason);
        return;
      default:
        assertNever(answer);
    }
  }

  private write(
    response: ServerResponse,
    status: number,
    headers: OutgoingHttpHeaders,
    body: Buffer | string,
  ): void {
    const connection = this.connections.get(response.req.socket);
    if (this.options.isStopping() && connection?.isLast(response)) {
      response.setHeader('connection', 'close');
    }
    if (response.getHeader('connection') === 'close') connection?.markClosing();
    response.writeHead(status, {
      ...headers,
      ...(typeof body === 'string' ? { 'content-length': Buffer.byteLength(body) } : {}),
    });
    response.end(body);
  }
}
