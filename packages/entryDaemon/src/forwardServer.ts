import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock, RandomSource } from '@bronzelift/common';
import { PeerHeader } from '@bronzelift/common';

import { writeAnswer } from './answers.js';
import {
  readBody,
  readForwardedDeadline,
  readRequestHead,
  spreadRetryAfterMs,
  toMonotonicMs,
} from './callerRequest.js';
import type { RequestRunner } from './requestRunner.js';
import type { ServiceRuntime } from './serviceRuntime.js';
import type { WorkRequest } from './types.js';

/** Components and callbacks that the handler of forwarded requests uses. */
export interface ForwardServerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly runner: RequestRunner;
  readonly findService: (name: string) => ServiceRuntime | undefined;
  readonly nextRequestId: () => string;
  readonly ownIncarnation: () => string;
  /** Whether `vmId@incarnation` is a member of the current roster. */
  readonly isMember: (formatted: string) => boolean;
}

/** Runs requests that other entry VMs have forwarded, only on slots of this entry VM. */
export class ForwardServer {
  private inFlightCount = 0;

  private constructor(private readonly options: ForwardServerOptions) {}

  static create(options: ForwardServerOptions): ForwardServer {
    return new ForwardServer(options);
  }

  /** Number of forwarded requests without a response yet. */
  get inFlight(): number {
    return this.inFlightCount;
  }

  /** Handles a request that a peer forwarded; `url` is `/<service>/<path>`. */
  async handle(message: IncomingMessage, response: ServerResponse, url: string): Promise<void> {
    this.inFlightCount += 1;
    try {
      await this.run(message, response, url);
    } finally {
      this.inFlightCount -= 1;
    }
  }

  private async run(
    message: IncomingMessage,
    response: ServerResponse,
    url: string,
  ): Promise<void> {
    const refusal = this.findRefusal(message);
    const headResult = readRequestHead(message, url);
    const deadlineAtWallMs = readForwardedDeadline(message);
    const service =
      headResult.kind === 'head' ? this.options.findService(headResult.head.service) : undefined;
    if (refusal || headResult.kind === 'refused' || !service || deadlineAtWallMs === undefined) {
      const code = refusal ?? (headResult.kind === 'refused' ? headResult.code : 'unknown-service');
      response.setHeader('connection', 'close');
      this.refuse(response, code);
      return;
    }
    const body = await readBody(message, service.configuration.maxBodyBytes);
    if (body.kind === 'aborted') return;
    if (body.kind === 'too-large') {
      response.setHeader('connection', 'close');
      this.refuse(response, 'too-large');
      return;
    }
    // Checked after reading the body, because this process may have been paused meanwhile.
    if (deadlineAtWallMs <= this.options.clock.wallMs()) {
      this.refuse(response, 'deadline-passed');
      return;
    }
    const sender = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) sender.abort();
    });
    const work: WorkRequest = {
      ...headResult.head,
      requestId: this.options.nextRequestId(),
      method: message.method ?? 'GET',
      headers: message.headers,
      body: body.body,
      deadlineAtMs: toMonotonicMs(this.options.clock, deadlineAtWallMs),
      deadlineAtWallMs,
      signal: sender.signal,
      mayForward: false,
      mayWait: message.headers[PeerHeader.mayWait] === '1',
    };
    const result = await this.options.runner.run(work);
    writeAnswer(response, result, { [PeerHeader.freeSlots]: service.freeSlots() });
  }

  /**
   * Returns the code of a refusal, if any. A sender outside the roster may have lost its lease and
   * the right to run its orders.
   */
  private findRefusal(message: IncomingMessage): string | undefined {
    const target = message.headers[PeerHeader.targetIncarnation];
    if (target !== this.options.ownIncarnation()) return 'wrong-incarnation';
    const sender = message.headers[PeerHeader.forwardedBy];
    const isKnown = typeof sender === 'string' && this.options.isMember(sender);
    return isKnown ? undefined : 'not-a-member';
  }

  private refuse(response: ServerResponse, code: string): void {
    const retryAfterMs = spreadRetryAfterMs(this.options.random);
    writeAnswer(response, { kind: 'not-run', code, retryAfterMs });
  }
}
