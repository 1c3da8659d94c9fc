import type { Result } from 'ts-results';

import { describeError, sleep } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogFollower } from '@bronzelift/control-log';
import type { ControlState, FoldResult, LogClient, PageOutcome } from '@bronzelift/control-log';
import { Err, Ok } from '@bronzelift/settings';

import { READ_TIMEOUT_MS, READ_WAIT_MS, RETRY_PAUSE_MS } from './constants.js';
import type { Output } from './output.js';

/** Record read from the log and its effect on the state. */
export interface FoldedRecord {
  readonly offset: number;
  readonly payload: unknown;
  readonly result: FoldResult;
}

/** Log access and output of a command. */
export interface LogContext {
  readonly client: LogClient;
  readonly session: LogSession;
  readonly output: Output;
}

/** Follows the log for the duration of one command. */
export class LogSession {
  private readonly unsearchedRecords: FoldedRecord[] = [];

  private readonly follower = LogFollower.create({
    onViolation: (name, detail) => this.violations.push(`${name}: ${detail}`),
    onRecord: ({ offset, payload }, result) =>
      this.unsearchedRecords.push({ offset, payload, result }),
  });

  private readonly violations: string[] = [];

  private lastError = 'no response yet';

  private constructor(
    private readonly client: LogClient,
    private readonly clock: Clock,
  ) {}

  /** Creates a session whose first read starts at offset 0. */
  static create(client: LogClient, clock: Clock): LogSession {
    return new LogSession(client, clock);
  }

  /** Reads to the end of the log; the error says why the end can't be reached. */
  async readState(): Promise<Result<ControlState, string>> {
    const deadlineMs = this.clock.monotonicMs() + READ_TIMEOUT_MS;
    while (this.clock.monotonicMs() < deadlineMs) {
      const outcome = await this.readPage(0);
      if (outcome === 'caught-up') {
        this.unsearchedRecords.splice(0);
        return Ok(this.follower.foldedState!);
      }
      if (outcome === 'no-base') {
        return Err(
          'the records kept on the log hold no snapshot to start from; ' +
            'a running entry daemon publishes a snapshot within half a minute',
        );
      }
      if (outcome === 'failed' || outcome === 'malformed') return Err(this.lastError);
    }
    return Err(`the end of the log was not reached within ${READ_TIMEOUT_MS} ms`);
  }

  /** Encodes a snapshot of the empty state, as the base for a log that has none. */
  createEmptyBase(): string | undefined {
    return this.follower.createEmptyBase();
  }

  /**
   * Continues to read until a record matches, and returns it with its effect. Returns undefined
   * on a timeout, when the record may still follow, and when the log lost records.
   */
  async findRecord(
    isWanted: (record: FoldedRecord) => boolean,
    timeoutMs: number,
  ): Promise<FoldedRecord | undefined> {
    const deadlineMs = this.clock.monotonicMs() + timeoutMs;
    for (;;) {
      const found = this.unsearchedRecords.splice(0).find(isWanted);
      const remainingMs = deadlineMs - this.clock.monotonicMs();
      if (found !== undefined || remainingMs <= 0) return found;
      const outcome = await this.readPage(Math.min(READ_WAIT_MS, Math.ceil(remainingMs)));
      // The log lost records, possibly the wanted one; the caller has to handle that.
      if (outcome === 'restarted' || outcome === 'no-base') return undefined;
      if (outcome === 'failed' || outcome === 'malformed') await sleep(RETRY_PAUSE_MS);
    }
  }

  private async readPage(waitMs: number): Promise<PageOutcome | 'failed'> {
    const { from, limit } = this.follower.nextRead;
    const page = await this.client.read(from, limit, waitMs);
    if (page.err) {
      this.lastError = describeError(page.val.error);
      if (page.val.tooLarge) this.follower.lowerLimit();
      return page.val.tooLarge ? 'behind' : 'failed';
    }
    const outcome = this.follower.acceptPage(page.val);
    if (outcome === 'malformed') this.lastError = 'the log service returned inconsistent offsets';
    return outcome;
  }
}
