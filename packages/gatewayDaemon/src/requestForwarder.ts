import { request as createHttpRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';

import { describeError } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  FAR_FORWARD_PENALTY,
  FORWARD_CONNECT_TIMEOUT_MS,
  FORWARD_PATH,
  MAX_FORWARDS,
  MAX_FORWARD_ATTEMPTS,
  RESPONSE_MARGIN_MS,
} from './constants.js';
import { decodeForwardReply, encodeForwardedRequest } from './forwardCodec.js';
import type { ForwardReply } from './forwardCodec.js';
import type { Member, MemberStatus, MemberTable } from './memberTable.js';
import type { RequestContext } from './requestContext.js';
import type { GatewayAnswer, GatewaySettings } from './types.js';

/** Dependencies of a RequestForwarder. */
export interface RequestForwarderOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly members: MemberTable;
  readonly settings: GatewaySettings;
  readonly configurationVersion: () => number;
}

/** Outcome of forwarding a request. */
export type ForwardOutcome =
  | { readonly kind: 'answered'; readonly answer: GatewayAnswer }
  /** No other entry VM has begun to handle the request. */
  | { readonly kind: 'not-sent' }
  /** Another entry VM received the request, but its answer is not known. */
  | { readonly kind: 'unknown'; readonly isTimeout: boolean };

type SendResult =
  | { readonly kind: 'replied'; readonly reply: ForwardReply }
  | { readonly kind: 'failed'; readonly isSent: boolean; readonly detail: string };

const HTTP_OK = 200;

const readAll = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks);
};

/**
 * Forwards requests that this entry VM cannot serve to members that reach the instances. A request
 * reaches a second member only if the first one certainly has not begun to handle it.
 */
export class RequestForwarder {
  /** Requests in flight by host. */
  private readonly inFlightByHost = new Map<string, number>();

  private inFlight = 0;

  private constructor(private readonly options: RequestForwarderOptions) {}

  static create(options: RequestForwarderOptions): RequestForwarder {
    return new RequestForwarder(options);
  }

  /** Forwards a request to one member. Never rejects. */
  async forward(context: RequestContext): Promise<ForwardOutcome> {
    const { members, configurationVersion } = this.options;
    const { service, route } = context;
    const candidates = members.selectForwarders({
      service: service.name,
      minVersion: configurationVersion(),
      allowedRegions: route.allowedRegions,
    });
    for (const member of this.orderByLoad(candidates).slice(0, MAX_FORWARD_ATTEMPTS)) {
      if (this.inFlight >= MAX_FORWARDS) break;
      const outcome = await this.forwardTo(context, member);
      if (outcome.kind !== 'not-sent') return outcome;
      if (context.request.signal.aborted) break;
    }
    return { kind: 'not-sent' };
  }

  /** Fewest requests in flight first, near members before others; the candidates are shuffled. */
  private orderByLoad(candidates: readonly Member[]): Member[] {
    const calculateCost = ({ host, status }: Member): number =>
      (this.inFlightByHost.get(host) ?? 0) + (this.isNear(status) ? 0 : FAR_FORWARD_PENALTY);
    return [...candidates].sort((left, right) => calculateCost(left) - calculateCost(right));
  }

  private isNear({ failureDomainId }: MemberStatus): boolean {
    return failureDomainId === this.options.settings.failureDomainId;
  }

  private async forwardTo(context: RequestContext, member: Member): Promise<ForwardOutcome> {
    const { log, metrics, clock } = this.options;
    const { host, status } = member;
    const startedAtMs = clock.monotonicMs();
    this.countInFlight(host, 1);
    const result = await this.send(context, host);
    this.countInFlight(host, -1);
    const outcome = this.toOutcome(result, context);
    const reply = result.kind === 'replied' ? result.reply : undefined;
    metrics
      .counter('bronzelift_forwards_total', {
        service: context.service.name,
        outcome: outcome.kind,
        domain: this.isNear(status) ? 'same' : 'other',
      })
      .increment();
    log.info(LogComponent.forward, 'request forwarded', {
      request: context.request.requestId,
      service: context.service.name,
      member: status.vmId,
      outcome: reply?.kind === 'handled' ? reply.answer.kind : (reply?.kind ?? result.kind),
      detail: reply?.kind === 'declined' ? reply.reason : undefined,
      error: result.kind === 'failed' ? result.detail : undefined,
      tookMs: Math.round(clock.monotonicMs() - startedAtMs),
    });
    return outcome;
  }

  private toOutcome(result: SendResult, context: RequestContext): ForwardOutcome {
    if (result.kind === 'failed') {
      const isTimeout = context.deadlineAtMs - this.options.clock.monotonicMs() < 1;
      return result.isSent ? { kind: 'unknown', isTimeout } : { kind: 'not-sent' };
    }
    if (result.reply.kind === 'declined') return { kind: 'not-sent' };
    return { kind: 'answered', answer: result.reply.answer };
  }

  private countInFlight(host: string, change: 1 | -1): void {
    const count = (this.inFlightByHost.get(host) ?? 0) + change;
    this.inFlight += change;
    if (count === 0) this.inFlightByHost.delete(host);
    else this.inFlightByHost.set(host, count);
  }

  private send(context: RequestContext, host: string): Promise<SendResult> {
    const { clock, settings } = this.options;
    const { request, service, deadlineAtMs } = context;
    const nowMs = clock.monotonicMs();
    const body = encodeForwardedRequest({
      requestId: request.requestId,
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body,
      service: service.name,
      elapsedMs: nowMs - request.arrivedAtMs + RESPONSE_MARGIN_MS,
      callerWaitMs: request.callerWaitMs,
      configurationVersion: this.options.configurationVersion(),
    });
    return new Promise((resolve) => {
      let isConnected = false;
      const httpRequest = createHttpRequest({
        host,
        port: settings.peerPort,
        method: 'POST',
        path: FORWARD_PATH,
        headers: { 'content-length': body.length },
        // On a connection of its own, no reply to an earlier request can be taken for its reply.
        agent: false,
      });
      const abort = (): void => {
        httpRequest.destroy(new Error('the caller disconnected'));
      };
      const deadline = setTimeout(
        () => httpRequest.destroy(new Error('no reply before the deadline')),
        Math.max(deadlineAtMs - nowMs, 1),
      );
      const connectLimit = setTimeout(() => {
        if (!isConnected) httpRequest.destroy(new Error('no connection in time'));
      }, FORWARD_CONNECT_TIMEOUT_MS);
      const finish = (result: SendResult): void => {
        clearTimeout(deadline);
        clearTimeout(connectLimit);
        request.signal.removeEventListener('abort', abort);
        resolve(result);
      };
      const fail = (error: unknown): void => {
        finish({ kind: 'failed', isSent: isConnected, detail: describeError(error) });
      };
      request.signal.addEventListener('abort', abort, { once: true });
      httpRequest.on('socket', (socket) => {
        // Nothing is written before the connection is open.
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      httpRequest.on('error', fail);
      httpRequest.on('response', (message) => {
        if (message.statusCode !== HTTP_OK) {
          // Members of earlier builds do not know the path.
          const reason = `status ${message.statusCode}`;
          message.resume();
          finish({ kind: 'replied', reply: { kind: 'declined', reason } });
          return;
        }
        readAll(message)
          .then((data) => finish({ kind: 'replied', reply: decodeForwardReply(data) }))
          .catch(fail);
      });
      httpRequest.end(body);
    });
  }
}
