import { Agent, createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';

import type { Clock, RandomSource, ServiceName } from '@bronzelift/common';
import {
  CALLER_API_PREFIX,
  CallerHeader,
  IDEMPOTENT_METHODS,
  Outcome,
  assertNever,
  createIncarnation,
  randomInteger,
} from '@bronzelift/common';

import { createAddressResponse } from './addresses.js';
import {
  DEFAULT_TIMEOUT_MS,
  KEEP_ALIVE_MS,
  MAX_RETRIES,
  RETRY_AFTER_RANGE_MS,
} from './constants.js';
import { createPolicy } from './policy.js';
import type { ChooseInstance } from './policy.js';
import { sendToInstance } from './sendToInstance.js';
import type {
  BaselineAttemptResult,
  BaselineInstance,
  BaselinePeer,
  BaselineRequest,
  Policy,
  TrackedInstance,
} from './types.js';

/** Policy, instances and peers of a baseline process. */
export interface BaselineOptions {
  readonly policy: Policy;
  readonly instances: readonly BaselineInstance[];
  /** All baseline processes, including this one. */
  readonly peers: readonly BaselinePeer[];
  readonly clock: Clock;
  readonly random: RandomSource;
}

interface Service {
  readonly instances: readonly TrackedInstance[];
  readonly choose: ChooseInstance;
}

interface Refusal {
  readonly status: number;
  readonly code: string;
  readonly outcome: Outcome;
  readonly retryAfterMs?: number;
}

const MS_PER_S = 1_000;
const SERVICE_PATH_PATTERN = /^\/([a-z0-9][a-z0-9-]*)(\/.*|\?.*)?$/;
const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
]);

