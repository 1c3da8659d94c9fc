import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Clock, Endpoint } from '@bronzelift/common';
import { SystemClock, assertNever, sleep } from '@bronzelift/common';
import { z } from 'zod';

import { logBehaviorSchema } from './behaviors.js';
import type { LogBehavior, ParsedLogBehavior } from './behaviors.js';
import {
  CLIENT_ID_HEADER,
  DEFAULT_APPENDS_PER_SECOND,
  DEFAULT_READ_LIMIT,
  MAX_READ_WAIT_MS,
} from './constants.js';
import { handleControl } from './controlApi.js';
import { LogStore } from './logStore.js';
import { OutageState, answerUnavailable } from './outage.js';
import { StandinServer } from './standinServer.js';
import type { LogReport, LogStandinOptions, OutageMode, Standin } from './types.js';
import { getHeader, parseJson, getPath, getQuery, readBody, sendJson } from './utils.js';

const appendSchema = z.object({ payload: z.unknown() }).refine((body) => 'payload' in body);

const readSchema = z.object({
  from: z.coerce.number().int().nonnegative().default(0),
  limit: z.coerce.number().int().positive().default(DEFAULT_READ_LIMIT),
  waitMs: z.coerce.number().nonnegative().default(0),
});

/** Simulates the log service with records in memory, and faults on request. */
export class LogStandin implements Standin {
  private readonly server = StandinServer.create((request, response) =>
    this.handle(request, response),
  );

  private readonly outage: OutageState;

  private readonly blockedClients = new Map<string, OutageMode>();

  private readonly waitingReads = new Set<() => void>();

  private readonly counts = {
    appends: 0,
    refusedAppends: 0,
    lostResponses: 0,
    reads: 0,
    blockedRequests: 0,
    unavailableRequests: 0,
  };

  private readonly appendsByClient: Record<string, number> = {};

  private delayMs = 0;

