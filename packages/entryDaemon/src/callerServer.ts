import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Clock, RandomSource } from '@bronzelift/common';
import { CALLER_API_PREFIX, describeError } from '@bronzelift/common';
import type { AddressAnswer } from '@bronzelift/membership';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';
import type { OrderCoordinator } from '@bronzelift/orders';

import { writeAnswer, writeJson } from './answers.js';
import { readBody, readRequestHead, spreadRetryAfterMs } from './callerRequest.js';
import { FALLBACK_TIMEOUT_MS, KEEP_ALIVE_MS, MAX_HEADER_BYTES } from './constants.js';
import { toOrderRequest, toWorkResult } from './orderAdapter.js';
import type { RequestRunner } from './requestRunner.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { WorkRequest, WorkResult } from './types.js';

/** Components and callbacks that the caller server uses. */
export interface CallerServerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly runner: RequestRunner;
  readonly orders: OrderCoordinator;
  readonly answerAddresses: () => AddressAnswer | undefined;
  readonly issueTicket: () => string | undefined;
  readonly findService: (name: string) => ServiceRuntime | undefined;
  readonly nextRequestId: () => string;
  /** Longest time in milliseconds for which a request read now may have waited unread. */
  readonly readDelayMs: () => number;
  /** Whether new requests are refused because of a planned shutdown. */
  readonly isStopping: () => boolean;
}

/** HTTP server for callers: serves the list of entry addresses, lookups and orders. */
export class CallerServer {
  readonly server: Server;

  private inFlightCount = 0;

  private constructor(private readonly options: CallerServerOptions) {
    this.server = createServer(
      { maxHeaderSize: MAX_HEADER_BYTES, noDelay: true },
      (message, response) => {
        this.handle(message, response).catch((error: unknown) => {
          this.options.log.error(LogComponent.daemon, 'request failed', {
            error: describeError(error),
          });
          writeAnswer(response, { kind: 'unknown', code: 'internal-error' });
        });
      },
    );
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Creates the server; it listens only after `server.listen`. */
  static create(options: CallerServerOptions): CallerServer {
    return new CallerServer(options);
  }

  /** Number of requests without a response yet. */
  get inFlight(): number {
    return this.inFlightCount;
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = message.url ?? '/';
    if (url.startsWith(CALLER_API_PREFIX)) {
      this.handleApiRequest(url, response);
      return;
    }
    this.inFlightCount += 1;
    try {
      await this.handleServiceRequest(message, response, url);
    } finally {
      this.inFlightCount -= 1;
    }
  }

  private handleApiRequest(url: string, response: ServerResponse): void {
    const { pathname, searchParams } = new URL(url, 'http://entry');
    if (pathname !== `${CALLER_API_PREFIX}/addresses`) {
      writeAnswer(response, { kind: 'not-run', code: 'unknown-path', retryAfterMs: 0 });
      return;
    }
    const service = searchParams.get('service') ?? '';
    if (!this.options.findService(service)) {
      writeAnswer(response, this.refuse('unknown-service'));
      return;
    }
    const answer = this.options.answerAddresses();
    if (!answer) {
      writeAnswer(response, this.refuse('not-ready'));
      return;
    }
    writeJson(response, 200, { service, ...answer });
  }

  private refuse(code: string): WorkResult {
    return { kind: 'not-run', code, retryAfterMs: spreadRetryAfterMs(this.options.random) };
  }

  private async handleServiceRequest(
    message: IncomingMessage,
    response: ServerResponse,
    url: string,
  ): Promise<void> {
    const startedAtMs = this.options.clock.monotonicMs();
    const readDelayMs = this.options.readDelayMs();
    if (this.options.isStopping()) {
      response.setHeader('connection', 'close');
      writeAnswer(response, this.refuse('shutting-down'));
      return;
    }
    const headResult = readRequestHead(message, url);
    if (headResult.kind === 'refused') {
      this.refuseUnread(response, headResult.code);
      return;
    }
    const { head } = headResult;
    const service = this.options.findService(head.service);
    if (!service) {
      this.refuseUnread(response, 'unknown-service');
      return;
    }
    const timeoutMs =
      head.timeoutMs ?? service.configuration.defaultTimeoutMs ?? FALLBACK_TIMEOUT_MS;
    const body = await readBody(message, service.configuration.maxBodyBytes);
    if (body.kind === 'aborted') return;
    if (body.kind === 'too-large') {
      this.refuseUnread(response, 'too-large');
      return;
    }
    const caller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) caller.abort();
    });
    const work: WorkRequest = {
      ...head,
      requestId: this.options.nextRequestId(),
      method: message.method ?? 'GET',
      headers: message.headers,
      body: body.body,
      deadlineAtMs: startedAtMs - readDelayMs + timeoutMs,
      deadlineAtWallMs: this.options.clock.wallMs() - readDelayMs + timeoutMs,
      signal: caller.signal,
      mayForward: true,
      mayWait: true,
    };
    const result = await this.execute(work);
    writeAnswer(response, result);
    this.count(work, result, startedAtMs);
  }

  private async execute(work: WorkRequest): Promise<WorkResult> {
    if (work.deadlineAtMs <= this.options.clock.monotonicMs()) return this.createLateResult(work);
    if (!work.isOrder) return this.options.runner.run(work);
    return toWorkResult(await this.options.orders.handleOrder(toOrderRequest(work)));
  }

  /** A late order is unknown: the caller may have retried it at an entry VM where it ran. */
  private createLateResult(work: WorkRequest): WorkResult {
    return work.isOrder ? { kind: 'unknown', code: 'timeout' } : this.refuse('deadline-passed');
  }

  /** Refuses a request whose body has not been read; closes the connection after the response. */
  private refuseUnread(response: ServerResponse, code: string): void {
    response.setHeader('connection', 'close');
    const newTicket = code === 'key-required' ? this.options.issueTicket() : undefined;
    writeAnswer(response, { kind: 'not-run', code, retryAfterMs: 0, newTicket });
  }

  private count(work: WorkRequest, result: WorkResult, startedAtMs: number): void {
    const { metrics, clock } = this.options;
    const outcome = result.kind === 'answered' ? 'ran' : result.kind;
    const code = result.kind === 'answered' ? 'answered' : result.code;
    const kind = work.isOrder ? 'order' : 'lookup';
    metrics
      .counter('bronzelift_requests_total', { service: work.service, kind, outcome, code })
      .increment();
    metrics
      .histogram('bronzelift_request_ms', { service: work.service, kind, outcome })
      .recordMs(clock.monotonicMs() - startedAtMs);
  }
}