const getHeader = (message: IncomingMessage, name: string): string | undefined => {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const readBody = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const writeRefusal = (response: ServerResponse, refusal: Refusal): void => {
  const { status, code, outcome, retryAfterMs } = refusal;
  const body = JSON.stringify({ code, message: code.replaceAll('-', ' '), outcome, retryAfterMs });
  response.setHeader('content-type', 'application/json');
  response.setHeader(CallerHeader.outcome, outcome);
  if (retryAfterMs !== undefined) {
    response.setHeader(CallerHeader.retryAfterMs, retryAfterMs);
    response.setHeader(CallerHeader.retryAfter, Math.ceil(retryAfterMs / MS_PER_S));
  }
  response.writeHead(status);
  response.end(body);
};

/**
 * Simple load balancer as a baseline for comparisons. It knows only the requests that it has
 * outstanding itself; it has no limits and does not coordinate with other processes.
 */
export class BaselineServer {
  readonly server: Server;

  private readonly agent = new Agent({ keepAlive: true });

  private readonly services = new Map<ServiceName, Service>();

  private readonly incarnation: string;

  private requestCount = 0;

  private constructor(private readonly options: BaselineOptions) {
    this.incarnation = createIncarnation(options.clock, options.random);
    for (const name of new Set(options.instances.map(({ service }) => service))) {
      const serviceInstances = options.instances.filter(({ service }) => service === name);
      const choose = createPolicy(options.policy, options.random);
      this.services.set(name, {
        instances: serviceInstances.map((instance) => ({ ...instance, outstanding: 0 })),
        choose,
      });
    }
    this.server = createServer({ noDelay: true }, (message, response) => {
      this.handle(message, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_MS;
  }

  /** Creates a baseline whose `server` is not listening yet. */
  static create(options: BaselineOptions): BaselineServer {
    return new BaselineServer(options);
  }

  /** Closes the listening port and all connections to callers and instances. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
    this.agent.destroy();
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = message.url ?? '/';
    if (url.startsWith(`${CALLER_API_PREFIX}/addresses`)) {
      this.writeAddresses(url, response);
      return;
    }
    const body = await readBody(message);
    const [, name, rest = '/'] = SERVICE_PATH_PATTERN.exec(url) ?? [];
    const service = this.services.get(name ?? '');
    if (!service) {
      writeRefusal(response, { status: 404, code: 'unknown-service', outcome: Outcome.notRun });
      return;
    }
    const isOrder = !IDEMPOTENT_METHODS.has(message.method ?? 'GET');
    const key = getHeader(message, CallerHeader.idempotencyKey);
    if (isOrder && !key) {
      writeRefusal(response, { status: 400, code: 'key-required', outcome: Outcome.notRun });
      return;
    }
    const path = rest.startsWith('/') ? rest : `/${rest}`;
    const request = this.toRequest(message, response, path, body);
    this.writeResult(response, await this.run(service, request));
  }

  private writeAddresses(url: string, response: ServerResponse): void {
    const { peers, random, clock } = this.options;
    const service = new URL(url, 'http://entry').searchParams.get('service') ?? '';
    const answer = createAddressResponse(peers, this.incarnation, clock.wallMs(), random);
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(JSON.stringify({ service, ...answer }));
  }

  private toRequest(
    message: IncomingMessage,
    response: ServerResponse,
    path: string,
    body: Buffer,
  ): BaselineRequest {
    const caller = new AbortController();
    response.once('close', () => {
      if (!response.writableFinished) caller.abort();
    });
    const timeoutMs = Number(getHeader(message, CallerHeader.timeoutMs) ?? DEFAULT_TIMEOUT_MS);
    this.requestCount += 1;
    return {
      method: message.method ?? 'GET',
      path,
      body,
      idempotencyKey: getHeader(message, CallerHeader.idempotencyKey),
      requestId: `${this.incarnation}-${this.requestCount}`,
      contentType: getHeader(message, 'content-type'),
      deadlineAtMs: this.options.clock.wallMs() + timeoutMs,
      signal: caller.signal,
    };
  }

  /** Retries at other instances as long as the last attempt certainly did not run. */
  private async run(service: Service, request: BaselineRequest): Promise<BaselineAttemptResult> {
    const triedInstances = new Set<TrackedInstance>();
    for (let retries = 0; ; retries++) {
      const untriedInstances = service.instances.filter(
        (instance) => !triedInstances.has(instance),
      );
      const chosenInstance = service.choose(
        untriedInstances.length > 0 ? untriedInstances : service.instances,
      );
      triedInstances.add(chosenInstance);
      chosenInstance.outstanding += 1;
      const attempt = await sendToInstance(this.agent, chosenInstance.address, request);
      chosenInstance.outstanding -= 1;
      const isLate = this.options.clock.wallMs() >= request.deadlineAtMs;
      if (attempt.kind !== 'not-run' || retries >= MAX_RETRIES || isLate) return attempt;
    }
  }

  private writeResult(response: ServerResponse, attempt: BaselineAttemptResult): void {
    if (response.destroyed) return;
    switch (attempt.kind) {
      case 'ran': {
        const forwardedHeaders = Object.entries(attempt.headers).filter(
          ([name]) => !HOP_BY_HOP_HEADERS.has(name),
        );
        response.writeHead(attempt.status, {
          ...Object.fromEntries(forwardedHeaders),
          'content-length': attempt.body.length,
          [CallerHeader.outcome]: Outcome.ran,
        });
        response.end(attempt.body);
        return;
      }
      case 'not-run': {
        const { min, max } = RETRY_AFTER_RANGE_MS;
        const retryAfterMs = randomInteger(this.options.random, min, max);
        const outcome = Outcome.notRun;
        writeRefusal(response, { status: 503, code: 'overloaded', outcome, retryAfterMs });
        return;
      }
      case 'unknown': {
        const status = attempt.code === 'timeout' ? 504 : 502;
        writeRefusal(response, { status, code: attempt.code, outcome: Outcome.unknown });
        return;
      }
      default:
        assertNever(attempt);
    }
  }
}
