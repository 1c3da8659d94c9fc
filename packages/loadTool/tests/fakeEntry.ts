import { Agent, createServer, request } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

import type { Endpoint } from '@bronzelift/common';

/** Selects the action on each request to a service; `requestIndex` counts these requests from 0. */
export type FakeActionSelector = (requestIndex: number, request: IncomingMessage) => FakeAction;

/** Action on one request; `forward-twice` runs it twice, `deny` runs it but responds not-run. */
export type FakeAction =
  'forward' | 'forward-twice' | 'deny' | 'refuse' | 'new-ticket' | 'unknown' | 'drop' | 'damage';

interface BackendResponse {
  readonly headers: Record<string, string>;
  readonly body: string;
}

const TICKET = 'v1.a.1.b.1.0';
const NEW_TICKET = 'v1.a.1.c.1.0';

/** Minimal entry daemon that implements the callers' protocol in front of one backend instance. */
export class FakeEntry {
  private readonly server: Server;

  private readonly agent = new Agent({ keepAlive: true });

  private handledCount = 0;

  private endpoint: Endpoint = { host: '127.0.0.1', port: 0 };

  /** Listed before the fake's own address in responses to address requests. */
  extraAddresses: Endpoint[] = [];

  constructor(
    private readonly backend: Endpoint,
    private readonly mode: FakeActionSelector,
  ) {
    this.server = createServer((incoming, response) => {
      this.handle(incoming, response).catch(() => response.destroy());
    });
  }

  async listen(): Promise<Endpoint> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.endpoint = { host: '127.0.0.1', port: (this.server.address() as AddressInfo).port };
    return this.endpoint;
  }

  async close(): Promise<void> {
    this.agent.destroy();
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async handle(incoming: IncomingMessage, response: ServerResponse): Promise<void> {
    if (incoming.url?.startsWith('/bronzelift/v1/addresses')) {
      const addresses = [...this.extraAddresses, this.endpoint].map((address) => ({
        ...address,
        failureDomainId: 'd1',
      }));
      const answer = { addresses, keepForMs: 5000, ticket: TICKET, ticketValidForMs: 60_000 };
      response.end(JSON.stringify({ service: 's', ...answer }));
      return;
    }
    const action = this.mode(this.handledCount, incoming);
    this.handledCount += 1;
    const chunks: Buffer[] = [];
    for await (const chunk of incoming as AsyncIterable<Buffer>) chunks.push(chunk);
    await this.performAction(action, incoming, Buffer.concat(chunks).toString(), response);
  }

  private async performAction(
    action: FakeAction,
    incoming: IncomingMessage,
    body: string,
    response: ServerResponse,
  ): Promise<void> {
    const refuse = (outcome: string, headers: Record<string, string> = {}): void => {
      response.writeHead(503, { 'bronzelift-outcome': outcome, ...headers });
      response.end(JSON.stringify({ code: action, message: '', outcome, retryAfterMs: 20 }));
    };
    const retry = { 'bronzelift-retry-after-ms': '20' };
    if (action === 'refuse') refuse('not-run', retry);
    else if (action === 'new-ticket') {
      refuse('not-run', { ...retry, 'bronzelift-new-ticket': NEW_TICKET });
    } else if (action === 'unknown') refuse('unknown');
    else if (action === 'drop') response.destroy();
    else {
      const answer = await this.forward(incoming, body);
      if (action === 'forward-twice') await this.forward(incoming, body);
      if (action === 'deny') {
        refuse('not-run', { 'bronzelift-retry-after-ms': '60000' });
        return;
      }
      response.writeHead(200, { ...answer.headers, 'bronzelift-outcome': 'ran' });
      response.end(action === 'damage' ? answer.body.replace('sha', 'sho') : answer.body);
    }
  }

  private forward(incoming: IncomingMessage, body: string): Promise<BackendResponse> {
    const key = incoming.headers['idempotency-key'];
    const headers = key === undefined ? {} : { 'idempotency-key': String(key) };
    const { method } = incoming;
    const path = incoming.url!.slice('/s'.length);
    return new Promise((resolve, reject) => {
      const backendRequest = request(
        { ...this.backend, method, path, headers, agent: this.agent },
        (backendResponse) => {
          const chunks: Buffer[] = [];
          backendResponse.on('data', (chunk: Buffer) => chunks.push(chunk));
          backendResponse.on('end', () => {
            const serviceUs = String(backendResponse.headers['x-standin-service-us']);
            const answer = { headers: { 'x-standin-service-us': serviceUs } };
            resolve({ ...answer, body: Buffer.concat(chunks).toString() });
          });
        },
      );
      backendRequest.on('error', reject);
      backendRequest.end(body);
    });
  }
}