  private responsesToLose = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly store: LogStore,
  ) {
    this.outage = OutageState.create(clock);
  }

  /** Creates an empty log that accepts no connections before `listen`. */
  static create(options: LogStandinOptions = {}): LogStandin {
    const limits = {
      appendsPerSecond: options.appendsPerSecond ?? DEFAULT_APPENDS_PER_SECOND,
      retentionMs: options.retentionMs ?? null,
      retentionRecords: options.retentionRecords ?? null,
    };
    const store = LogStore.create(limits, options.firstOffset);
    return new LogStandin(options.clock ?? SystemClock.create(), store);
  }

  listen(port: number, host?: string): Promise<Endpoint> {
    return this.server.listen(port, host);
  }

  close(): Promise<void> {
    return this.server.close();
  }

  /** Applies a behavior as the control endpoint does; throws when it is invalid. */
  apply(behavior: LogBehavior): void {
    this.applyParsed(logBehaviorSchema.parse(behavior));
  }

  /** Reports the range of the log and the request counts since the start. */
  report(): LogReport {
    const { logId, firstOffset, endOffset } = this.store.read(0, 0, this.clock.wallMs());
    const appendsByClient = { ...this.appendsByClient };
    return { logId, firstOffset, endOffset, ...this.counts, appendsByClient };
  }

  private applyParsed(behavior: ParsedLogBehavior): void {
    switch (behavior.kind) {
      case 'outage':
        this.outage.start(behavior.mode, behavior.durationMs);
        break;
      case 'available':
        this.outage.end();
        break;
      case 'delay':
        this.delayMs = behavior.delayMs;
        break;
      case 'lose-append-responses':
        this.responsesToLose = behavior.count;
        break;
      case 'retention':
        if (behavior.maxAgeMs !== undefined) this.store.limits.retentionMs = behavior.maxAgeMs;
        if (behavior.maxRecords !== undefined) {
          this.store.limits.retentionRecords = behavior.maxRecords;
        }
        break;
      case 'append-limit':
        this.store.limits.appendsPerSecond = behavior.perSecond;
        break;
      case 'restart':
        this.store.restart(behavior.endOffset);
        break;
      case 'block':
        behavior.clientIds.forEach((clientId) => this.blockedClients.set(clientId, behavior.mode));
        break;
      case 'unblock':
        (behavior.clientIds ?? [...this.blockedClients.keys()]).forEach((clientId) =>
          this.blockedClients.delete(clientId),
        );
        break;
      default:
        assertNever(behavior);
    }
    this.wakeReads();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const control = {
      schema: logBehaviorSchema,
      apply: (behavior: ParsedLogBehavior) => this.applyParsed(behavior),
      report: () => this.report(),
    };
    if (await handleControl(control, request, response)) return;
    if (this.rejectIfUnavailable(request, response)) return;
    const route = `${request.method} ${getPath(request)}`;
    if (route === 'POST /v1/records') await this.append(request, response);
    else if (route === 'GET /v1/records') await this.read(request, response);
    else sendJson(response, 404, { code: 'not-found' });
  }

  /**
   * Refuses a request, or never responds to it, during an outage or if its client is blocked.
   * Returns whether it did so.
   */
  private rejectIfUnavailable(request: IncomingMessage, response: ServerResponse): boolean {
    const outageMode = this.outage.current();
    const blockMode = this.blockedClients.get(getHeader(request, CLIENT_ID_HEADER) ?? '');
    const mode = outageMode ?? blockMode;
    if (mode === undefined) return false;
    if (outageMode) this.counts.unavailableRequests += 1;
    else this.counts.blockedRequests += 1;
    answerUnavailable(mode, response);
    return true;
  }

  private async append(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parsed = appendSchema.safeParse(parseJson(await readBody(request)));
    if (!parsed.success) {
      sendJson(response, 400, { code: 'invalid-record' });
      return;
    }
    const record = this.store.append(parsed.data.payload, this.clock.wallMs());
    if (!record) {
      this.counts.refusedAppends += 1;
      sendJson(response, 429, { code: 'append-limit' }, { 'retry-after': '1' });
      return;
    }
    this.countAppend(getHeader(request, CLIENT_ID_HEADER) ?? '');
    this.wakeReads();
    await this.delayResponse();
    if (this.responsesToLose > 0) {
      this.responsesToLose -= 1;
      this.counts.lostResponses += 1;
      request.socket.resetAndDestroy();
      return;
    }
    sendJson(response, 201, { offset: record.offset });
  }

  private async read(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parsed = readSchema.safeParse(Object.fromEntries(getQuery(request)));
    if (!parsed.success) {
      sendJson(response, 400, { code: 'invalid-query' });
      return;
    }
    this.counts.reads += 1;
    const { from, limit, waitMs } = parsed.data;
    // A reader past the end gets a response at once, since the log restarted at a lower offset.
    if (from === this.store.endOffset) await this.waitForChange(waitMs, response);
    await this.delayResponse();
    if (this.rejectIfUnavailable(request, response)) return;
    sendJson(response, 200, this.store.read(from, limit, this.clock.wallMs()));
  }

  /** Waits for an append, a change of behavior, a client disconnect or the end of `waitMs`. */
  private async waitForChange(waitMs: number, response: ServerResponse): Promise<void> {
    if (waitMs === 0) return;
    const wake = new AbortController();
    const abort = (): void => wake.abort();
    this.waitingReads.add(abort);
    response.once('close', abort);
    await sleep(Math.min(waitMs, MAX_READ_WAIT_MS), wake.signal);
    this.waitingReads.delete(abort);
    response.off('close', abort);
  }

  private wakeReads(): void {
    this.waitingReads.forEach((wake) => wake());
  }

  private async delayResponse(): Promise<void> {
    if (this.delayMs > 0) await sleep(this.delayMs);
  }

  private countAppend(clientId: string): void {
    this.counts.appends += 1;
    this.appendsByClient[clientId] = (this.appendsByClient[clientId] ?? 0) + 1;
  }
}
