import { createConsola } from 'consola';
import type { ConsolaInstance, LogObject } from 'consola';

import { sleep } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';

import {
  CLOSE_TIMEOUT_MS,
  DEFAULT_FLUSH_INTERVAL_MS,
  DEFAULT_MAX_BUFFERED_LINES,
  LogComponent,
  MAX_LINES_PER_FLUSH,
} from './constants.js';
import type { LogCounts, LogEntry, LogFields, LogSeverity, LogSink } from './types.js';
import { createStdoutSink, formatEntry } from './utils.js';

const CONSOLA_INFO_LEVEL = 3;

/** Destination and buffer limits of a decision log. */
export interface DecisionLogOptions {
  readonly clock: Clock;
  /** Default: stdout, written without blocking the event loop. */
  readonly sink?: LogSink;
  readonly maxBufferedLines?: number;
  readonly flushIntervalMs?: number;
}

/**
 * Log of the process's decisions. Buffers lines in memory and writes them on a timer, so that
 * requests don't wait for output.
 */
export class DecisionLog {
  private buffer: LogEntry[] = [];

  /** Entries before this index have been passed to the sink. */
  private nextIndex = 0;

  private writtenLines = 0;

  private droppedLines = 0;

  private unreportedDroppedLines = 0;

  private flushing: Promise<void> | undefined;

  private timer: NodeJS.Timeout | undefined;

  private readonly consola: ConsolaInstance;

  private constructor(
    private readonly clock: Clock,
    private readonly sink: LogSink,
    private readonly maxBufferedLines: number,
    private readonly flushIntervalMs: number,
  ) {
    this.consola = createConsola({
      level: CONSOLA_INFO_LEVEL,
      // Identical lines are separate decisions, so consola must not merge them.
      throttle: 0,
      throttleMin: Infinity,
      reporters: [{ log: (logged) => this.append(logged) }],
    });
  }

  /** Creates a log that buffers lines until `start`, `flushSlice` or `close` writes them. */
  static create(options: DecisionLogOptions): DecisionLog {
    return new DecisionLog(
      options.clock,
      options.sink ?? createStdoutSink(),
      options.maxBufferedLines ?? DEFAULT_MAX_BUFFERED_LINES,
      options.flushIntervalMs ?? DEFAULT_FLUSH_INTERVAL_MS,
    );
  }

  /** Logs a decision; `fields` must not change afterwards. */
  info(component: LogComponent, message: string, fields: LogFields = {}): void {
    this.write('info', component, message, fields);
  }

  /** Logs a fault that the system handles without an operator. */
  warn(component: LogComponent, message: string, fields: LogFields = {}): void {
    this.write('warn', component, message, fields);
  }

  /** Logs a fault that an operator must investigate. */
  error(component: LogComponent, message: string, fields: LogFields = {}): void {
    this.write('error', component, message, fields);
  }

  /** Starts the timer that writes buffered lines. */
  start(): void {
    this.timer ??= setInterval(() => {
      this.flushing ??= this.flushSlice().finally(() => {
        this.flushing = undefined;
      });
    }, this.flushIntervalMs);
    this.timer.unref();
  }

  /** Stops the timer and writes the remaining lines, waiting at most `limitMs` for the sink. */
  async close(limitMs = CLOSE_TIMEOUT_MS): Promise<void> {
    clearInterval(this.timer);
    this.timer = undefined;
    const limit = new AbortController();
    await Promise.race([this.flushAll(), sleep(limitMs, limit.signal)]);
    limit.abort();
  }

  /** Formats and writes up to MAX_LINES_PER_FLUSH buffered lines. */
  async flushSlice(): Promise<void> {
    const slice = this.buffer.slice(this.nextIndex, this.nextIndex + MAX_LINES_PER_FLUSH);
    const droppedCount = this.unreportedDroppedLines;
    if (slice.length === 0 && droppedCount === 0) return;
    this.nextIndex += slice.length;
    this.compact();
    this.unreportedDroppedLines = 0;
    let text = slice.map(formatEntry).join('');
    if (droppedCount > 0) text += formatEntry(this.describeDrops(droppedCount));
    await this.sink(text);
    this.writtenLines += slice.length;
  }

  /** Counts the lines written, dropped because the buffer was full, and still buffered. */
  counts(): LogCounts {
    return { written: this.writtenLines, dropped: this.droppedLines, buffered: this.buffered };
  }

  private async flushAll(): Promise<void> {
    await this.flushing;
    while (this.buffered > 0 || this.unreportedDroppedLines > 0) await this.flushSlice();
  }

  private get buffered(): number {
    return this.buffer.length - this.nextIndex;
  }

  private write(
    severity: LogSeverity,
    component: LogComponent,
    message: string,
    fields: LogFields,
  ): void {
    if (this.buffered >= this.maxBufferedLines) {
      this.droppedLines += 1;
      this.unreportedDroppedLines += 1;
      return;
    }
    this.consola[severity](component, message, fields);
  }

  private append(logObject: LogObject): void {
    const [component, message, fields] = logObject.args as [LogComponent, string, LogFields];
    const severity = logObject.type as LogSeverity;
    this.buffer.push({ atMs: this.clock.wallMs(), severity, component, message, fields });
  }

  private describeDrops(count: number): LogEntry {
    return {
      atMs: this.clock.wallMs(),
      severity: 'warn',
      component: LogComponent.daemon,
      message: 'log buffer was full; lines dropped',
      fields: { count },
    };
  }

  private compact(): void {
    if (this.nextIndex < this.buffer.length && this.nextIndex < this.maxBufferedLines / 2) return;
    this.buffer = this.buffer.slice(this.nextIndex);
    this.nextIndex = 0;
  }
}
