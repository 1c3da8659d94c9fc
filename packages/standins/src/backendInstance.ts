import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Clock, Endpoint, RandomSource } from '@bronzelift/common';
import { BackendHeader, assertNever, createIncarnation } from '@bronzelift/common';

import { sendAnswer, sendEndlessBody, sendEndlessHead, sendTruncatedAnswer } from './answers.js';
import type { Answer } from './answers.js';
import type { ParsedBackendBehavior, ResponseFault } from './behaviors.js';
import { INSTANCE_DEFAULTS, SERVICE_TIME_HEADER } from './constants.js';
import { createExpectedBody } from './expectedBody.js';
import { InstanceWork } from './instanceWork.js';
import type { InstanceSettings, Job, RefusalCode } from './instanceWork.js';
import { ResponseFaults } from './responseFaults.js';
import type { RunRegistry } from './runRegistry.js';
import { createStandinHttpServer } from './standinServer.js';
import type { InstanceOptions, InstanceReport } from './types.js';
import { closeServer, getHeader, listenOn, getPath, readBody, sendJson } from './utils.js';

interface Connection {
  silent: boolean;
  lastAnswer: Answer | undefined;
}

interface Misreport {
  readonly loadState?: string | undefined;
  readonly inFlight?: number | undefined;
}

/** Simulated instance of a backend server that listens on its own port. */
export class BackendInstance {
  readonly settings: InstanceSettings;

  private readonly work: InstanceWork;

  private readonly faults: ResponseFaults;

  private readonly connections = new Map<Socket, Connection>();

  private server: Server | undefined;

  private endpoint: Endpoint = { host: '127.0.0.1', port: 0 };

  private connectionsAccepted = 0;

  private connectionsRefused = 0;

  private lastAnswer: Answer | undefined;

  private misreport: Misreport = {};

  private restartTimer: NodeJS.Timeout | undefined;

  private unfreezeTimer: NodeJS.Timeout | undefined;

  private constructor(
    options: InstanceOptions,
    private readonly clock: Clock,
    private readonly random: RandomSource,
    registry: RunRegistry,
  ) {
    this.settings = { ...INSTANCE_DEFAULTS, port: 0, startsCold: true, ...options };
    this.work = InstanceWork.create(this.settings, clock, random, registry, this.newBootId());
    this.faults = ResponseFaults.create(random);
  }

  /** Creates an instance that accepts no connections before `listen`. */
  static create(
    options: InstanceOptions,
    clock: Clock,
    random: RandomSource,
    registry: RunRegistry,
  ): BackendInstance {
    return new BackendInstance(options, clock, random, registry);
  }

  /** Starts to accept connections and returns the address in use. */
  async listen(host: string): Promise<Endpoint> {
    this.endpoint = { host, port: this.settings.port };
    await this.open();
    return this.endpoint;
  }

  /** Closes the port and all connections, and cancels pending timers. */
  async close(): Promise<void> {
    clearTimeout(this.restartTimer);
    clearTimeout(this.unfreezeTimer);
    this.work.close();
    const { server } = this;
    this.server = undefined;
    if (server) await closeServer(server);
  }

  /** Applies a behavior, such as a fault, to this instance. */
  async apply(behavior: ParsedBackendBehavior): Promise<void> {
    switch (behavior.kind) {
      case 'restart':
        await this.restart(behavior.downMs);
        break;
      case 'cold':
        this.work.becomeCold();
        break;
      case 'warm':
        this.work.becomeWarm();
        break;
      case 'slow':
        this.work.slowdownFactor = behavior.factor;
        break;
      case 'freeze':
        this.freeze(behavior.durationMs);
        break;
      case 'unfreeze':
        this.work.unfreeze();
        break;
      case 'drain':
        this.work.draining = true;
        break;
      case 'undrain':
        this.work.draining = false;
        break;
      case 'fail-fast':
        this.work.isFailingFast = behavior.active;
        break;
      case 'response-fault':
        this.faults.add(behavior);
        break;
      case 'clear-response-faults':
        this.faults.clear();
        break;
      case 'silence-connections':
        this.silenceConnections();
        break;
      case 'misreport':
        this.misreport = { loadState: behavior.loadState, inFlight: behavior.inFlight };
        break;
      default:
        assertNever(behavior);
    }
  }

  /** Reports the state, and the counts since the creation, which restarts do not reset. */
  report(): InstanceReport {
    const { instanceId, service, failureDomainId } = this.settings;
    return {
      instanceId,
      service,
      failureDomainId,
      endpoint: this.endpoint,
      bootId: this.work.bootId,
      state: this.work.state,
      openConnections: this.connections.size,
      connectionsAccepted: this.connectionsAccepted,
      connectionsRefused: this.connectionsRefused,
      ...this.work.counts,
      lastArrivalAtMs: this.work.lastArrivalAtMs,
      lastStartAtMs: this.work.lastStartAtMs,
    };
  }

  private newBootId(): string {
    return createIncarnation(this.clock, this.random);
  }

  private async open(): Promise<void> {
    const server = createStandinHttpServer((request, response) => this.handle(request, response));
    server.on('connection', (socket) => this.accept(socket));
    this.server = server;
    this.endpoint = await listenOn(server, this.endpoint.port, this.endpoint.host);
  }

  private accept(socket: Socket): void {
    // A reset by the client is not an error here.
    socket.on('error', () => undefined);
    if (this.connections.size >= this.settings.maxConnections) {
      this.connectionsRefused += 1;
      socket.resetAndDestroy();
      return;
    }
    this.connectionsAccepted += 1;
    this.connections.set(socket, { silent: false, lastAnswer: undefined });
    socket.once('close', () => this.connections.delete(socket));
    this.work.acceptConnection();
  }

