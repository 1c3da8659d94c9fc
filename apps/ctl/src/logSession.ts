import type { Result } from 'ts-results';

import { describeError, sleep } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogFollower } from '@bronzelift/control-log';
import type { ControlState, FoldResult, LogClient, PageOutcome } from '@bronzelift/control-log';
import { Err, Ok } from '@bronzelift/settings';

import { READ_TIMEOUT_MS, READ_WAIT_MS, RETRY_PAUSE_MS } from './constants.js';
import type { Output } from './output.js';

/** A folded record and what it did. */
export interface FoldedRecord {
  readonly offset: number;
  readonly payload: unknown;
  readonly result: FoldResult;
}

/** What a command that reads the log works with. */
export interface LogContext {
  readonly client: LogClient;
  readonly session: LogSession;
  readonly output: Output;
}

/** Reads the log for one command. */
export class LogSession {
  private readonly unseen: FoldedRecord[] = [];

  private readonly follower = LogFollower.create({
    onViolation: (name, detail) => this.violations.push(`${name}: ${detail}`),
    onRecord: ({ offset, payload }, result) => this.unseen.push({ offset, payload, result }),
  });

  private readonly violations: string[] = [];

  private lastProblem = 'no response yet';

  private constructor(
    private readonly client: LogClient,
    private readonly clock: Clock,
  ) {}

  /** Creates a session that has read nothing. */
  static create(client: LogClient, clock: Clock): LogSession {
    return new LogSession(client, clock);
  }

  /** Reads to the end of the log; the error says why that was not possible. */
  async readState(): Promise<Result<ControlState, string>> {
    const deadlineMs = this.clock.monotonicMs() + READ_TIMEOUT_MS;
    while (this.clock.monotonicMs() < deadlineMs) {
      const outcome = await this.readPage(0);
      if (outcome === 'caught-up') {
        this.unseen.splice(0);
        return Ok(this.follower.foldedState!);
      }
      if (outcome === 'no-base') {
        return Err(
          'the records kept on the log hold no snapshot to start from; ' +
            'a running entry daemon publishes one within half a minute',
        );
      }
      if (outcome === 'failed' || outcome === 'malformed') return Err(this.lastProblem);
    }
    return Err(`the end of the log was not reached within ${READ_TIMEOUT_MS} ms`);
  }

  /** Record that gives a log without a base an empty state, after `readState` found none. */
  createEmptyBase(): string | undefined {
    return this.follower.createEmptyBase();
  }

  /**
   * Reads on until a record matches, and returns what it did. Undefined when none came in
   * time: it may still follow.
   */
  async findRecord(
    isWanted: (record: FoldedRecord) => boolean,
    timeoutMs: number,
  ): Promise<FoldedRecord | undefined> {
    const deadlineMs = this.clock.monotonicMs() + timeoutMs;
    for (;;) {
      const found = this.unseen.splice(0).find(isWanted);
      const remainingMs = deadlineMs - this.clock.monotonicMs();
      if (found !== undefined || remainingMs <= 0) return found;
      const outcome = await this.readPage(Math.min(READ_WAIT_MS, Math.ceil(remainingMs)));
      // After a loss of records the wanted one may be gone, which only the caller can judge.
      if (outcome === 'restarted' || outcome === 'no-base') return undefined;
      if (outcome === 'failed' || outcome === 'malformed') await sleep(RETRY_PAUSE_MS);
    }
  }

  private async readPage(waitMs: number): Promise<PageOutcome | 'failed'> {
    const { from, limit } = this.follower.nextRead;
    const page = await this.client.read(from, limit, waitMs);
    if (page.err) {
      this.lastProblem = describeError(page.val.error);
      if (page.val.tooLarge) this.follower.lowerLimit();
      return page.val.tooLarge ? 'behind' : 'failed';
    }
    const outcome = this.follower.acceptPage(page.val);
    if (outcome === 'malformed') this.lastProblem = 'the log service contradicts itself';
    return outcome;
  }
}
