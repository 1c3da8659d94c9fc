import { describeError } from '@bronzelift/common';

import type { Agent } from 'node:http';
import type { Clock, MemberId } from '@bronzelift/common';
import {
  CALL_TIMEOUT_MS,
  DEADLINE_GRACE_MS,
  MAX_CALL_SOCKETS,
  MAX_FORWARD_SOCKETS,
  PeerPath,
  STATUS_WRONG_INCARNATION,
} from './constants.js';
import { readForwardAnswer, toForwardHeaders, toForwardPath } from './forwardMessages.js';
import { callPeer, closeIdleConnections, createPeerAgent } from './peerCall.js';
import {
  decodeClaimResult,
  decodeTakeoverResult,
  encodeClaim,
  encodeCompletions,
  encodeHandover,
  encodeRelease,
  encodeTakeover,
} from './peerMessages.js';

import type { PeerCallResult } from './peerCall.js';
import type {
  Claim,
  ClaimResult,
  CompletionReport,
  ForwardKind,
  ForwardResult,
  HandoverPart,
  OrderKey,
  OrderRequest,
  PeerDirectory,
  PeerOrderTransport,
  ReportResult,
  TakeoverResult,
} from './types.js';

const HTTP_OK = 200;

/** Address lookup, error handler and timeout of the transport. */
export interface PeerTransportOptions {
  readonly clock: Clock;
  readonly directory: PeerDirectory;
  /** Called for a response that cannot be decoded. */
  readonly onMalformed: (path: string, member: MemberId, detail: string) => void;
  /** Timeout of a claim or a similar message; by default `CALL_TIMEOUT_MS`. */
  readonly callTimeoutMs?: number;
}

/** Sends the messages about orders over keep-alive HTTP connections. */
export class PeerTransport implements PeerOrderTransport {
  private readonly callAgent: Agent = createPeerAgent(MAX_CALL_SOCKETS);

  /** Separate from `callAgent`, so that forwarded orders never delay a claim. */
  private readonly forwardAgent: Agent = createPeerAgent(MAX_FORWARD_SOCKETS);

  private constructor(private readonly options: PeerTransportOptions) {}

  /** Connections are opened with the first message to each member. */
  static create(options: PeerTransportOptions): PeerTransport {
    return new PeerTransport(options);
  }

  /** Closes all connections, also those with requests in progress. */
  close(): void {
    this.callAgent.destroy();
    this.forwardAgent.destroy();
  }

  claim(witness: MemberId, claim: Claim): Promise<ClaimResult> {
    return this.exchange(witness, PeerPath.claims, encodeClaim(claim), {
      decode: decodeClaimResult,
      wrongIncarnation: 'wrong-incarnation',
      unavailable: 'unavailable',
    });
  }

  takeover(witness: MemberId, key: OrderKey, requestHash: string): Promise<TakeoverResult> {
    const message = encodeTakeover(witness, { key, requestHash });
    return this.exchange<TakeoverResult>(witness, PeerPath.takeovers, message, {
      decode: decodeTakeoverResult,
      wrongIncarnation: { kind: 'wrong-incarnation' },
      unavailable: { kind: 'unavailable' },
    });
  }

  release(witness: MemberId, key: OrderKey, attempt: number): Promise<ReportResult> {
    return this.report(witness, PeerPath.releases, encodeRelease(witness, key, attempt));
  }

  completions(witness: MemberId, reports: readonly CompletionReport[]): Promise<ReportResult> {
    return this.report(witness, PeerPath.completions, encodeCompletions(witness, reports));
  }

  handover(witness: MemberId, part: HandoverPart): Promise<ReportResult> {
    return this.report(witness, PeerPath.handovers, encodeHandover(witness, part));
  }

  async forward(
    kind: ForwardKind,
    member: MemberId,
    request: OrderRequest,
  ): Promise<ForwardResult> {
    const endpoint = this.options.directory.endpointOf(member.vmId, member.incarnation);
    if (endpoint === undefined) return { kind: 'not-reached' };
    const remainingMs = Math.max(0, request.deadlineAtMs - this.options.clock.wallMs());
    const path = toForwardPath(kind, request.path);
    const result = await callPeer(
      {
        endpoint,
        method: request.method,
        path,
        headers: toForwardHeaders(member, request),
        body: request.body,
        timeoutMs: remainingMs + DEADLINE_GRACE_MS,
      },
      this.forwardAgent,
    );
    if (result.kind === 'no-response') closeIdleConnections(this.forwardAgent, endpoint);
    return this.toForwardResult(path, member, result);
  }

  private toForwardResult(path: string, member: MemberId, result: PeerCallResult): ForwardResult {
    if (result.kind !== 'response') return result;
    if (result.status === STATUS_WRONG_INCARNATION) return { kind: 'wrong-incarnation' };
    const answer = this.decodeSafely(path, member, () => readForwardAnswer(result));
    return answer === undefined ? { kind: 'no-response' } : { kind: 'answered', answer };
  }

  private report(witness: MemberId, path: string, body: Uint8Array): Promise<ReportResult> {
    return this.exchange<ReportResult>(witness, path, body, {
      decode: () => 'accepted',
      wrongIncarnation: 'wrong-incarnation',
      unavailable: 'unavailable',
    });
  }

  /** Sends an idempotent message; without a response it is retried once on a new connection. */
  private async exchange<T>(
    member: MemberId,
    path: string,
    body: Uint8Array,
    resultMapping: { decode: (body: Uint8Array) => T; wrongIncarnation: T; unavailable: T },
  ): Promise<T> {
    const endpoint = this.options.directory.endpointOf(member.vmId, member.incarnation);
    if (endpoint === undefined) return resultMapping.unavailable;
    const headers = { 'content-type': 'application/x-protobuf' };
    const timeoutMs = this.options.callTimeoutMs ?? CALL_TIMEOUT_MS;
    const call = { endpoint, method: 'POST', path, headers, body, timeoutMs };
    let result = await callPeer(call, this.callAgent);
    if (result.kind === 'no-response') {
      closeIdleConnections(this.callAgent, endpoint);
      result = await callPeer(call, undefined);
    }
    if (result.kind !== 'response') return resultMapping.unavailable;
    if (result.status === STATUS_WRONG_INCARNATION) return resultMapping.wrongIncarnation;
    if (result.status !== HTTP_OK) return resultMapping.unavailable;
    const { body: received } = result;
    const decoded = this.decodeSafely(path, member, () => resultMapping.decode(received));
    return decoded ?? resultMapping.unavailable;
  }

  private decodeSafely<T>(path: string, member: MemberId, decode: () => T): T | undefined {
    try {
      return decode();
    } catch (error) {
      this.options.onMalformed(path, member, describeError(error));
      return undefined;
    }
  }
}
