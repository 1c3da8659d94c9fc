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

/** Parameters of the control plane. */
export interface ControlPlaneOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly invariants: Invariants;
  readonly settings: EntrySettings;
  readonly clientId: string;
  /** A newer state is in force; the epochs are those folded since the last call, in order. */
  readonly onState: (state: ControlState, epochs: readonly EpochState[]) => void;
  /** The log says that a member left, or that its process is gone. */
  readonly onRecordedGone: (member: MemberId) => void;
}

/** Reads the control log and appends this member's records. */
export class ControlPlane {
  readonly reader: LogReader;

  private readonly client: LogClient;

  private folded: EpochState[] = [];

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
      onState: (state) => this.takeState(state),
      onViolation: (_, detail) => invariants.report(InvariantName.configurationOrder, detail),
      onRecord: (record, result) => {
        if (result.kind === 'applied') this.noteDeparture(record.payload);
        const { epoch, members, configuration } = result.state;
        const last = this.folded.at(-1)?.epoch ?? 0;
        if (epoch > last) this.folded.push({ epoch, members, configuration });
      },
      onEvent: (event) => {
        const detail = 'error' in event ? { error: event.error.message } : {};
        log.info(LogComponent.log, event.kind.replaceAll('-', ' '), detail);
      },
    });
  }

  /** Creates the control plane; it reads after `start`. */
  static create(options: ControlPlaneOptions): ControlPlane {
    return new ControlPlane(options);
  }

  /** State in force. */
  get state(): ControlState {
    return this.reader.state;
  }

  /** Milliseconds since the last complete read began; undefined before the first. */
  logAgeMs(): number | undefined {
    const startedAtMs = this.reader.lastReadStartedAtMs;
    return startedAtMs === undefined ? undefined : this.options.clock.monotonicMs() - startedAtMs;
  }

  /** Starts reading the log. */
  start(): void {
    this.reader.start();
  }

  /** Appends a join record when this member is missing from the roster; repeats until it is in. */
  joinWhenMissing(self: RosterMember): void {
    const known = findMember(this.state, self.vmId);
    if (known && isSameMember(known, self)) return;
    if (this.reader.lastReadStartedAtMs === undefined) return;
    const nowMs = this.options.clock.monotonicMs();
    if (nowMs - this.joinAttemptAtMs < JOIN_RETRY_MS) return;
    this.joinAttemptAtMs = nowMs;
    this.append({ kind: 'member-joined', ...self });
  }

  /** Appends an eviction record. */
  evict(eviction: Eviction): void {
    this.append({
      kind: 'member-evicted',
      vmId: eviction.member.vmId,
      incarnation: eviction.member.incarnation,
      reason: eviction.reason === 'gone' ? 'process-gone' : 'silent',
    });
  }

  /** Appends the departure of this member; gives up after a duration in milliseconds. */
  async leave(self: RosterMember, limitMs: number): Promise<void> {
    const { vmId, incarnation } = self;
    await Promise.race([this.append({ kind: 'member-left', vmId, incarnation }), sleep(limitMs)]);
  }

  /** Stops reading. */
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

  /** Eviction for silence proves nothing: the member may still act until its lease expires. */
  private noteDeparture(payload: unknown): void {
    const decoded = decodeRecord(payload);
    if (decoded.err) return;
    const record = decoded.val;
    const isGone =
      record.kind === 'member-left' ||
      (record.kind === 'member-evicted' && record.reason !== 'silent');
    if (isGone) this.options.onRecordedGone(record);
  }

  private takeState(state: ControlState): void {
    const epochs = this.folded.filter(({ epoch }) => epoch < state.epoch);
    this.folded = [];
    const { epoch, members, configuration } = state;
    this.options.onState(state, [...epochs, { epoch, members, configuration }]);
  }
}
