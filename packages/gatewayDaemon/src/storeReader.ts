import { describeError, sleep } from '@bronzelift/common';
import type { Clock, RandomSource, VmId } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  INSTANCE_READ_INTERVAL_MS,
  NEVER_READ_AGE_MS,
  OPERATOR_POLL_TIMEOUT_MS,
  READ_INTERVAL_JITTER,
  READER_CHECK_INTERVAL_MS,
  STORE_RETRY_DELAY_MS,
  STORE_SUSPECT_MS,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { RegistrationEntry } from './instanceRegistry.js';
import type { OutageTracker } from './outageTracker.js';
import type { StateFreshness } from './stateFreshness.js';
import { getEra, getOffset } from './storePosition.js';
import type { ControlStore, OperatorChange, StreamRead } from './types.js';

/** Dependencies and callbacks of a StoreReader. */
export interface StoreReaderOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly store: ControlStore;
  readonly state: ControlState;
  /** Whether this entry VM currently has to read the registrations. */
  readonly shouldRead: () => boolean;
  /** Whether this entry VM currently has to watch the operators' records. */
  readonly shouldWatch: () => boolean;
  readonly onStoreCall: (hasSucceeded: boolean) => void;
  readonly outages: OutageTracker;
  readonly freshness: StateFreshness;
  readonly ownId: VmId;
  /** Whether a recent store call of any entry VM failed. */
  readonly isAnyStoreFailing: () => boolean;
  /** Called after each read of the registrations, even without a change. */
  readonly onInstancesRead: (changes: readonly RegistrationEntry[]) => void;
  readonly onOperatorChange: () => void;
  /** Called for each stream when the store was restored from a copy. */
  readonly onRestored: () => void;
}

type StreamName = 'registrations' | 'operators';

interface StreamTask {
  readonly stream: StreamName;
  readonly isNeeded: () => boolean;
  readonly read: () => Promise<void>;
  readonly calculatePauseMs: () => number;
}

/** A long poll that failed has waited before; it is repeated at once, but only once. */
const calculateRetryDelayMs = (stream: StreamName, failures: number): number => {
  if (failures > 1) return INSTANCE_READ_INTERVAL_MS;
  return stream === 'operators' ? 0 : STORE_RETRY_DELAY_MS;
};

/**
 * Reads the two streams of the store, each in its own task. Instances renew their registrations
 * about every second, so that a long poll would return all the time; registrations are read at an
 * interval instead. Operators' records are rare and are read with a long poll.
 */
export class StoreReader {
  private readonly stopped = new AbortController();

  private lastReadAtMs = -Infinity;

  private operatorWatch = new AbortController();

  private operatorPauseMs = 0;

  /** Streams whose latest read failed. */
  private readonly failing = new Set<StreamName>();

  private constructor(private readonly options: StoreReaderOptions) {}

  /** Creates a reader without starting its tasks; call `start`. */
  static create(options: StoreReaderOptions): StoreReader {
    return new StoreReader(options);
  }

  /** Starts to read both streams. */
  start(): void {
    this.run({
      stream: 'registrations',
      isNeeded: this.options.shouldRead,
      read: () => this.readInstances(),
      calculatePauseMs: () => this.calculateReadPauseMs(),
    });
    this.run({
      stream: 'operators',
      isNeeded: this.options.shouldWatch,
      read: () => this.watchOperatorRecords(),
      calculatePauseMs: () => this.operatorPauseMs,
    });
  }

  /** Time since the last read of the registrations; NEVER_READ_AGE_MS before the first one. */
  get readAgeMs(): number {
    const ageMs = this.options.clock.monotonicMs() - this.lastReadAtMs;
    return Math.min(ageMs, NEVER_READ_AGE_MS);
  }

  /** Ends both tasks after their current call. */
  stop(): void {
    this.stopped.abort();
  }

  /** Reads a stream repeatedly as long as this entry VM has to. */
  private async run({ stream, isNeeded, read, calculatePauseMs }: StreamTask): Promise<void> {
    const { signal } = this.stopped;
    let failures = 0;
    while (!signal.aborted) {
      if (!isNeeded()) {
        failures = 0;
        this.failing.delete(stream);
        await this.pauseForCheck();
        continue;
      }
      try {
        await read();
        failures = 0;
        this.handleSuccess(stream);
        await sleep(calculatePauseMs(), signal);
      } catch (error) {
        if (stream === 'operators' && this.operatorWatch.signal.aborted) continue;
        failures += 1;
        this.handleFailure(stream, error);
        await sleep(calculateRetryDelayMs(stream, failures), signal);
      }
    }
  }

