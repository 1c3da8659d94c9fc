import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

interface StoredTopic {
  readonly records: Buffer[];
  readonly newest: Map<string, { readonly value: Buffer; readonly offset: number }>;
}

interface LongPoll {
  readonly topicName: string;
  readonly socket: Socket;
}

const LENGTH_BYTES = 4;
const HEADER_BYTES = 16;
const KEYED_PREFIX = 'keyed.';

const encodeRecord = (key: string, value: Buffer): Buffer => {
  const keyBytes = Buffer.from(key);
  const content = Buffer.concat([Buffer.from([keyBytes.length]), keyBytes, value]);
  const length = Buffer.alloc(LENGTH_BYTES);
  length.writeUInt32BE(content.length);
  return Buffer.concat([length, content]);
};

/** Sound stand-in of the platform's store in its log form: appends, reads and newest records. */
export class Store {
  private readonly topics = new Map<string, StoredTopic>();

  private readonly waiting = new Set<() => void>();

  private readonly servers: Server[] = [];

  /** Time of the latest read of a topic by each caller, as `performance.now` returns it. */
  private readonly readAtMs = new Map<string, number>();

  /** Long polls that wait for a record. */
  private readonly longPolls = new Set<LongPoll>();

  private readonly sockets = new Set<Socket>();

  /** Connections on which nothing passes any more. */
  private readonly silentSockets = new WeakSet<Socket>();

  private readonly cutCallers = new Set<string>();

  private isClosed = false;

  private constructor() {
    // Created through `create`.
  }

  /** Creates an empty store without a port; call `openPort` for each caller. */
  static create(): Store {
    return new Store();
  }

  /** Opens a free loopback port for one caller, and returns it. */
  async openPort(caller: string): Promise<number> {
    const server = createServer((message, response) => {
      this.answer(caller, message, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    this.servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return (server.address() as AddressInfo).port;
  }

  /** Time of the latest read of a topic by a caller; -Infinity if there was none. */
  lastReadAtMs(caller: string, topicName: string): number {
    return this.readAtMs.get(`${caller} ${topicName}`) ?? -Infinity;
  }

  /** Appends a record as the operator and the instances do; undefined removes the key. */
  put(topicName: string, key: string, value: unknown): void {
    const text = value === undefined ? '' : JSON.stringify(value);
    this.append(topicName, encodeRecord(key, Buffer.from(text)));
  }

  /** Number of long polls of a topic that wait now. */
  countLongPolls(topicName: string): number {
    return [...this.longPolls].filter((poll) => poll.topicName === topicName).length;
  }

  /**
   * Silences open connections for good and without a reset; new connections work. Returns their
   * number.
   */
  silence(which: 'all' | 'long polls'): number {
    const polling = [...this.longPolls].map(({ socket }) => socket);
    const silenced = which === 'all' ? [...this.sockets] : polling;
    for (const socket of silenced) this.silentSockets.add(socket);
    return silenced.length;
  }

  /** Cuts a caller off, so that nothing of it is answered on any connection, or heals the cut. */
  setCut(caller: string, isCut: boolean): void {
    if (isCut) this.cutCallers.add(caller);
    else this.cutCallers.delete(caller);
  }

  /** Closes the port and all connections. */
  close(): void {
    this.isClosed = true;
    for (const server of this.servers) {
      server.close();
      server.closeAllConnections();
    }
    for (const wake of this.waiting) wake();
  }

  private topic(name: string): StoredTopic {
    const known = this.topics.get(name);
    if (known !== undefined) return known;
    const created: StoredTopic = { records: [], newest: new Map() };
    this.topics.set(name, created);
    return created;
  }

  private append(topicName: string, record: Buffer): void {
    const topic = this.topic(topicName);
    const offset = topic.records.length;
    topic.records.push(record);
    if (topicName.startsWith(KEYED_PREFIX)) {
      const keyEnd = LENGTH_BYTES + 1 + record.readUInt8(LENGTH_BYTES);
      const key = record.subarray(LENGTH_BYTES + 1, keyEnd).toString('utf8');
      const value = record.subarray(keyEnd);
      if (value.length === 0) topic.newest.delete(key);
      else topic.newest.set(key, { value, offset });
    }
    for (const wake of this.waiting) wake();
  }

  private async answer(
    caller: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    if (this.cutCallers.has(caller)) this.silentSockets.add(message.socket);
    if (this.silentSockets.has(message.socket)) return;
    const url = new URL(message.url ?? '/', 'http://store');
    const name = url.searchParams.get('topic') ?? '';
    if (url.pathname !== '/log-append') this.readAtMs.set(`${caller} ${name}`, performance.now());
    switch (url.pathname) {
      case '/log-newest':
        this.answerNewest(name, response);
        return;
      case '/log-read':
        await this.answerRead(caller, name, url.searchParams, response, message.socket);
        return;
      case '/log-append':
        await this.answerAppend(name, message, response);
        return;
      default:
        response.writeHead(404).end();
    }
  }

  private answerNewest(name: string, response: ServerResponse): void {
    const { newest, records } = this.topic(name);
    const items = [...newest].map(([key, { value, offset }]) => ({
      key,
      value: value.toString('base64'),
      offset,
    }));
    const page = { items, has_more: false, end_offset: records.length };
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify(page));
  }

  private async answerRead(
    caller: string,
    name: string,
    query: URLSearchParams,
    response: ServerResponse,
    socket: Socket,
  ): Promise<void> {
    const { records } = this.topic(name);
    const from = Number(query.get('from') ?? 0);
    const waitMs = Number(query.get('wait_ms') ?? 0);
    if (records.length <= from && waitMs > 0) {
      const poll: LongPoll = { topicName: name, socket };
      this.longPolls.add(poll);
      await this.waitForRecord(records, from, waitMs);
      this.longPolls.delete(poll);
    }
    if (this.silentSockets.has(socket) || this.cutCallers.has(caller)) return;
    const header = Buffer.alloc(HEADER_BYTES);
    header.writeBigUInt64BE(BigInt(records.length), 0);
    response.end(Buffer.concat([header, ...records.slice(from)]));
  }

  private waitForRecord(records: readonly Buffer[], from: number, waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const wake = (): void => {
        if (records.length <= from && !this.isClosed) return;
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      this.waiting.add(wake);
      timer = setTimeout(() => {
        this.waiting.delete(wake);
        resolve();
      }, waitMs);
    });
  }

  private async answerAppend(
    name: string,
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    const data = Buffer.concat(chunks);
    const { records } = this.topic(name);
    const offset = records.length;
    for (let start = 0; start < data.length;) {
      const end = start + LENGTH_BYTES + data.readUInt32BE(start);
      this.append(name, data.subarray(start, end));
      start = end;
    }
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ offset, end_offset: records.length }));
  }
}
