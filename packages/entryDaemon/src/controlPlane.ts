import type { Clock, MemberId, RandomSource } from '@bronzelift/common';
import { isSameMember, sleep } from '@bronzelift/common';
import type { ControlState, LogRecord } from '@bronzelift/control-log';
import {
  LogClient,
  LogReader,
  decodeRecord,
  encodeRecord,
  findMember,
} from '@bronzelift/control-log';
import type { Eviction, RosterMember } from '@bronzelift/membership';
import { InvariantName, LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Invariants } from '@bronzelift/observability';
import type { EntrySettings } from '@bronzelift/settings';

import { JOIN_RETRY_MS } from './constants.js';
import type { EpochState } from './slotDirectory.js';

/** Clock, settings and callbacks of the control plane. */
export interface ControlPlaneOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly invariants: Invariants;
  readonly settings: EntrySettings;
  readonly clientId: string;
  /** Called with a newer state and the epochs applied since the last call, in ascending order. */
  readonly onState: (state: ControlState, epochs: readonly EpochState[]) => void;
  /** Called when a log record shows that a member has left or that its process is gone. */
  readonly onRecordedGone: (member: MemberId) => void;
}

/** Reads the control log and appends this member's records. */
export class ControlPlane {
  readonly reader: LogReader;

  private readonly client: LogClient;

  private newEpochs: EpochState[] = [];

  private joinAttemptAtMs = -Infinity;

  private constructor(private readonly options: ControlPlaneOptions) {
    const { clock, random, settings, invariants, log, clientId } = options;
    this.client = LogClient.create({ endpoint: settings.log.address, clientId, clock });
    this.reader = LogReader.create({
      client: this.client,
      clock,
      random,
      readWaitMs: settings.log.readWaitMs,
      retentionMs: settings.log.retentionMs,
      onState: (state) => this.handleState(state),
      onViolation: (_, detail) => invariants.report(InvariantName.configurationOrder, detail),
      onRecord: (record, result) => {
        if (result.kind === 'applied') this.handleDeparture(record.payload);
        const { epoch, members, configuration } = result.state;
        const lastEpoch = this.newEpochs.at(-1)?.epoch ?? 0;
        if (epoch > lastEpoch) this.newEpochs.push({ epoch, members, configuration });
      },
      onEvent: (event) => {
        const detail = 'error' in event ? { error: event.error.message } : {};
        log.info(LogComponent.log, event.kind.replaceAll('-', ' '), detail);
      },
    });
  }

  /** Creates the control plane; it reads the log only after `start`. */
  static create(options: ControlPlaneOptions): ControlPlane {
    return new ControlPlane(options);
  }

  /** Control state that is in force. */
  get state(): ControlState {
    return this.reader.state;
  }

  /** Milliseconds since the start of the last complete read; undefined before the first one. */
  logAgeMs(): number | undefined {
    const startedAtMs = this.reader.lastReadStartedAtMs;
    return startedAtMs === undefined ? undefined : this.options.clock.monotonicMs() - startedAtMs;
  }

  /** Starts reading the log in the background. */
  start(): void {
    this.reader.start();
  }

  /** Appends a join record if this member is not in the roster, at most every `JOIN_RETRY_MS`. */
  joinWhenMissing(self: RosterMember): void {
    const listed = findMember(this.state, self.vmId);
    if (listed && isSameMember(listed, self)) return;
    if (this.reader.lastReadStartedAtMs === undefined) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.joinAttemptAtMs < JOIN_RETRY_MS) return;
    this.joinAttemptAtMs = nowMs;
    this.append({ kind: 'member-joined', ...self });
  }

  /** Appends a record that evicts a member from the roster. */
  evict(eviction: Eviction): void {
    this.append({
      kind: 'member-evicted',
      vmId: eviction.member.vmId,
      incarnation: eviction.member.incarnation,
      reason: eviction.reason === 'gone' ? 'process-gone' : 'silent',
    });
  }

  /** Appends the record that this member leaves; waits for at most `limitMs`. */
  async leave(self: RosterMember, limitMs: number): Promise<void> {
    const { vmId, incarnation } = self;
    await Promise.race([this.append({ kind: 'member-left', vmId, incarnation }), sleep(limitMs)]);
  }

  /** Stops reading and closes the connections to the log. */
  async stop(): Promise<void> {
    await this.reader.stop();
    this.client.close();
  }

  private async append(record: LogRecord): Promise<void> {
    const appended = await this.client.append(encodeRecord(record));
    const fields = 'vmId' in record ? { member: `${record.vmId}@${record.incarnation}` } : {};
    if (appended.ok) {
      this.options.log.info(LogComponent.member, `appended ${record.kind}`, fields);
      return;
    }
    this.options.log.warn(LogComponent.member, `append of ${record.kind} failed`, {
      ...fields,
      result: appended.val.kind,
      error: appended.val.error.message,
    });
  }

  /** Reports a departed member as gone; one evicted as silent may act until its lease ends. */
  private handleDeparture(payload: unknown): void {
    const decoded = decodeRecord(payload);
    if (decoded.err) return;
    const record = decoded.val;
    const isGone =
      record.kind === 'member-left' ||
      (record.kind === 'member-evicted' && record.reason !== 'silent');
    if (isGone) this.options.onRecordedGone(record);
  }

  private handleState(state: ControlState): void {
    const epochs = this.newEpochs.filter(({ epoch }) => epoch < state.epoch);
    this.newEpochs = [];
    const { epoch, members, configuration } = state;
    this.options.onState(state, [...epochs, { epoch, members, configuration }]);
  }
}
