import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import { sleep } from '@bronzelift/common';
import type { Endpoint } from '@bronzelift/common';

import { ModelLog } from './logModel.js';

/** Fault that the server applies to every request; `normal` for none. */
export type ServerMode = 'normal' | 'silent' | 'lose-response' | 'truncate' | 'status-503';

const readBody = async (message: IncomingMessage): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of message) chunks.push(chunk as Buffer);
  return Buffer.concat(chunks).toString('utf8');
};

/** Log service on a free loopback port that injects failures on request. */
export class LogServer {
  mode: ServerMode = 'normal';

  /** Executes appends but drops their responses; reads work. */
  loseAppendResponses = false;

  /** Drops appends without executing them or responding; reads work. */
  dropAppends = false;

  requests = 0;

  log = new ModelLog('server');

  private readonly server: Server = createServer((message, response) => {
    this.requests += 1;
    this.handle(message, response).catch(() => response.destroy());
  });

  static async start(): Promise<LogServer> {
    const started = new LogServer();
    await new Promise<void>((resolve) => {
      started.server.listen(0, '127.0.0.1', resolve);
    });
    return started;
  }

  get endpoint(): Endpoint {
    return { host: '127.0.0.1', port: (this.server.address() as AddressInfo).port };
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(message);
    if (this.mode === 'silent') return;
    if (this.mode === 'status-503') {
      response.writeHead(503).end();
      return;
    }
    const isAppend = message.method === 'POST';
    if (isAppend && this.dropAppends) {
      response.destroy();
      return;
    }
    const answer = isAppend ? this.append(body) : await this.read(message.url!);
    if (this.mode === 'lose-response' || (isAppend && this.loseAppendResponses)) {
      response.destroy();
      return;
    }
    const text = JSON.stringify(answer);
    response.writeHead(isAppend ? 201 : 200, { 'content-length': Buffer.byteLength(text) });
    if (this.mode === 'truncate') response.write(text.slice(0, 5), () => response.destroy());
    else response.end(text);
  }

  private append(body: string): unknown {
    this.log.append((JSON.parse(body) as { payload: unknown }).payload);
    return { offset: this.log.payloads.length - 1 };
  }

  private async read(url: string): Promise<unknown> {
    const query = new URL(url, 'http://log').searchParams;
    const from = Number(query.get('from'));
    const endsAtMs = Date.now() + Number(query.get('waitMs'));
    while (from >= this.log.payloads.length && Date.now() < endsAtMs) await sleep(5);
    const { sizeBytes, ...page } = this.log.read(from, Number(query.get('limit')));
    const records = page.records.map((record) => ({ ...record, appendedAtMs: Date.now() }));
    return { ...page, records };
  }
}
