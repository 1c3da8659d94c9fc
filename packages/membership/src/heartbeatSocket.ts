import { createSocket } from 'node:dgram';
import type { RemoteInfo, Socket } from 'node:dgram';
import { once } from 'node:events';

import type { Endpoint } from '@bronzelift/common';
import { StepError, describeError, formatEndpoint } from '@bronzelift/common';
import { HeartbeatDatagramSchema } from '@bronzelift/protocol';
import type { HeartbeatDatagram, HeartbeatRequest, HeartbeatResponse } from '@bronzelift/protocol';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';

import { HEARTBEAT_TIMEOUT_MS, MAX_DATAGRAM_BYTES } from './constants.js';

/** Sends a heartbeat and resolves with its response; rejects with a StepError on timeout. */
export type HeartbeatExchange = (
  endpoint: Endpoint,
  request: HeartbeatRequest,
) => Promise<HeartbeatResponse>;

const decode = (data: Uint8Array): HeartbeatDatagram | undefined => {
  try {
    return fromBinary(HeartbeatDatagramSchema, data);
  } catch {
    return undefined;
  }
};

/**
 * Sends and answers heartbeats as UDP datagrams. Over HTTP, one heartbeat with its response takes
 * 749 bytes and several times the CPU time, too much for the control budget of a node with 17 peers.
 */
export class HeartbeatSocket {
  private readonly waiting = new Map<bigint, (response: HeartbeatResponse) => void>();

  private lastSequence = BigInt(Math.floor(Math.random() * Number.MAX_SAFE_INTEGER));

  private isClosed = false;

  private sentBytes = 0;

  private receivedBytes = 0;

  private constructor(
    private readonly socket: Socket,
    private readonly answer: (request: HeartbeatRequest) => HeartbeatResponse | undefined,
  ) {
    socket.on('message', (data, remote) => this.receive(data, remote));
    // Send errors are ignored: the heartbeat then times out without a response.
    socket.on('error', () => {});
  }

  /** Creates a socket that answers requests with the result of the given function. */
  static create(
    answer: (request: HeartbeatRequest) => HeartbeatResponse | undefined,
  ): HeartbeatSocket {
    return new HeartbeatSocket(createSocket('udp4'), answer);
  }

  /** Starts listening; rejects with a StepError if the port cannot be opened. */
  async bind(endpoint: Endpoint): Promise<void> {
    this.socket.bind(endpoint.port, endpoint.host);
    try {
      await once(this.socket, 'listening');
    } catch (error) {
      const peer = formatEndpoint(endpoint);
      throw StepError.create('open heartbeat port', peer, describeError(error), error);
    }
  }

  /** Sends a heartbeat and waits at most HEARTBEAT_TIMEOUT_MS for the response. */
  exchange(endpoint: Endpoint, request: HeartbeatRequest): Promise<HeartbeatResponse> {
    this.lastSequence += 1n;
    const sequence = this.lastSequence;
    return new Promise<HeartbeatResponse>((resolve, reject) => {
      const timer = setTimeout(() => {
        const peer = formatEndpoint(endpoint);
        reject(StepError.create('exchange heartbeat', peer, 'no response within the time limit'));
      }, HEARTBEAT_TIMEOUT_MS);
      this.waiting.set(sequence, (response) => {
        clearTimeout(timer);
        resolve(response);
      });
      this.send(endpoint, { sequence, content: { case: 'request', value: request } });
    }).finally(() => this.waiting.delete(sequence));
  }

  /** Total payload bytes sent and received, without UDP and IP headers. */
  get traffic(): { readonly sentBytes: number; readonly receivedBytes: number } {
    return { sentBytes: this.sentBytes, receivedBytes: this.receivedBytes };
  }

  /** Closes the port; datagrams sent after that are dropped. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
  }

  private receive(data: Uint8Array, remote: RemoteInfo): void {
    this.receivedBytes += data.length;
    if (data.length > MAX_DATAGRAM_BYTES) return;
    const datagram = decode(data);
    if (!datagram) return;
    const { sequence, content } = datagram;
    if (content.case === 'response') {
      this.waiting.get(sequence)?.(content.value);
      return;
    }
    if (content.case !== 'request') return;
    const response = this.answer(content.value);
    if (!response) return;
    const endpoint = { host: remote.address, port: remote.port };
    this.send(endpoint, { sequence, content: { case: 'response', value: response } });
  }

  private send(endpoint: Endpoint, message: Pick<HeartbeatDatagram, 'sequence' | 'content'>): void {
    if (this.isClosed) return;
    const data = toBinary(HeartbeatDatagramSchema, create(HeartbeatDatagramSchema, message));
    this.sentBytes += data.length;
    this.socket.send(data, endpoint.port, endpoint.host);
  }
}
