import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** A run of a request by an instance; times are in milliseconds since the start of the process. */
export interface Run {
  readonly requestId: string;
  readonly instanceId: string;
  readonly atMs: number;
  endedAtMs: number | undefined;
  /** Whether the connection of the request closed before the answer was written. */
  wasDropped: boolean;
}

const MS_PER_PERCENT = 100;

/** Sound stand-in of an instance: runs each request for a time and answers it whole. */
export class Instance {
  readonly runs: Run[] = [];

  private running = 0;

  private readonly server: Server;

  private constructor(
    readonly id: string,
    readonly slots: number,
    private readonly workMs: (path: string) => number,
  ) {
    this.server = createServer({ keepAliveTimeout: 10_000 }, (message, response) => {
      this.answer(message, response).catch(() => response.destroy());
    });
  }

  /** Starts an instance on a free loopback port; `workMs` is the duration of a run by its path. */
  static async start(
    id: string,
    slots: number,
    workMs: (path: string) => number,
  ): Promise<Instance> {
    const instance = new Instance(id, slots, workMs);
    await new Promise<void>((resolve) => {
      instance.server.listen(0, '127.0.0.1', resolve);
    });
    return instance;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes the port and all connections. */
  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async answer(message: IncomingMessage, response: ServerResponse): Promise<void> {
    response.setHeader('server-load', `${this.running},0,${this.slots},${MS_PER_PERCENT}`);
    if (message.url === '/health') {
      response.setHeader('instance-id', this.id);
      response.end();
      return;
    }
    const requestId = String(message.headers['request-id'] ?? '');
    response.setHeader('request-id', requestId);
    const expected = message.headers['target-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421).end();
      return;
    }
    if (this.running >= this.slots) {
      response.setHeader('not-executed', '1');
      response.writeHead(503).end();
      return;
    }
    const chunks: Buffer[] = [];
    for await (const chunk of message) chunks.push(chunk as Buffer);
    this.run(message, response, requestId);
  }

  private run(message: IncomingMessage, response: ServerResponse, requestId: string): void {
    const run: Run = {
      requestId,
      instanceId: this.id,
      atMs: performance.now(),
      endedAtMs: undefined,
      wasDropped: false,
    };
    this.runs.push(run);
    this.running += 1;
    const timer = setTimeout(
      () => {
        const body = `answer to ${requestId}`;
        response.writeHead(200, {
          'response-signature': `signed.${this.id}.${requestId}`,
          'content-length': Buffer.byteLength(body),
        });
        response.end(body);
      },
      this.workMs(message.url ?? ''),
    );
    response.once('close', () => {
      clearTimeout(timer);
      this.running -= 1;
      run.endedAtMs = performance.now();
      run.wasDropped = !response.writableFinished;
    });
  }
}
