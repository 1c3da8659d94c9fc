import { Agent, request as httpRequest } from 'node:http';
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { Clock, Endpoint, MemberId, VmId } from '@bronzelift/common';
import { CallerHeader, Outcome, PeerHeader, describeError, formatMember } from '@bronzelift/common';

import { FORWARD_BASE_PATH } from './constants.js';
import type { WorkRequest, WorkResult } from './types.js';

const NON_FORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'upgrade',
  'te',
  'trailer',
  'proxy-connection',
  'host',
  'content-length',
  'expect',
]);

const MAX_SOCKETS_PER_PEER = 256;

/** Time allowed after the deadline for the peer's response to arrive, in milliseconds. */
const RESPONSE_TRANSIT_MS = 20;

/** Member and peer endpoint to which a request is forwarded. */
export interface ForwardTarget extends MemberId {
  readonly endpoint: Endpoint;
}

/** Result of forwarding a request to a peer. */
export interface ForwardOutcome {
  readonly result: WorkResult;
  /** Free slots of the service that the peer reported, if any. */
  readonly freeSlots: number | undefined;
  /** False if no connection was open, so that the request cannot have reached the peer. */
  readonly wasSent: boolean;
}

const copyHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> => {
  const copy: Record<string, string | string[]> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value !== undefined && !NON_FORWARDED_HEADERS.has(name)) copy[name] = value;
  }
  return copy;
};

const readNumber = (value: string | string[] | undefined): number | undefined => {
  const number = Number(Array.isArray(value) ? value[0] : value);
  return Number.isFinite(number) ? number : undefined;
};

const parseCode = (body: Buffer): string => {
  try {
    const { code } = JSON.parse(body.toString('utf8')) as { code?: unknown };
    return typeof code === 'string' ? code : 'backend-failed';
  } catch {
    return 'backend-failed';
  }
};

const toWorkResult = (message: IncomingMessage, body: Buffer): WorkResult => {
  const outcome = message.headers[CallerHeader.outcome];
  const retryAfterMs = readNumber(message.headers[CallerHeader.retryAfterMs]);
  if (outcome === Outcome.ran) {
    const headers = copyHeaders(message.headers);
    delete headers[CallerHeader.outcome];
    delete headers[PeerHeader.freeSlots];
    return { kind: 'answered', status: message.statusCode ?? 502, headers, body };
  }
  if (outcome === Outcome.notRun) {
    return { kind: 'not-run', code: parseCode(body), retryAfterMs: retryAfterMs ?? 0 };
  }
  return { kind: 'unknown', code: parseCode(body) };
};

/** Forwards requests to other entry VMs, which run them on their own slots. */
export class PeerForwarder {
  private readonly agents = new Map<VmId, Agent>();

  private constructor(
    private readonly clock: Clock,
    private readonly own: () => MemberId,
  ) {}

  /** Creates a forwarder; `own` returns this member, which the requests name as their sender. */
  static create(clock: Clock, own: () => MemberId): PeerForwarder {
    return new PeerForwarder(clock, own);
  }

  /** Closes all connections to peers. */
  close(): void {
    for (const agent of this.agents.values()) agent.destroy();
    this.agents.clear();
  }

  /** Forwards a request once; never rejects. A request that was not sent ends as not-run. */
  forward(target: ForwardTarget, work: WorkRequest, mayWait: boolean): Promise<ForwardOutcome> {
    return new Promise((resolve) => {
      let isConnected = false;
      const limitMs =
        Math.max(1, work.deadlineAtMs - this.clock.monotonicMs()) + RESPONSE_TRANSIT_MS;
      const request = httpRequest({
        agent: this.agentFor(target.vmId),
        host: target.endpoint.host,
        port: target.endpoint.port,
        method: work.method,
        path: `${FORWARD_BASE_PATH}run/${work.service}${work.path}`,
        headers: this.headersFor(target, work, mayWait),
      });
      const timer = setTimeout(() => request.destroy(new Error('no response in time')), limitMs);
      const abort = (): void => {
        request.destroy(new Error('the caller disconnected'));
      };
      const finish = (outcome: ForwardOutcome): void => {
        clearTimeout(timer);
        work.signal.removeEventListener('abort', abort);
        resolve(outcome);
      };
      const fail = (error: unknown): void => {
        const detail = describeError(error);
        if (isConnected) {
          const code = detail === 'no response in time' ? 'timeout' : 'backend-failed';
          finish({ result: { kind: 'unknown', code }, freeSlots: undefined, wasSent: true });
          return;
        }
        const result: WorkResult = { kind: 'not-run', code: 'no-capacity', retryAfterMs: 0 };
        finish({ result, freeSlots: undefined, wasSent: false });
      };
      work.signal.addEventListener('abort', abort, { once: true });
      request.on('socket', (socket) => {
        if (!socket.connecting) isConnected = true;
        else
          socket.once('connect', () => {
            isConnected = true;
          });
      });
      request.on('error', fail);
      request.on('response', (message) => {
        this.readResponseBody(message).then((body) => {
          finish({
            result: toWorkResult(message, body),
            freeSlots: readNumber(message.headers[PeerHeader.freeSlots]),
            wasSent: true,
          });
        }, fail);
      });
      request.end(work.body);
    });
  }

  private headersFor(
    target: ForwardTarget,
    work: WorkRequest,
    mayWait: boolean,
  ): Record<string, string | string[]> {
    return {
      ...copyHeaders(work.headers),
      'content-length': String(work.body.length),
      [PeerHeader.forwardedBy]: formatMember(this.own()),
      [PeerHeader.targetIncarnation]: target.incarnation,
      [PeerHeader.mayWait]: mayWait ? '1' : '0',
      [PeerHeader.deadlineAtMs]: String(Math.trunc(work.deadlineAtWallMs)),
    };
  }

  private agentFor(vmId: VmId): Agent {
    let agent = this.agents.get(vmId);
    if (!agent) {
      agent = new Agent({ keepAlive: true, maxSockets: MAX_SOCKETS_PER_PEER, scheduling: 'lifo' });
      this.agents.set(vmId, agent);
    }
    return agent;
  }

  // eslint-disable-next-line class-methods-use-this -- kept beside its only use
  private async readResponseBody(message: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of message as AsyncIterable<Buffer>) chunks.push(chunk);
    if (!message.complete) throw new Error('the response was incomplete');
    return Buffer.concat(chunks);
  }
}
