import type { Clock, FailureDomainId, RandomSource, VmId } from '@bronzelift/common';

import { REPORT_LIFETIME_MS } from './constants.js';
import type { ForwardPeer, ForwardSelection } from './types.js';
import { pickByTwoChoices } from './utils.js';

interface PeerState {
  readonly peer: ForwardPeer;
  reportedFreeSlots: number;
  reportedAtMs: number;
  sentSinceReport: number;
}

/** Dependencies of a selector and the failure domain whose peers it prefers. */
export interface ForwardSelectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
}

/** Selects the peer to which requests of one service are forwarded. */
export class ForwardSelector {
  private states = new Map<VmId, PeerState>();

  private constructor(private readonly options: ForwardSelectorOptions) {}

  static create(options: ForwardSelectorOptions): ForwardSelector {
    return new ForwardSelector(options);
  }

  /** Sets the peers that may receive requests; keeps the reports of peers that were already set. */
  setPeers(peers: readonly ForwardPeer[]): void {
    const formerStates = this.states;
    this.states = new Map(
      peers.map((peer) => [
        peer.vmId,
        {
          reportedFreeSlots: 0,
          reportedAtMs: -Infinity,
          sentSinceReport: 0,
          ...formerStates.get(peer.vmId),
          peer,
        },
      ]),
    );
  }

  /** Records the free slots that a peer reported in a heartbeat or with a response. */
  report(vmId: VmId, freeSlots: number): void {
    const state = this.states.get(vmId);
    if (state === undefined) return;
    state.reportedFreeSlots = freeSlots;
    state.reportedAtMs = this.options.clock.monotonicMs();
    state.sentSinceReport = 0;
  }

  /** Counts a request that was forwarded to a peer. */
  recordForwarded(vmId: VmId): void {
    const state = this.states.get(vmId);
    if (state !== undefined) state.sentSinceReport += 1;
  }

  /** Selects a peer that is not excluded; undefined if all of them reported no free slots. */
  select(excluded: ReadonlySet<VmId>): ForwardSelection | undefined {
    const allowed = [...this.states.values()].filter(({ peer }) => !excluded.has(peer.vmId));
    const withFreeSlots = allowed.filter((state) => this.estimate(state) > 0);
    const { ownDomainId } = this.options;
    const isSameDomain = ({ peer }: PeerState): boolean => peer.failureDomainId === ownDomainId;
    return (
      this.pick(withFreeSlots.filter(isSameDomain), 'same-domain') ??
      this.pick(withFreeSlots, 'other-domain') ??
      this.pick(
        allowed.filter((state) => this.isReportExpired(state)),
        'unknown-load',
      )
    );
  }

  private pick(
    states: readonly PeerState[],
    reason: ForwardSelection['reason'],
  ): ForwardSelection | undefined {
    const isBetter = (state: PeerState, other: PeerState): boolean => {
      const difference = this.estimate(state) - this.estimate(other);
      if (difference !== 0) return difference > 0;
      return state.sentSinceReport < other.sentSinceReport;
    };
    const chosen = pickByTwoChoices(this.options.random, states, isBetter);
    if (chosen === undefined) return undefined;
    const estimatedFreeSlots = this.estimate(chosen);
    return { vmId: chosen.peer.vmId, estimatedFreeSlots, reason };
  }

  /**
   * Reported free slots minus requests sent since the report, weighted by the age of the report.
   */
  private estimate(state: PeerState): number {
    const ageMs = this.options.clock.monotonicMs() - state.reportedAtMs;
    const weight = Math.max(1 - ageMs / REPORT_LIFETIME_MS, 0);
    return Math.max(state.reportedFreeSlots - state.sentSinceReport, 0) * weight;
  }

  private isReportExpired(state: PeerState): boolean {
    return this.options.clock.monotonicMs() - state.reportedAtMs >= REPORT_LIFETIME_MS;
  }
}
