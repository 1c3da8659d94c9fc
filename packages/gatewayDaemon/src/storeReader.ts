import { describeError, sleep } from '@bronzelift/common';
import type { Clock } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  INSTANCE_POLL_MS,
  NEVER_READ_AGE_MS,
  OPERATOR_WATCH_MS,
  READER_IDLE_CHECK_MS,
  STORE_RETRY_MS,
} from './constants.js';
import type { ControlState, InstanceDelta } from './controlState.js';
import type { OutageTracker } from './outageTracker.js';
import type { ControlStore, OperatorChange, StreamRead } from './types.js';

/** Parameters of the tasks that read the store. */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly store: ControlStore;
  readonly state: ControlState;
  /** Whether this entry VM is to read now. */
  readonly shouldRead: () => boolean;
  readonly onStoreCall: (hasSucceeded: boolean) => void;
  readonly outages: OutageTracker;
  /** Whether any entry VM could not reach the store lately. */
  readonly isAnyStoreFailing: () => boolean;
  /** Called after each read of the registrations, also without a change. */
  readonly onInstancesRead: (delta: InstanceDelta) => void;
  readonly onOperatorChange: () => void;
}

type StreamName = 'registrations' | 'operators';

/**
 * Two tasks, one for each stream of the store. Instances register again every second or so, so that
 * a watch of the registrations would return all the time: they are read at a slow pace. Operators'
 * records are rare and are watched.
 */
export class StoreReader {
  private readonly stopped = new AbortController();

  private lastReadAtMs = -Infinity;

  private watch = new AbortController();

  /** Streams whose latest read failed. */
  private readonly failing = new Set<StreamName>();

  private constructor(private readonly options: StoreReaderOptions) {}

  /** Creates the tasks; they run after `start`. */
  static create(options: StoreReaderOptions): StoreReader {
    return new StoreReader(options);
  }

  /** Starts both tasks. */
  start(): void {
    this.run('registrations', () => this.readInstances(), INSTANCE_POLL_MS);
    this.run('operators', () => this.watchOperator(), 0);
  }

  /** Time since the registrations were read; NEVER_READ_AGE_MS before the first read. */
  get readAgeMs(): number {
    const ageMs = this.options.clock.monotonicMs() - this.lastReadAtMs;
    return Math.min(ageMs, NEVER_READ_AGE_MS);
  }

  /** Ends both tasks after their current call. */
  stop(): void {
    this.stopped.abort();
  }

  /** One task: repeats a read while this entry VM is to read. */
  private async run(stream: StreamName, read: () => Promise<void>, pauseMs: number): Promise<void> {
    const { signal } = this.stopped;
    let failures = 0;
    while (!signal.aborted) {
      if (!this.options.shouldRead()) {
        failures = 0;
        this.failing.delete(stream);
        await sleep(READER_IDLE_CHECK_MS, signal);
        continue;
      }
      try {
        await read();
        failures = 0;
        this.noteSuccess(stream);
        await sleep(pauseMs, signal);
      } catch (error) {
        if (stream === 'operators' && this.watch.signal.aborted) continue;
        failures += 1;
        this.noteFailure(stream, error);
        await sleep(failures === 1 ? STORE_RETRY_MS : INSTANCE_POLL_MS, signal);
      }
    }
  }

  private async readInstances(): Promise<void> {
    const { store, state } = this.options;
    const offset = state.nextInstanceOffset;
    const read = offset === undefined ? undefined : await store.readInstances(offset);
    if (read?.kind === 'page') {
      const isAfterOutage = this.noteInstanceRead();
      this.options.onInstancesRead(state.applyInstanceChanges(read, isAfterOutage));
      return;
    }
    const newest = await store.readNewestInstances();
    const isAfterOutage = this.noteInstanceRead();
    this.options.onInstancesRead(state.replaceInstances(newest, isAfterOutage));
  }

  private async watchOperator(): Promise<void> {
    const { store, state } = this.options;
    const offset = state.nextOperatorOffset;
    const before = state.revision;
    const read = offset === undefined ? undefined : await this.watchFrom(offset);
    if (read?.kind === 'page') state.applyOperatorChanges(read);
    else state.replaceOperatorState(await store.readNewestOperator());
    if (state.revision !== before) this.options.onOperatorChange();
    // Without a configuration the stream is empty; the first record ends the next watch.
  }

  private watchFrom(offset: number): Promise<StreamRead<OperatorChange>> {
    this.watch = new AbortController();
    return this.options.store.watchOperator(offset, OPERATOR_WATCH_MS, this.watch.signal);
  }

  /** Notes a successful read; true while removals may be lapses during an outage. */
  private noteInstanceRead(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    this.lastReadAtMs = nowMs;
    this.options.outages.observeRead(nowMs, this.options.isAnyStoreFailing());
    return this.options.outages.isRecovering(nowMs);
  }

  private noteSuccess(stream: StreamName): void {
    if (this.failing.delete(stream)) {
      this.options.log.info(LogComponent.log, 'store reachable again', { stream });
      // A watch that was sent into the outage would stay silent until its time limit.
      if (stream === 'registrations') this.watch.abort();
    }
    this.options.onStoreCall(this.failing.size === 0);
  }

  private noteFailure(stream: StreamName, error: unknown): void {
    if (!this.failing.has(stream)) {
      this.options.log.warn(LogComponent.log, 'store not reachable', {
        stream,
        error: describeError(error),
      });
    }
    this.failing.add(stream);
    this.options.metrics.counter('bronzelift_store_failures_total').increment();
    this.options.onStoreCall(false);
  }
}
