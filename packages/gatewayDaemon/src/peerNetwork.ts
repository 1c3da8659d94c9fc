import { createSocket } from 'node:dgram';
import type { RemoteInfo, Socket } from 'node:dgram';
import { once } from 'node:events';
import { createServer, get } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';

import { StepError, describeError, sleep } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  FORWARD_PATH,
  MAX_PEER_STATE_BYTES,
  NO_VERSION,
  PEER_CONNECTION_IDLE_MS,
  PEER_FETCH_TIMEOUT_MS,
  ROSTER_FETCH_TIMEOUT_MS,
  SEND_INTERVAL_MS,
} from './constants.js';
import type { OperatorSnapshot } from './controlState.js';
import type { RegistrySnapshot } from './instanceRegistry.js';
import { isHostAddress } from './fieldBounds.js';
import type { DomainRoster } from './members/index.js';
import { decodeOperatorSnapshot } from './operatorSnapshotCodec.js';
import { decodeMessage, decodeRosters, encodeMessage, encodeRosters } from './peerMessages.js';
import type { PeerMessage } from './peerMessages.js';
import { decodeSnapshot, encodeSnapshot } from './registrationCodec.js';
import { toOffset } from './storePosition.js';

/** What a peer knows beyond the versions in a query; parts without news are undefined. */
export interface PeerState {
  readonly operator: OperatorSnapshot | undefined;
  readonly instances: RegistrySnapshot | undefined;
}

/** Versions that the requester already has. */
export interface PeerStateQuery {
  readonly operatorRevision: number;
  readonly configurationVersion: number;
  /** Registrations that changed at this position or later are requested; undefined for all. */
  readonly instancePosition: number | undefined;
}

/** Addresses and callbacks of a PeerNetwork. */
export interface PeerNetworkOptions {
  readonly host: string;
  readonly port: number;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Bytes of spread datagrams that may be sent every SEND_INTERVAL_MS. */
  readonly sendBytesPerInterval: number;
  /** Called with a message and the host of the member that sent it first. */
  readonly onMessage: (message: PeerMessage, fromHost: string) => void;
  /** Called with the datagram of a message that its sender wants to be passed on. */
  readonly onPassOn: (data: Buffer, fromHost: string) => void;
  /** Lists the members that this entry VM publishes as a relay. */
  readonly createRosters: () => readonly DomainRoster[];
  readonly createState: (query: PeerStateQuery) => PeerState;
  /** Answers a request of a caller that another member forwards. */
  readonly onForward: (message: IncomingMessage, response: ServerResponse) => Promise<void>;
}

const HTTP_OK = 200;
const HTTP_NOT_FOUND = 404;

const STATE_PATH = '/state/3';

const ROSTERS_PATH = '/members/1';

/**
 * First bytes of datagrams to be passed on, and of those that were, with the host of their origin.
 * Neither JSON nor a compressed block, whose type is never 3, begins with them.
 */
const RelayMark = { passOn: 0x07, passedOn: 0x0f } as const;

/** Path of builds that know offsets of the store, but not its era. */
const OFFSET_STATE_PATH = '/state/2';

/** Path of builds that replace their whole set of registrations, without offsets. */
const WHOLE_STATE_PATH = '/state';

const compress = promisify(gzip);
const decompress = promisify(gunzip);

