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

/** Parameters of the choice of peer for one service. */
export interface ForwardSelectorOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly ownDomainId: FailureDomainId;
}

/** Chooses the peer that requests of one service are forwarded to. */
export class ForwardSelector {
  private states = new Map<VmId, PeerState>();

  private constructor(private readonly options: ForwardSelectorOptions) {}

  /** Creates a selector without peers. */
  static create(options: ForwardSelectorOptions): ForwardSelector {
    return new ForwardSelector(options);
  }

  /** Sets the peers that may receive requests; reports of those that stay are kept. */
  setPeers(peers: readonly ForwardPeer[]): void {
    const known = this.states;
    this.states = new Map(
      peers.map((peer) => [
        peer.vmId,
        {
          reportedFreeSlots: 0,
          reportedAtMs: -Infinity,
          sentSinceReport: 0,
          ...known.get(peer.vmId),
          peer,
        },
      ]),
    );
  }

  /** Notes the free slots that a peer has just reported, in a heartbeat or with a response. */
  report(vmId: VmId, freeSlots: number): void {
    const state = this.states.get(vmId);
    if (state === undefined) return;
    state.reportedFreeSlots = freeSlots;
    state.reportedAtMs = this.options.clock.monotonicMs();
    state.sentSinceReport = 0;
  }

  /** Notes that a request was forwarded to a peer. */
  addForwarded(vmId: VmId): void {
    const state = this.states.get(vmId);
    if (state !== undefined) state.sentSinceReport += 1;
  }

  /** Chooses a peer; undefined when all that may be chosen reported no free slots. */
  select(excluded: ReadonlySet<VmId>): ForwardSelection | undefined {
    const allowed = [...this.states.values()].filter(({ peer }) => !excluded.has(peer.vmId));
    const withFreeSlots = allowed.filter((state) => this.estimate(state) > 0);
    const { ownDomainId } = this.options;
    const isNear = ({ peer }: PeerState): boolean => peer.failureDomainId === ownDomainId;
    return (
      this.pick(withFreeSlots.filter(isNear), 'same-domain') ??
      this.pick(withFreeSlots, 'other-domain') ??
      this.pick(
        allowed.filter((state) => this.isUnknown(state)),
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

  /** Reported slots less what was sent since; an old report counts less. */
  private estimate(state: PeerState): number {
    const ageMs = this.options.clock.monotonicMs() - state.reportedAtMs;
    const weight = Math.max(1 - ageMs / REPORT_LIFETIME_MS, 0);
    return Math.max(state.reportedFreeSlots - state.sentSinceReport, 0) * weight;
  }

  private isUnknown(state: PeerState): boolean {
    return this.options.clock.monotonicMs() - state.reportedAtMs >= REPORT_LIFETIME_MS;
  }
}