  private async pauseForCheck(): Promise<void> {
    const dueAtMs = this.options.clock.monotonicMs() + READER_CHECK_INTERVAL_MS;
    await sleep(READER_CHECK_INTERVAL_MS, this.stopped.signal);
    if (!this.stopped.signal.aborted) this.options.freshness.recordTimer(dueAtMs);
  }

  private calculateReadPauseMs(): number {
    return INSTANCE_READ_INTERVAL_MS * (1 - READ_INTERVAL_JITTER * this.options.random.next());
  }

  private async readInstances(): Promise<void> {
    const suspicion = setTimeout(() => this.options.onStoreCall(false), STORE_SUSPECT_MS);
    try {
      await this.readRegistrations();
    } finally {
      clearTimeout(suspicion);
    }
  }

  private async readRegistrations(): Promise<void> {
    const { store, state } = this.options;
    const position = state.nextInstancePosition;
    const read =
      position === undefined ? undefined : await store.readInstances(getOffset(position));
    const isRestored = read !== undefined && this.isRestored('registrations', position!, read);
    // A long poll that was sent before the store was restored may not return before its timeout.
    if (isRestored) this.operatorWatch.abort();
    if (read?.kind === 'page' && !isRestored) {
      const renewableUntilMs = this.recordInstanceRead();
      this.options.onInstancesRead(state.applyInstanceChanges(read, renewableUntilMs));
      return;
    }
    const newest = await store.readNewestInstances();
    const renewableUntilMs = this.recordInstanceRead();
    this.options.onInstancesRead(state.replaceInstances(newest, renewableUntilMs));
  }

  private async watchOperatorRecords(): Promise<void> {
    const { store, state } = this.options;
    const position = state.nextOperatorPosition;
    const formerRevision = state.revision;
    const read = position === undefined ? undefined : await this.watchFrom(getOffset(position));
    const isRestored = read !== undefined && this.isRestored('operators', position!, read);
    if (read?.kind === 'page' && !isRestored) state.applyOperatorChanges(read);
    else state.replaceOperatorState(await store.readNewestOperatorRecords());
    if (state.revision !== formerRevision) this.options.onOperatorChange();
    // A long poll needs no pause; without a configuration it ends with the first record. The newest
    // records are read again only after a pause, if they did not lead to another position.
    const hasWaited = read?.kind === 'page' && !isRestored;
    const hasAdvanced = state.nextOperatorPosition !== position;
    this.operatorPauseMs = hasWaited || hasAdvanced ? 0 : STORE_RETRY_DELAY_MS;
  }

  private watchFrom(offset: number): Promise<StreamRead<OperatorChange>> {
    this.operatorWatch = new AbortController();
    return this.options.store.watchOperatorRecords(
      offset,
      OPERATOR_POLL_TIMEOUT_MS,
      this.operatorWatch.signal,
    );
  }

  /**
   * Records a successful read; returns until when registrations that expired in an outage may be
   * renewed.
   */
  private recordInstanceRead(): number | undefined {
    const nowMs = this.options.clock.monotonicMs();
    this.lastReadAtMs = nowMs;
    this.options.freshness.recordRead(nowMs, this.options.ownId);
    this.options.outages.recordRead(nowMs, this.options.isAnyStoreFailing());
    return this.options.outages.renewableUntilMs(nowMs);
  }

  /**
   * Whether the store was restored from a copy since the position was read. Its records at the same
   * offset are then others, and its newest records must be read.
   */
  private isRestored(stream: StreamName, position: number, read: StreamRead<unknown>): boolean {
    const formerEra = getEra(position);
    const { storeEra } = read;
    if (storeEra === formerEra) return false;
    this.options.log.warn(LogComponent.log, 'store restored from a copy', {
      stream,
      formerEra,
      storeEra,
      requestedOffset: getOffset(position),
      outcome: read.kind,
    });
    this.options.onRestored();
    return true;
  }

  private handleSuccess(stream: StreamName): void {
    if (this.failing.delete(stream)) {
      this.options.log.info(LogComponent.log, 'store reachable again', { stream });
      // A long poll sent during the outage would otherwise return only at its timeout.
      if (stream === 'registrations') this.operatorWatch.abort();
    }
    this.options.onStoreCall(this.failing.size === 0);
  }

  private handleFailure(stream: StreamName, error: unknown): void {
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
