import { Agent } from 'node:http';

import type { Result } from 'ts-results';
import { z } from 'zod';

import { StepError, formatEndpoint } from '@bronzelift/common';
import type { Clock, Endpoint } from '@bronzelift/common';
import { Err, Ok } from '@bronzelift/settings';

import {
  CONNECT_TIMEOUT_MS,
  MAX_COUNTER,
  MAX_RESPONSE_BYTES,
  REQUEST_TIMEOUT_MS,
  SILENCE_TIMEOUT_MS,
} from './constants.js';
import { exchange } from './httpExchange.js';
import type { ExchangeResult } from './httpExchange.js';
import type { AppendFailure, LogPage } from './types.js';

const APPEND_STEP = 'append log record';
const READ_STEP = 'read log';
const CREATED_STATUS = 201;
const OK_STATUS = 200;
const FIRST_SERVER_ERROR_STATUS = 500;

const offsetSchema = z.number().int().min(0).max(MAX_COUNTER);

const appendedSchema = z.object({ offset: offsetSchema });

const pageSchema = z.object({
  logId: z.string().min(1),
  firstOffset: offsetSchema,
  endOffset: offsetSchema,
  records: z.array(
    z.object({ offset: offsetSchema, appendedAtMs: z.number(), payload: z.unknown() }),
  ),
});

/** Address of the log service and the identity that the client sends to it. */
export interface LogClientOptions {
  readonly endpoint: Endpoint;
  /** Sent with every request, so that the log service can attribute requests to a process. */
  readonly clientId: string;
  readonly clock: Clock;
}

/** Failure of a read; when `tooLarge` is set, the caller should request fewer records. */
export interface ReadFailure {
  readonly error: StepError;
  readonly tooLarge: boolean;
}

const decodeBody = <T>(schema: z.ZodType<T>, body: string): T | undefined => {
  try {
    const parsed = schema.safeParse(JSON.parse(body));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
};

/** HTTP client of the log service. */
export class LogClient {
  private readonly peer: string;

  /** Keeps a connection open, because reads follow one another. */
  private readonly readAgent = new Agent({ keepAlive: true, maxSockets: 2 });

  /** Opens a new connection for each append: if that fails, nothing was sent. */
  private readonly appendAgent = new Agent({ keepAlive: false });

  private constructor(private readonly options: LogClientOptions) {
    this.peer = formatEndpoint(options.endpoint);
  }

  /** Creates a client; no connection is opened before the first call. */
  static create(options: LogClientOptions): LogClient {
    return new LogClient(options);
  }

  /**
   * Appends a record and returns its offset. The failure says whether the record may be on
   * the log: only a failure to connect or a status from 300 to below 500 rules it out.
   */
  async append(payload: string, signal?: AbortSignal): Promise<Result<number, AppendFailure>> {
    const startedAtMs = this.options.clock.monotonicMs();
    const result = await exchange({
      ...this.commonOptions(),
      agent: this.appendAgent,
      method: 'POST',
      path: '/v1/records',
      body: JSON.stringify({ payload }),
      silenceTimeoutMs: SILENCE_TIMEOUT_MS * 2,
      ...(signal && { signal }),
    });
    const tookMs = Math.round(this.options.clock.monotonicMs() - startedAtMs);
    return this.parseAppendResult(result, tookMs);
  }

  /**
   * Reads up to `limit` records from an offset. If there are none yet, the log service waits
   * up to `waitMs` for the first one.
   */
  async read(
    from: number,
    limit: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<Result<LogPage, ReadFailure>> {
    const result = await exchange({
      ...this.commonOptions(),
      agent: this.readAgent,
      method: 'GET',
      path: `/v1/records?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      silenceTimeoutMs: waitMs + SILENCE_TIMEOUT_MS,
      totalTimeoutMs: waitMs + REQUEST_TIMEOUT_MS,
      ...(signal && { signal }),
    });
    if (result.kind === 'failed') return this.createReadFailure(result.detail, result.tooLarge);
    if (result.status !== OK_STATUS) return this.createReadFailure(`status ${result.status}`);
    const page = decodeBody(pageSchema, result.body);
    if (page === undefined) return this.createReadFailure('malformed response');
    return Ok({ ...page, sizeBytes: Buffer.byteLength(result.body) });
  }

  /** Closes all connections, open requests included. */
  close(): void {
    this.readAgent.destroy();
    this.appendAgent.destroy();
  }

  private commonOptions() {
    return {
      endpoint: this.options.endpoint,
      headers: {
        'content-type': 'application/json',
        'x-client-id': this.options.clientId,
      },
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      totalTimeoutMs: REQUEST_TIMEOUT_MS,
      maxResponseBytes: MAX_RESPONSE_BYTES,
    };
  }

  private parseAppendResult(result: ExchangeResult, tookMs: number): Result<number, AppendFailure> {
    if (result.kind === 'failed') {
      const kind = result.sent ? 'unknown' : 'refused';
      return this.createAppendFailure(kind, `${result.detail} (after ${tookMs} ms)`);
    }
    if (result.status === CREATED_STATUS) {
      const appended = decodeBody(appendedSchema, result.body);
      return appended
        ? Ok(appended.offset)
        : this.createAppendFailure('unknown', 'malformed response');
    }
    const kind =
      result.status >= FIRST_SERVER_ERROR_STATUS || result.status < 300 ? 'unknown' : 'refused';
    return this.createAppendFailure(kind, `status ${result.status}`);
  }

  private createAppendFailure(
    kind: AppendFailure['kind'],
    detail: string,
  ): Result<number, AppendFailure> {
    return Err({ kind, error: StepError.create(APPEND_STEP, this.peer, detail) });
  }

  private createReadFailure(detail: string, tooLarge = false): Result<LogPage, ReadFailure> {
    return Err({ error: StepError.create(READ_STEP, this.peer, detail), tooLarge });
  }
}