const readBody = async (message: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of message) {
    bytes += (chunk as Buffer).length;
    if (bytes > MAX_PEER_STATE_BYTES) throw new Error('the peer state exceeds the size limit');
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

/** Decodes the state of a peer; throws if a field is malformed or out of bounds. */
export const decodeState = (text: string): PeerState => {
  const { operator, instances } = JSON.parse(text) as Readonly<Record<string, unknown>>;
  const operatorSnapshot = operator === undefined ? undefined : decodeOperatorSnapshot(operator);
  const registrySnapshot = instances === undefined ? undefined : decodeSnapshot(instances);
  if (operator !== undefined && operatorSnapshot === undefined) {
    throw new Error("implausible operators' state");
  }
  if (instances !== undefined && registrySnapshot === undefined) {
    throw new Error('implausible registrations');
  }
  return { operator: operatorSnapshot, instances: registrySnapshot };
};

const toOffsetState = ({ operator, instances }: PeerState): PeerState => ({
  operator: operator && {
    ...operator,
    revision: toOffset(operator.revision),
    nextOffset: toOffset(operator.nextOffset),
  },
  instances: instances && {
    ...instances,
    nextPosition: toOffset(instances.nextPosition),
    entries: instances.entries.map((entry) => ({
      ...entry,
      recordPosition: toOffset(entry.recordPosition),
      removedPosition: toOffset(entry.removedPosition),
    })),
  },
});

/**
 * Sends heartbeats and changes as UDP datagrams, and answers requests for missed state and requests
 * of callers that other entry VMs forward over HTTP.
 */
export class PeerNetwork {
  private readonly socket: Socket;

  private readonly server: Server;

  private isClosed = false;

  /** The lists that were sent last, by their digests. */
  private compressedRosters: { readonly key: string; readonly data: Promise<Buffer> } | undefined;

  private constructor(private readonly options: PeerNetworkOptions) {
    this.socket = createSocket('udp4');
    this.socket.on('message', (data, remote) => this.handleDatagram(data, remote));
    this.socket.on('error', (error) => {
      options.log.warn(LogComponent.member, 'datagram socket error', {
        error: describeError(error),
      });
    });
    this.server = createServer((message, response) => {
      this.answer(message, response).catch((error) => {
        options.log.warn(LogComponent.member, 'peer not answered', { error: describeError(error) });
        response.destroy();
      });
    });
    this.server.keepAliveTimeout = PEER_CONNECTION_IDLE_MS;
  }

  /** Creates the network without opening ports; call `open`. */
  static create(options: PeerNetworkOptions): PeerNetwork {
    return new PeerNetwork(options);
  }

  /** Opens the UDP and the TCP port; rejects with a StepError if one is in use. */
  async open(): Promise<void> {
    const { host, port } = this.options;
    try {
      this.socket.bind(port, host);
      await once(this.socket, 'listening');
      this.server.listen(port, host);
      await once(this.server, 'listening');
    } catch (error) {
      throw StepError.create('open peer ports', `${host}:${port}`, describeError(error), error);
    }
  }

  /** Sends a message at once, without acknowledgment. */
  send(hosts: readonly string[], message: PeerMessage): void {
    if (this.isClosed) return;
    const data = encodeMessage(message);
    for (const host of hosts) this.socket.send(data, this.options.port, host);
  }

  /**
   * Sends datagrams to each host, spread over time: a burst that exceeds the capacity of the link
   * would be lost in part. Resolves when all are sent.
   */
  async sendSpread(hosts: readonly string[], datagrams: readonly Buffer[]): Promise<void> {
    let leftBytes = this.options.sendBytesPerInterval;
    for (const data of datagrams) {
      for (const host of hosts) {
        if (leftBytes <= 0) {
          await sleep(SEND_INTERVAL_MS);
          leftBytes += this.options.sendBytesPerInterval;
        }
        if (this.isClosed) return;
        this.socket.send(data, this.options.port, host);
        leftBytes -= data.length;
      }
    }
  }

  /** Sends a datagram to relays that pass it on to the members of their failure domains. */
  sendToPassOn(hosts: readonly string[], data: Buffer): void {
    if (this.isClosed || hosts.length === 0) return;
    const marked = Buffer.concat([Buffer.from([RelayMark.passOn]), data]);
    for (const host of hosts) this.socket.send(marked, this.options.port, host);
  }

  /** Like `sendToPassOn`, spread over time. Resolves when all are sent. */
  spreadToPassOn(hosts: readonly string[], datagrams: readonly Buffer[]): Promise<void> {
    const mark = Buffer.from([RelayMark.passOn]);
    return this.sendSpread(
      hosts,
      datagrams.map((data) => Buffer.concat([mark, data])),
    );
  }

  /** Passes a datagram on with the host that sent it first, spread over time. */
  spreadForOrigin(hosts: readonly string[], data: Buffer, originHost: string): Promise<void> {
    const origin = Buffer.from(originHost);
    const head = Buffer.from([RelayMark.passedOn, origin.length]);
    return this.sendSpread(hosts, [Buffer.concat([head, origin, data])]);
  }

  /** Fetches what a peer knows beyond the query's versions; rejects with a StepError. */
  async fetchState(
    host: string,
    { operatorRevision, configurationVersion, instancePosition }: PeerStateQuery,
  ): Promise<PeerState> {
    const since = instancePosition === undefined ? '' : `&since=${instancePosition}`;
    const versions = `revision=${operatorRevision}&version=${configurationVersion}`;
    const path = `${STATE_PATH}?${versions}${since}`;
    return this.fetch(host, path, 'fetch peer state', PEER_FETCH_TIMEOUT_MS, decodeState);
  }

  /** Fetches the members that a relay lists; rejects with a StepError. */
  async fetchRosters(host: string): Promise<DomainRoster[]> {
    return this.fetch(host, ROSTERS_PATH, 'fetch members', ROSTER_FETCH_TIMEOUT_MS, (text) => {
      const rosters = decodeRosters(JSON.parse(text));
      if (rosters === undefined) throw new Error('implausible members');
      return rosters;
    });
  }

  private async fetch<Result>(
    host: string,
    path: string,
    step: string,
    timeoutMs: number,
    decode: (text: string) => Result,
  ): Promise<Result> {
    const { port } = this.options;
    // Limits the whole response: over a congested link a few bytes may arrive all the time.
    const signal = AbortSignal.timeout(timeoutMs);
    try {
      const request = get({ host, port, path, agent: false, signal });
      const [response] = (await once(request, 'response')) as [IncomingMessage];
      const body = await readBody(response);
      if (response.statusCode !== HTTP_OK) throw new Error(`status ${response.statusCode}`);
      const data = await decompress(body, { maxOutputLength: MAX_PEER_STATE_BYTES });
      return decode(data.toString('utf8'));
    } catch (error) {
      const reason = signal.aborted ? 'no whole response in time' : describeError(error);
      throw StepError.create(step, `${host}:${port}`, reason, error);
    }
  }

  /** Closes both ports; later messages are dropped. */
  close(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.socket.close();
    this.server.close();
    this.server.closeAllConnections();
  }

  private handleDatagram(data: Buffer, { address }: RemoteInfo): void {
    const [mark, originBytes = 0] = data;
    if (mark === RelayMark.passOn) {
      const content = data.subarray(1);
      if (this.handleContent(content, address)) this.options.onPassOn(content, address);
      return;
    }
    if (mark !== RelayMark.passedOn) {
      this.handleContent(data, address);
      return;
    }
    const end = 2 + originBytes;
    const originHost = data.subarray(2, end).toString('latin1');
    if (isHostAddress(originHost)) this.handleContent(data.subarray(end), originHost);
  }

  /** Handles a message; returns whether it is one. */
  private handleContent(content: Buffer, fromHost: string): boolean {
    const message = decodeMessage(content);
    if (message !== undefined) {
      this.options.onMessage(message, fromHost);
      return true;
    }
    this.options.metrics.counter('bronzelift_malformed_datagrams_total').increment();
    this.options.log.warn(LogComponent.member, 'malformed datagram ignored', {
      from: fromHost,
      bytes: content.length,
    });
    return false;
  }

  private async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://peer');
    const since = url.searchParams.get('since');
    const operatorRevision = Number(url.searchParams.get('revision') ?? 0);
    switch (url.pathname) {
      case STATE_PATH: {
        const state = this.options.createState({
          operatorRevision,
          configurationVersion: Number(url.searchParams.get('version') ?? NO_VERSION),
          instancePosition: since === null ? undefined : Number(since),
        });
        await this.sendState(state, since ?? 'start', message, response);
        return;
      }
      case ROSTERS_PATH: {
        const data = await this.compressRosters(this.options.createRosters());
        response.setHeader('connection', 'close');
        response.end(data);
        return;
      }
      case FORWARD_PATH:
        await this.options.onForward(message, response);
        return;
      case OFFSET_STATE_PATH:
        await this.sendState(
          toOffsetState(this.createWholeState(operatorRevision)),
          'start',
          message,
          response,
        );
        return;
      case WHOLE_STATE_PATH:
        this.answerFormerBuild(operatorRevision, response);
        return;
      default:
        response.writeHead(HTTP_NOT_FOUND).end();
    }
  }

  /** Compresses lists once for all members that ask before they change. */
  private compressRosters(rosters: readonly DomainRoster[]): Promise<Buffer> {
    const key = JSON.stringify(
      rosters.map(({ failureDomainId, digest }) => [failureDomainId, digest]),
    );
    if (this.compressedRosters?.key !== key) {
      this.compressedRosters = {
        key,
        data: compress(JSON.stringify(encodeRosters(rosters))),
      };
    }
    return this.compressedRosters.data;
  }

  private async sendState(
    { operator, instances }: PeerState,
    since: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const state = { operator, instances: instances && encodeSnapshot(instances) };
    const data = await compress(JSON.stringify(state));
    this.options.metrics.counter('bronzelift_state_sent_bytes_total').increment(data.length);
    this.options.log.info(LogComponent.log, 'state sent to peer', {
      peer: message.socket.remoteAddress,
      since,
      bytes: data.length,
    });
    response.setHeader('connection', 'close');
    response.end(data);
  }

  /** Creates the state for a member of an earlier build; only its revision counts. */
  private createWholeState(operatorRevision: number): PeerState {
    return this.options.createState({
      operatorRevision,
      configurationVersion: Infinity,
      instancePosition: undefined,
    });
  }

  /** Answers a member of an earlier build, which would otherwise miss all changes of an upgrade. */
  private answerFormerBuild(operatorRevision: number, response: ServerResponse): void {
    const { operator, instances } = toOffsetState(this.createWholeState(operatorRevision));
    const records = instances && {
      nextOffset: instances.nextPosition,
      instances: instances.entries.flatMap(({ record }) => record ?? []),
    };
    response.setHeader('connection', 'close');
    response.end(JSON.stringify({ operator, instances: records }));
  }
}
