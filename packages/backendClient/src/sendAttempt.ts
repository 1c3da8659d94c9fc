import { request as createHttpRequest } from 'node:http';
import type { ClientRequest, IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { describeError } from '@bronzelift/common';
import type { Clock, Endpoint } from '@bronzelift/common';

import { MAX_TIMER_MS } from './constants.js';
import type {
  BackendAttempt,
  BackendDialect,
  BackendRequest,
  BackendResponse,
  SentFailureReason,
} from './types.js';
import { isBodyless, readContentLength, readIdleTimeoutMs } from './utils.js';

/** Surroundings of an attempt. */
export interface AttemptContext {
  readonly socket: Socket;
  readonly endpoint: Endpoint;
  readonly clock: Clock;
  readonly maxBodyBytes: number;
  readonly dialect: BackendDialect;
  /** Whether the connection ended by a reset that showed as an orderly end. */
  readonly isEndedByReset: () => boolean;
}

/** What a response says about itself, for the check before it is passed on. */
export interface AttemptProof {
  readonly requestId: string;
  readonly answeredId: string | undefined;
  /** Undefined without a body or without a stated length. */
  readonly statedBytes: number | undefined;
  readonly isComplete: boolean;
  /** Idle time after which the backend server closes the connection; undefined without one. */
  readonly idleTimeoutMs: number | undefined;
}

/** An attempt and what it says about its connection. */
export interface AttemptResult {
  readonly attempt: BackendAttempt;
  /** The connection may carry another request. */
  readonly isReusable: boolean;
  /** Undefined without a complete response. */
  readonly proof: AttemptProof | undefined;
}

/** One request on one connection, from writing to the complete response. */
class Attempt {
  private readonly startedAtMs: number;

  private readonly chunks: Buffer[] = [];

  private receivedBytes = 0;

  private response: IncomingMessage | undefined;

  /** Node writes a request when it is given its socket, one tick after its creation. */
  private isWritten = false;

  private isOver = false;

  private readonly httpRequest: ClientRequest;

  private readonly timer: NodeJS.Timeout;

  private readonly onAbort = (): void => this.fail('cancelled', 'cancelled by the caller');

  private constructor(
    private readonly request: BackendRequest,
    private readonly context: AttemptContext,
    private readonly signal: AbortSignal | undefined,
    private readonly resolve: (result: AttemptResult) => void,
  ) {
    this.startedAtMs = context.clock.monotonicMs();
    this.httpRequest = createHttpRequest({
      createConnection: () => context.socket,
      method: request.method,
      path: request.path,
      headers: context.dialect.createRequestHeaders(request, context.endpoint),
    });
    this.timer = setTimeout(
      () => {
        // After a pause of the process the timer runs before sockets are read; a response that is
        // there already is read before the immediate runs.
        setImmediate(() => this.fail('timeout', `no response within ${request.timeoutMs} ms`));
      },
      Math.min(request.timeoutMs, MAX_TIMER_MS),
    );
    signal?.addEventListener('abort', this.onAbort, { once: true });
    this.listen();
    this.httpRequest.end(request.body);
  }

  /** Starts an attempt; it keeps itself through its listeners. */
  static start(
    request: BackendRequest,
    context: AttemptContext,
    signal: AbortSignal | undefined,
    resolve: (result: AttemptResult) => void,
  ): Attempt {
    return new Attempt(request, context, signal, resolve);
  }

  private listen(): void {
    this.httpRequest
      .on('socket', () => {
        this.isWritten = true;
      })
      .on('response', (response) => this.receive(response))
      .on('upgrade', () => this.fail('malformed', 'the backend server changed the protocol'))
      .on('error', (error: NodeJS.ErrnoException) => {
        const isParseError = error.code?.startsWith('HPE_') ?? false;
        this.fail(isParseError ? 'malformed' : this.lossReason(), describeError(error));
      })
      .on('close', () => this.complete());
  }

  private receive(response: IncomingMessage): void {
    this.response = response;
    const { requestId } = this.request;
    const { dialect } = this.context;
    const answeredId = dialect.readAnsweredId(response.headers);
    if (answeredId !== undefined && answeredId !== requestId) {
      this.fail('mismatched', `response to request ${answeredId}, not ${requestId}`);
      return;
    }
    const problem = dialect.findHeadProblem(this.request, response.statusCode!, response.headers);
    if (problem !== undefined) {
      this.fail('mismatched', problem);
      return;
    }
    const hasBody = !isBodyless(this.request.method, response.statusCode!);
    const statedBytes = hasBody ? (readContentLength(response.headers) ?? 0) : 0;
    if (statedBytes > this.context.maxBodyBytes) {
      this.reportTooLarge();
      return;
    }
    response.on('data', (chunk: Buffer) => this.add(chunk));
    response.on('error', (error) => this.fail('cut-short', describeError(error)));
    response.on('end', () => {
      // A connection that stays open can be used again once the request has closed.
      if (!this.httpRequest.shouldKeepAlive) this.complete();
    });
  }

  private add(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
    this.chunks.push(chunk);
    if (this.receivedBytes > this.context.maxBodyBytes) this.reportTooLarge();
  }

  private complete(): void {
    if (this.isOver) return;
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
      this.fail('malformed', 'bytes after the response');
      return;
    }
    const durationMs = this.elapsedMs();
    const isRefusal = this.context.dialect.isRefusal(response.statusCode!, response.headers);
    const kind = isRefusal ? 'refused' : 'answered';
    const answer = this.createResponse(response);
    const proof = this.createProof(response);
    this.finish({ kind, response: answer, durationMs }, shouldKeepAlive, proof);
  }

  /** Why the response cannot be taken as complete; undefined when it is. */
  private findProblem(response: IncomingMessage): string | undefined {
    if (!response.complete) return `closed after ${this.receivedBytes} bytes of the body`;
    if (isBodyless(this.request.method, response.statusCode!)) return undefined;
    const statedBytes = readContentLength(response.headers);
    if (statedBytes !== undefined && statedBytes !== this.receivedBytes) {
      return `${this.receivedBytes} of ${statedBytes} bytes`;
    }
    const isChunked = response.headers['transfer-encoding'] !== undefined;
    // A body that ends with the connection looks the same when its sender was stopped.
    const isUnframed = statedBytes === undefined && !isChunked;
    if (isUnframed && this.context.isEndedByReset()) return 'reset in a body without a length';
    if (isUnframed && !this.context.dialect.allowsUnframedBody) return 'a body without a length';
    return undefined;
  }

  private createResponse(response: IncomingMessage): BackendResponse {
    const status = response.statusCode!;
    const body = this.chunks.length === 1 ? this.chunks[0]! : Buffer.concat(this.chunks);
    const bodyBytes = isBodyless(this.request.method, status) ? undefined : body.length;
    return {
      status,
      headers: this.context.dialect.createResponseHeaders(response.headers, bodyBytes),
      body,
      load: this.context.dialect.readLoad(response.headers),
    };
  }

  private createProof({ headers, complete, statusCode }: IncomingMessage): AttemptProof {
    const { requestId, method } = this.request;
    return {
      requestId,
      answeredId: this.context.dialect.readAnsweredId(headers),
      statedBytes: isBodyless(method, statusCode!) ? undefined : readContentLength(headers),
      isComplete: complete,
      idleTimeoutMs: readIdleTimeoutMs(headers),
    };
  }

  private reportTooLarge(): void {
    const { receivedBytes } = this;
    const status = this.response!.statusCode!;
    const durationMs = this.elapsedMs();
    this.finish({ kind: 'too-large', status, receivedBytes, durationMs }, false);
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

  private finish(attempt: BackendAttempt, isReusable: boolean, proof?: AttemptProof): void {
    if (this.isOver) return;
    this.isOver = true;
    clearTimeout(this.timer);
    this.signal?.removeEventListener('abort', this.onAbort);
    if (!isReusable) this.httpRequest.destroy();
    this.resolve({ attempt, isReusable, proof });
  }

  private lossReason(): 'cut-short' | 'reset' {
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
      // Node refuses some paths, methods and header values before it takes the socket.
      const detail = describeError(error);
      const attempt = {
        kind: 'not-sent',
        reason: 'invalid-request',
        detail,
        durationMs: 0,
      } as const;
      resolve({ attempt, isReusable: true, proof: undefined });
    }
  });
