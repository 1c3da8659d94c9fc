import { describeError, shuffle, sleep } from '@bronzelift/common';
import type { Clock, FailureDomainId, RandomSource } from '@bronzelift/common';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog, Metrics } from '@bronzelift/observability';

import {
  FETCH_DELAY_RANGE_MS,
  MAX_FETCH_ATTEMPTS,
  MIN_FETCH_DELAY_MS,
  MISSED_CHANGES_LIMIT_MS,
  OPERATOR_FETCH_DELAY_RANGE_MS,
} from './constants.js';
import type { ControlState } from './controlState.js';
import type { Member, MemberStatus, MemberTable } from './memberTable.js';
import type { PeerState, PeerStateQuery } from './peerNetwork.js';
import { formatPosition } from './storePosition.js';

/** Dependencies of a StateCatchUp. */
export interface StateCatchUpOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly ownDomainId: FailureDomainId;
  readonly state: ControlState;
  readonly members: MemberTable;
  /** Called after state was fetched, which others may have missed as well. */
  readonly onCaughtUp: () => void;
  readonly fetchState: (host: string, query: PeerStateQuery) => Promise<PeerState>;
  /** Aborted when the process stops. */
  readonly signal: AbortSignal;
}

/** Fetches what this entry VM has missed from the members that have it. */
export class StateCatchUp {
  private isFetching = false;

  /** Monotonic time since which a member has had changes that this entry VM has missed. */
  private behindSinceMs: number | undefined;

  private constructor(private readonly options: StateCatchUpOptions) {}

  static create(options: StateCatchUpOptions): StateCatchUp {
    return new StateCatchUp(options);
  }

  /** Whether changes have been missing for so long that the store has to be read. */
  get isLate(): boolean {
    const { behindSinceMs } = this;
    if (behindSinceMs === undefined) return false;
    return this.options.clock.monotonicMs() - behindSinceMs > MISSED_CHANGES_LIMIT_MS;
  }

  /** Compares the state with that of a member that was just heard, and fetches what is missing. */
  compare(status: MemberStatus): void {
    if (!this.isBehind(status)) return;
    this.behindSinceMs ??= this.options.clock.monotonicMs();
    this.run(this.isBehindOperators(status));
  }

  /** Records that the state has changed otherwise. */
  update(): void {
    if (this.listMembersAhead().length === 0) this.behindSinceMs = undefined;
  }

  /** Whether a member has a newer state that has to be fetched. */
  private isBehind(status: MemberStatus): boolean {
    return this.isBehindOperators(status) || this.isBehindInstances(status);
  }

  private isBehindOperators({ operatorRevision, configurationVersion }: MemberStatus): boolean {
    const { state } = this.options;
    return operatorRevision > state.revision || configurationVersion > state.configurationVersion;
  }

  private isBehindInstances({ instancePosition, instanceDigest }: MemberStatus): boolean {
    const { state } = this.options;
    const ownPosition = state.nextInstancePosition ?? -1;
    return instancePosition > ownPosition && instanceDigest !== state.digest;
  }

  private listMembersAhead(): Member[] {
    return this.options.members.live().filter(({ status }) => this.isBehind(status));
  }

  /** Asks the members that are ahead, one after the other. */
  private async run(isBehindOperators: boolean): Promise<void> {
    if (this.isFetching) return;
    this.isFetching = true;
    const asked = new Set<string>();
    if (this.options.state.isComplete) await this.waitBeforeFetch(isBehindOperators);
    while (asked.size < MAX_FETCH_ATTEMPTS && !this.options.signal.aborted) {
      const peer = this.selectMemberAhead(asked);
      if (peer === undefined) break;
      asked.add(peer.status.vmId);
      // The changes since the own position suffice, unless an earlier one was missed.
      const isWhole = asked.size > MAX_FETCH_ATTEMPTS / 2;
      await this.fetchFrom(peer, isWhole);
    }
    this.update();
    this.isFetching = false;
  }

  /**
   * Waits, not all members for the same time; for changes of registrations longer, since these may
   * still arrive as datagrams.
   */
  private async waitBeforeFetch(isBehindOperators: boolean): Promise<void> {
    const { random, signal } = this.options;
    const delayMs = isBehindOperators
      ? random.next() * OPERATOR_FETCH_DELAY_RANGE_MS
      : MIN_FETCH_DELAY_MS + random.next() * FETCH_DELAY_RANGE_MS;
    await sleep(delayMs, signal);
  }

  /** Selects a member at random, in the own failure domain if possible. */
  private selectMemberAhead(asked: ReadonlySet<string>): Member | undefined {
    const { random, ownDomainId } = this.options;
    const ahead = this.listMembersAhead().filter(({ status }) => !asked.has(status.vmId));
    const inDomain = ahead.filter(({ status }) => status.failureDomainId === ownDomainId);
    return shuffle(random, inDomain.length > 0 ? inDomain : ahead)[0];
  }

  private async fetchFrom({ status, host }: Member, isWhole: boolean): Promise<void> {
    const { state, log, metrics, clock } = this.options;
    const startedAtMs = clock.monotonicMs();
    const finish = (outcome: 'fetched' | 'failed'): number => {
      const tookMs = clock.monotonicMs() - startedAtMs;
      metrics.counter('bronzelift_state_fetches_total', { outcome }).increment();
      metrics.histogram('bronzelift_state_fetch_ms').recordMs(tookMs);
      return Math.round(tookMs);
    };
    try {
      const instancePosition = isWhole ? undefined : state.nextInstancePosition;
      const { operator, instances } = await this.options.fetchState(host, {
        operatorRevision: state.revision,
        configurationVersion: state.configurationVersion,
        instancePosition,
      });
      if (operator !== undefined) state.adoptOperatorSnapshot(operator);
      if (instances !== undefined) {
        if (instancePosition === undefined) state.mergeInstanceSnapshot(instances);
        else state.mergeInstanceChangesSince(instances);
      }
      log.info(LogComponent.log, 'state taken from peer', {
        peer: status.vmId,
        revision: formatPosition(state.revision),
        instanceOffset: formatPosition(state.nextInstancePosition),
        tookMs: finish('fetched'),
      });
      this.options.onCaughtUp();
    } catch (error) {
      log.warn(LogComponent.log, 'fetch of peer state failed', {
        peer: status.vmId,
        error: describeError(error),
        tookMs: finish('failed'),
      });
    }
  }
}