  private async restart(downMs: number): Promise<void> {
    this.work.restart(this.newBootId());
    clearTimeout(this.unfreezeTimer);
    this.lastAnswer = undefined;
    this.connections.forEach((_, socket) => socket.resetAndDestroy());
    this.connections.clear();
    if (downMs === 0 || !this.server) return;
    await this.close();
    this.restartTimer = setTimeout(() => {
      this.open().catch(() => undefined);
    }, downMs);
  }

  private freeze(durationMs: number | undefined): void {
    this.work.freeze();
    clearTimeout(this.unfreezeTimer);
    if (durationMs === undefined) return;
    this.unfreezeTimer = setTimeout(() => this.work.unfreeze(), durationMs);
  }

  private silenceConnections(): void {
    [...this.connections.values()].forEach((connection) => {
      const silenced = connection;
      silenced.silent = true;
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const connection = this.connections.get(request.socket);
    if (!connection || connection.silent) return;
    if (request.method === 'GET' && getPath(request) === '/load') {
      this.work.probe(() => this.answerProbe(connection, response));
      return;
    }
    const body = await readBody(request);
    this.submit(connection, request, response, body);
  }

  private answerProbe(connection: Connection, response: ServerResponse): void {
    if (connection.silent) return;
    const headers = this.createLoadHeaders();
    sendJson(
      response,
      200,
      {
        instanceId: this.settings.instanceId,
        bootId: this.work.bootId,
        inFlight: Number(headers[BackendHeader.loadInFlight]),
        slots: this.settings.slots,
        state: headers[BackendHeader.loadState],
      },
      headers,
    );
  }

  private submit(
    connection: Connection,
    request: IncomingMessage,
    response: ServerResponse,
    body: string,
  ): void {
    const idempotencyKey = getHeader(request, BackendHeader.idempotencyKey);
    const requestId = getHeader(request, BackendHeader.requestId);
    const fault = this.faults.draw();
    const path = request.url ?? '/';
    const job: Job = {
      idempotencyKey,
      requestId,
      deadlineMs: Number(getHeader(request, BackendHeader.deadlineMs) ?? Infinity),
      refuse: (code) => this.refuse(connection, response, requestId, code),
      complete: (serviceUs) => {
        const answer = {
          headers: {
            ...this.createResponseHeaders(requestId),
            [SERVICE_TIME_HEADER]: String(serviceUs),
          },
          body: createExpectedBody({ method: request.method ?? '', path, body, idempotencyKey }),
        };
        this.answer(connection, response, answer, fault);
      },
      ...(fault?.fault === 'reset-midway'
        ? { onHalfway: () => request.socket.resetAndDestroy() }
        : {}),
    };
    response.once('close', () => {
      // A silenced connection simulates a broken network, so the server does not learn of its end.
      if (!response.writableFinished && !connection.silent) this.work.cancel(job);
    });
    this.work.submit(job);
  }

  private refuse(
    connection: Connection,
    response: ServerResponse,
    requestId: string | undefined,
    code: RefusalCode,
  ): void {
    if (connection.silent) return;
    const headers = this.createResponseHeaders(requestId);
    if (code === 'failing') sendJson(response, 500, { code }, headers);
    else sendJson(response, 503, { code }, { ...headers, [BackendHeader.notRun]: '1' });
  }

  private answer(
    connection: Connection,
    response: ServerResponse,
    ownAnswer: Answer,
    fault: ResponseFault | undefined,
  ): void {
    const otherAnswer = connection.lastAnswer ?? this.lastAnswer;
    this.storeLastAnswer(connection, ownAnswer);
    // Checked when sending, because the connection may be silenced before a late response is sent.
    const send = (answer: Answer): void => {
      if (!connection.silent) sendAnswer(response, answer);
    };
    const name = fault?.fault ?? 'none';
    switch (name) {
      case 'none':
      case 'reset-midway':
        send(ownAnswer);
        break;
      case 'late':
        setTimeout(() => send(ownAnswer), fault?.delayMs);
        break;
      case 'crossed':
        send(otherAnswer ?? ownAnswer);
        break;
      case 'cut-short':
        if (!connection.silent) sendTruncatedAnswer(response, ownAnswer);
        break;
      case 'endless-head':
        if (!connection.silent) sendEndlessHead(response);
        break;
      case 'endless-body':
        if (!connection.silent) sendEndlessBody(response, ownAnswer);
        break;
      default:
        assertNever(name);
    }
  }

  private storeLastAnswer(connection: Connection, answer: Answer): void {
    const state = connection;
    state.lastAnswer = answer;
    this.lastAnswer = answer;
  }

  private createResponseHeaders(requestId: string | undefined): Record<string, string> {
    const headers = this.createLoadHeaders();
    return requestId === undefined ? headers : { ...headers, [BackendHeader.requestId]: requestId };
  }

  private createLoadHeaders(): Record<string, string> {
    return {
      [BackendHeader.instanceId]: this.settings.instanceId,
      [BackendHeader.bootId]: this.work.bootId,
      [BackendHeader.loadInFlight]: String(this.misreport.inFlight ?? this.work.inFlight),
      [BackendHeader.loadSlots]: String(this.settings.slots),
      [BackendHeader.loadState]: this.misreport.loadState ?? this.work.state,
    };
  }
}
