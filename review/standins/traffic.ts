import { ClientConnection } from './client.js';
import type { ClientRequest, Sent } from './client.js';
import type { Gateways } from './gateways.js';

const PAUSE_AFTER_FAILURE_MS = 500;
const POLL_MS = 2;

/** Resolves after a time. */
export const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** A request, and the gateway that received it. */
export interface TrafficRequest {
  readonly gateway: number;
  readonly sent: Sent;
}

/** What a stream of requests consists of. */
export interface TrafficOptions {
  readonly gateways: Gateways;
  /** Gateway of each connection; a gateway may have several connections. */
  readonly connections: readonly number[];
  readonly pauseMs: number;
  readonly createRequest: (requestId: string) => ClientRequest;
}

/** Clients that each send one request after the other on a kept connection. */
export class Traffic {
  readonly requests: TrafficRequest[] = [];

  private isStopped = false;

  private tasks: readonly Promise<void>[] = [];

  private constructor(private readonly options: TrafficOptions) {}

  /** Starts all clients. */
  static start(options: TrafficOptions): Traffic {
    const traffic = new Traffic(options);
    traffic.tasks = options.connections.map((gateway) => traffic.run(gateway));
    return traffic;
  }

  /** Resolves when all clients have received their last answers. */
  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.tasks);
  }

  private async run(gateway: number): Promise<void> {
    while (!this.isStopped) {
      try {
        await this.useConnection(gateway);
      } catch {
        await sleep(PAUSE_AFTER_FAILURE_MS);
      }
    }
  }

  private async useConnection(gateway: number): Promise<void> {
    const { gateways, pauseMs, createRequest } = this.options;
    const host = gateways.hosts[gateway]!;
    const connection = await ClientConnection.open(host, gateways.frontendPort);
    while (!this.isStopped && connection.isOpen) {
      const requestId = `r${this.requests.length + 1}-g${gateway}`;
      const sent = connection.send(createRequest(requestId));
      this.requests.push({ gateway, sent });
      while (sent.answer === undefined && sent.cutAtMs === undefined) await sleep(POLL_MS);
      if (sent.answer?.closesConnection) break;
      await sleep(pauseMs);
    }
    connection.close();
  }
}
