import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock } from '@bronzelift/common';
import type { Metrics } from '@bronzelift/observability';

import { MAX_FORWARDED_BYTES, MAX_RECEIVED_FORWARDS, NO_VERSION } from './constants.js';
import { decodeForwardedRequest, encodeForwardReply } from './forwardCodec.js';
import type { ForwardReply, ForwardedRequest } from './forwardCodec.js';
import type { RequestHandler } from './requestHandler.js';
import type { ServiceRuntime } from './serviceRuntime.js';

/** Dependencies of a ForwardReceiver. */
export interface ForwardReceiverOptions {
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly handler: RequestHandler;
  readonly isReady: () => boolean;
  readonly configurationVersion: () => number;
  readonly findService: (name: string) => ServiceRuntime | undefined;
}

/** Handles requests of callers that other entry VMs forward, and forwards none of them again. */
export class ForwardReceiver {
  private receivedCount = 0;

  private receivedBytes = 0;

  private constructor(private readonly options: ForwardReceiverOptions) {}

  static create(options: ForwardReceiverOptions): ForwardReceiver {
    return new ForwardReceiver(options);
  }

  /** Number of forwarded requests without a complete response. */
  get inFlight(): number {
    return this.receivedCount;
  }

  /** Answers one HTTP request of another entry VM; rejects if it is malformed or cut off. */
  async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    // Without a length, a request without an end would be read.
    const bytes = Number(message.headers['content-length'] ?? MAX_FORWARDED_BYTES + 1);
    this.receivedCount += 1;
    this.receivedBytes += bytes;
    try {
      const reply = await this.receive(message, response);
      if (!response.destroyed) response.end(encodeForwardReply(reply));
    } finally {
      this.receivedCount -= 1;
      this.receivedBytes -= bytes;
    }
  }

  private async receive(message: IncomingMessage, response: ServerResponse): Promise<ForwardReply> {
    const caller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) caller.abort();
    });
    if (this.receivedCount > MAX_RECEIVED_FORWARDS || this.receivedBytes > MAX_FORWARDED_BYTES) {
      message.resume();
      return { kind: 'declined', reason: 'too many forwarded requests' };
    }
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    const forwarded = decodeForwardedRequest(Buffer.concat(chunks));
    const reason = this.findObstacle(forwarded);
    this.options.metrics
      .counter('bronzelift_received_forwards_total', {
        service: forwarded.service,
        outcome: reason === undefined ? 'handled' : 'declined',
      })
      .increment();
    if (reason !== undefined) return { kind: 'declined', reason };
    const { requestId, method, path, headers, body, service, callerWaitMs } = forwarded;
    const request = {
      requestId,
      method,
      path,
      headers,
      body,
      callerWaitMs,
      arrivedAtMs: this.options.clock.monotonicMs() - forwarded.elapsedMs,
      signal: caller.signal,
      forwardedService: service,
    };
    const answer = await this.options.handler.handle(request, headers.host);
    return { kind: 'handled', answer };
  }

  private findObstacle({
    service,
    configurationVersion: version = NO_VERSION,
  }: ForwardedRequest): string | undefined {
    const { isReady, configurationVersion, findService } = this.options;
    if (!isReady()) return 'not ready';
    if (version > configurationVersion()) return 'older configuration';
    const isReached = findService(service)?.reachabilityState !== 'unreached';
    return isReached ? undefined : 'instances not reached';
  }
}
