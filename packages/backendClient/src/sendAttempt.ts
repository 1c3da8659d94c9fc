import { request as createHttpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { describeError } from '@bronzelift/common';
import type { Clock, Endpoint } from '@bronzelift/common';

import { BodyCollector } from './bodyCollector.js';
import type { BufferBudget } from './bufferBudget.js';
import {
  MAX_OVERHEAD_BYTES,
  MAX_OVERHEAD_SHARE,
  MAX_TIMER_MS,
  PROBE_REQUEST_ID,
} from './constants.js';
import type {
  BackendAttempt,
  BackendDialect,
  BackendRequest,
  BackendResponse,
  SentFailureReason,
} from './types.js';
import { isBodyless, readContentLength, readIdleTimeoutMs } from './utils.js';

/** Connection, limits and dialect that an attempt uses. */
export interface AttemptContext {
  readonly socket: Socket;
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly maxBodyBytes: number;
  readonly bufferBudget: BufferBudget | undefined;
  readonly dialect: BackendDialect;
  /** Whether the connection was reset although its end was reported as orderly. */
  readonly isEndedByReset: () => boolean;
}

/** Header values and state of a response that are checked before it is passed on. */
export interface ResponseMetadata {
  readonly requestId: string;
  readonly answeredId: string | undefined;
  /** Content length; undefined if the response has no body or no such header. */
  readonly contentLengthBytes: number | undefined;
  readonly isComplete: boolean;
  /** Idle time after which the backend server closes the connection; undefined if not sent. */
  readonly idleTimeoutMs: number | undefined;
}

/** Result of an attempt, and whether its connection can be used again. */
export interface AttemptResult {
  readonly attempt: BackendAttempt;
  /** Whether the connection may carry another request. */
  readonly isReusable: boolean;
  /** Undefined if there is no complete response. */
  readonly metadata: ResponseMetadata | undefined;
}

/** Sends one request on one connection and collects its response. */
class Attempt {
  private readonly startedAtMs: number;

  private readonly body = BodyCollector.create();

  /** Bytes that the connection had received before this attempt. */
  private readonly firstByte: number;

  private response: IncomingMessage | undefined;

  /** True once Node has the socket and writes to it, one tick after the request is created. */
  private isWritten = false;

  private isFinished = false;

  private readonly httpRequest: ClientRequest;

  private readonly timer: NodeJS.Timeout;

  private readonly onAbort = (): void => this.fail('cancelled', 'cancelled by the caller');

  private readonly onSocketData = (data: Buffer): void => this.checkOverhead(data.length);

  private readonly bufferOwner = { evict: () => this.reportTooLarge() };

  private constructor(
    private readonly request: BackendRequest,
    private readonly context: AttemptContext,
    private readonly signal: AbortSignal | undefined,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.startedAtMs = context.clock.monotonicMs();
    this.firstByte = context.socket.bytesRead;
    this.httpRequest = createHttpRequest({
      createConnection: () => context.socket,
      method: request.method,
      path: request.path,
      headers: context.dialect.createRequestHeaders(request, context.endpoint),
    });
    this.timer = setTimeout(
      () => {
        // After a pause of the process, this timer runs before sockets are read. A response that
        // has already arrived is read before the immediate runs.
        setImmediate(() => this.fail('timeout', `no response within ${request.timeoutMs} ms`));
      },
      Math.min(request.timeoutMs, MAX_TIMER_MS),
    );
    signal?.addEventListener('abort', this.onAbort, { once: true });
    this.listen();
    this.httpRequest.end(request.body);
  }

  /** Starts an attempt; its listeners keep it alive until it calls `resolve`. */
  static start(
    request: BackendRequest,
    context: AttemptContext,
    signal: AbortSignal | undefined,
    resolve: (result: AttemptResult) => void,
  ): Attempt {
    return new Attempt(request, context, signal, resolve);
  }

  private listen(): void {
    this.context.socket.on('data', this.onSocketData);
    this.httpRequest
      .on('socket', () => {
        this.isWritten = true;
      })
      .on('response', (response) => this.receive(response))
      .on('upgrade', () => this.fail('malformed', 'the backend server changed the protocol'))
      .on('error', (error: NodeJS.ErrnoException) => {
        const isParseError = error.code?.startsWith('HPE_') ?? false;
        this.fail(isParseError ? 'malformed' : this.connectionLossReason(), describeError(error));
      })
      .on('close', () => this.complete());
  }

  private receive(response: IncomingMessage): void {
    this.response = response;
    const { requestId } = this.request;
    const { dialect } = this.context;
    const answeredId = dialect.readAnsweredId(response.headers);
    if (answeredId !== undefined && answeredId !== requestId) {
      this.fail('mismatched', `the response names request ${answeredId}, expected ${requestId}`);
      return;
    }
    // Without an id, it may be a second copy of an earlier refusal on this connection.
    const isUnnamedRefusal =
      answeredId === undefined &&
      requestId !== PROBE_REQUEST_ID &&
      dialect.isRefusal(response.statusCode!, response.headers);
    if (isUnnamedRefusal) {
      this.fail('mismatched', 'the refusal names no request');
      return;
    }
    const problem = dialect.findHeadProblem(this.request, response.statusCode!, response.headers);
    if (problem !== undefined) {
      this.fail('mismatched', problem);
      return;
    }
    const hasBody = !isBodyless(this.request.method, response.statusCode!);
    const contentLengthBytes = hasBody ? (readContentLength(response.headers) ?? 0) : 0;
    if (contentLengthBytes > this.context.maxBodyBytes) {
      this.reportTooLarge();
      return;
    }
    response.on('data', (chunk: Buffer) => this.add(chunk));
    response.on('error', (error) => this.fail('cut-short', describeError(error)));
    response.on('end', () => {
      // For a connection that stays open, the `close` event completes the attempt: only then can
      // the connection be used again.
      if (!this.httpRequest.shouldKeepAlive) this.complete();
    });
  }

  private add(piece: Buffer): void {
    if (this.isFinished) return;
    this.body.append(piece);
    if (this.body.sizeBytes > this.context.maxBodyBytes) {
      this.reportTooLarge();
      return;
    }
    this.context.bufferBudget?.add(this.bufferOwner, piece.length);
  }

  /**
   * Fails a response that goes on without content: blank lines or interim responses before it, or
   * chunks that are almost all framing. The parser accepts these without an end.
   */
  private checkOverhead(newBytes: number): void {
    // The new bytes have not been parsed yet.
    const parsedBytes = this.context.socket.bytesRead - newBytes - this.firstByte;
    const overheadBytes = parsedBytes - this.body.sizeBytes;
    const limitBytes = MAX_OVERHEAD_BYTES + this.body.sizeBytes * MAX_OVERHEAD_SHARE;
    if (overheadBytes <= limitBytes) return;
    this.fail('malformed', `${overheadBytes} bytes of headers and framing`);
  }

  private complete(): void {
    if (this.isFinished) return;
    const { response, httpRequest } = this;
    if (response === undefined) {
      this.fail('reset', 'the connection closed without a response');
      return;
    }
    const problem = this.findProblem(response);
    if (problem !== undefined) {
      this.fail('cut-short', problem);
      return;
    }
    const { shouldKeepAlive } = httpRequest;
    if (shouldKeepAlive && this.context.socket.destroyed) {
      this.fail('malformed', 'the backend server sent bytes after the response');
      return;
    }
    const durationMs = this.elapsedMs();
    const isRefusal = this.context.dialect.isRefusal(response.statusCode!, response.headers);
    const kind = isRefusal ? 'refused' : 'answered';
    const answer = this.createResponse(response);
    const metadata = this.createMetadata(response);
    this.finish({ kind, response: answer, durationMs }, shouldKeepAlive, metadata);
  }

  /** Returns why the response is not complete; undefined if it is. */
  private findProblem(response: IncomingMessage): string | undefined {
    if (!response.complete)
      return `the connection closed after ${this.body.sizeBytes} bytes of the body`;
    if (isBodyless(this.request.method, response.statusCode!)) return undefined;
    const contentLengthBytes = readContentLength(response.headers);
    if (contentLengthBytes !== undefined && contentLengthBytes !== this.body.sizeBytes) {
      return `the body has ${this.body.sizeBytes} of ${contentLengthBytes} bytes`;
    }
    const isChunked = response.headers['transfer-encoding'] !== undefined;
    // A body delimited by the end of its connection looks complete even if its sender was stopped.
    const isUnframed = contentLengthBytes === undefined && !isChunked;
    if (isUnframed && this.context.isEndedByReset())
      return 'the connection was reset in a body without a length';
    if (isUnframed && !this.context.dialect.allowsUnframedBody) return 'the body has no length';
    return undefined;
  }

  private createResponse(response: IncomingMessage): BackendResponse {
    const status = response.statusCode!;
    const body = this.body.toBuffer();
    const bodyBytes = isBodyless(this.request.method, status) ? undefined : body.length;
    return {
      status,
      headers: this.context.dialect.createResponseHeaders(response.headers, bodyBytes),
      body,
      load: this.context.dialect.readLoad(response.headers),
    };
  }

  private createMetadata({ headers, complete, statusCode }: IncomingMessage): ResponseMetadata {
    const { requestId, method } = this.request;
    return {
      requestId,
      answeredId: this.context.dialect.readAnsweredId(headers),
      contentLengthBytes: isBodyless(method, statusCode!) ? undefined : readContentLength(headers),
      isComplete: complete,
      idleTimeoutMs: readIdleTimeoutMs(headers),
    };
  }

  private reportTooLarge(): void {
    const { statusCode, headers } = this.response!;
    const attempt = {
      kind: 'too-large',
      status: statusCode!,
      receivedBytes: this.body.sizeBytes,
      isLengthDeclared: readContentLength(headers) !== undefined,
      durationMs: this.elapsedMs(),
    } as const;
    this.finish(attempt, false);
  }

  private fail(reason: SentFailureReason, detail: string): void {
    const durationMs = this.elapsedMs();
    if (this.isWritten) {
      this.finish({ kind: 'failed-after-send', reason, detail, durationMs }, false);
      return;
    }
    const notSent = reason === 'cancelled' ? reason : 'connection-closed';
    this.finish({ kind: 'not-sent', reason: notSent, detail, durationMs }, false);
  }

  private finish(attempt: BackendAttempt, isReusable: boolean, metadata?: ResponseMetadata): void {
    if (this.isFinished) return;
    this.isFinished = true;
    clearTimeout(this.timer);
    this.signal?.removeEventListener('abort', this.onAbort);
    this.context.socket.off('data', this.onSocketData);
    this.context.bufferBudget?.release(this.bufferOwner);
    if (!isReusable) this.httpRequest.destroy();
    this.resolve({ attempt, isReusable, metadata });
  }

  private connectionLossReason(): 'cut-short' | 'reset' {
    return this.response === undefined ? 'reset' : 'cut-short';
  }

  private elapsedMs(): number {
    return this.context.clock.monotonicMs() - this.startedAtMs;
  }
}

/** Sends a request on an open connection that no other request uses. Never rejects. */
export const sendAttempt = (
  request: BackendRequest,
  context: AttemptContext,
  signal: AbortSignal | undefined,
): Promise<AttemptResult> =>
  new Promise((resolve) => {
    try {
      Attempt.start(request, context, signal, resolve);
    } catch (error) {
      // Node rejects some paths, methods and header values before it uses the socket.
      const detail = describeError(error);
      const attempt = {
        kind: 'not-sent',
        reason: 'invalid-request',
        detail,
        durationMs: 0,
      } as const;
      resolve({ attempt, isReusable: true, metadata: undefined });
    }
  });
