import { request } from 'node:http';
import type { Agent, ClientRequest, IncomingMessage } from 'node:http';

import type { Endpoint } from '@bronzelift/common';

/** HTTP request and its limits; durations in milliseconds. */
export interface ExchangeOptions {
  readonly endpoint: Endpoint;
  readonly agent: Agent;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly connectTimeoutMs: number;
  /** Longest time without data from the server. */
  readonly silenceTimeoutMs: number;
  /** Longest time from the start of the request to the end of the response. */
  readonly totalTimeoutMs: number;
  readonly maxResponseBytes: number;
  readonly signal?: AbortSignal;
}

/** Complete response, or the reason why there is none. */
export type ExchangeResult =
  | { readonly kind: 'response'; readonly status: number; readonly body: string }
  | {
      readonly kind: 'failed';
      /** Whether the request may have reached the server. */
      readonly sent: boolean;
      readonly tooLarge: boolean;
      readonly detail: string;
    };

class Exchange {
  private isConnected = false;

  private hasSettled = false;

  private sizeBytes = 0;

  private readonly chunks: Buffer[] = [];

  private silenceTimer: NodeJS.Timeout | undefined;

  private totalTimer: NodeJS.Timeout | undefined;

  private clientRequest: ClientRequest | undefined;

  private readonly onAbort = (): void => this.fail('stopped');

  private constructor(
    private readonly options: ExchangeOptions,
    private readonly resolve: (result: ExchangeResult) => void,
  ) {}

  static run(options: ExchangeOptions): Promise<ExchangeResult> {
    return new Promise((resolve) => {
      new Exchange(options, resolve).start();
    });
  }

  private start(): void {
    const { endpoint, agent, method, path, headers, body, signal } = this.options;
    if (signal?.aborted) {
      this.fail('stopped');
      return;
    }
    signal?.addEventListener('abort', this.onAbort, { once: true });
    this.totalTimer = setTimeout(
      () => this.fail(`no complete response within ${this.options.totalTimeoutMs} ms`),
      this.options.totalTimeoutMs,
    );
    this.restartSilenceTimer(this.options.connectTimeoutMs, 'no connection');
    const { host, port } = endpoint;
    this.clientRequest = request({ host, port, agent, method, path, headers });
    this.clientRequest.on('socket', (socket) => {
      if (!socket.connecting) this.handleConnect();
      else socket.once('connect', () => this.handleConnect());
    });
    this.clientRequest.on('error', (error) => this.fail(error.message));
    this.clientRequest.on('response', (response) => this.handleResponse(response));
    this.clientRequest.end(body);
  }

  private handleConnect(): void {
    this.isConnected = true;
    this.restartSilenceTimer(this.options.silenceTimeoutMs, 'no response');
  }

  private handleResponse(response: IncomingMessage): void {
    response.on('data', (chunk: Buffer) => {
      this.chunks.push(chunk);
      this.sizeBytes += chunk.length;
      if (this.sizeBytes > this.options.maxResponseBytes) this.fail('response too large', true);
      else this.restartSilenceTimer(this.options.silenceTimeoutMs, 'no further data');
    });
    response.on('error', (error) => this.fail(error.message));
    response.on('close', () => this.fail('connection closed before the end of the response'));
    response.on('end', () => {
      if (!response.complete) this.fail('truncated response');
      else this.succeed(response.statusCode ?? 0);
    });
  }

  private restartSilenceTimer(durationMs: number, problem: string): void {
    clearTimeout(this.silenceTimer);
    if (this.hasSettled) return;
    this.silenceTimer = setTimeout(() => this.fail(`${problem} for ${durationMs} ms`), durationMs);
  }

  private succeed(status: number): void {
    const body = Buffer.concat(this.chunks).toString('utf8');
    this.settle({ kind: 'response', status, body });
  }

  private fail(detail: string, tooLarge = false): void {
    if (this.hasSettled) return;
    this.settle({ kind: 'failed', sent: this.isConnected, tooLarge, detail });
    // Destroys the connection, so that the agent does not reuse one that has stopped responding.
    this.clientRequest?.destroy();
  }

  private settle(result: ExchangeResult): void {
    if (this.hasSettled) return;
    this.hasSettled = true;
    clearTimeout(this.silenceTimer);
    clearTimeout(this.totalTimer);
    this.options.signal?.removeEventListener('abort', this.onAbort);
    this.resolve(result);
  }
}

/** Sends an HTTP request; failures and timeouts are returned as results and never thrown. */
export const exchange = (options: ExchangeOptions): Promise<ExchangeResult> =>
  Exchange.run(options);
