import type { Clock, MemberId, RandomSource, StepError } from '@bronzelift/common';
import { isSameMember } from '@bronzelift/common';
import { Phase, PeerService, HeartbeatResponseSchema } from '@bronzelift/protocol';
import type { HeartbeatRequest, HeartbeatResponse, MemberStatus } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';
import type { ConnectRouter } from '@connectrpc/connect';

import type { HeartbeatExchange } from './heartbeatSocket.js';
import { PeerLink } from './peerLink.js';
import type { GoneReason, ControlStateCounters, PeerReport, RosterMember } from './types.js';
import { isCoveredBy, memberKey } from './utils.js';

/** Message in which a peer's status arrived. */
export type StatusSource =
  /** In a heartbeat of the peer, whose send time is not known. */
  | { readonly kind: 'request' }
  /** In the response to a heartbeat that was sent at `sentAtMs` (monotonic). */
  | { readonly kind: 'response'; readonly sentAtMs: number; readonly isLeaseGranted: boolean };

/** Identity, state and callbacks of the member that runs a heartbeat service. */
export interface HeartbeatServiceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This incarnation of the entry daemon. It must listen at its peer endpoint before it joins. */
  readonly self: RosterMember;
  /** Status of this member; without loads and observations if not complete, as in requests. */
  readonly status: (isComplete: boolean) => MemberStatus;
  /** Sends a heartbeat and resolves with its response. */
  readonly exchange: HeartbeatExchange;
  /** Version counters of the control state that this member has adopted. */
  readonly counters: () => ControlStateCounters;
  /** Whether to grant the lease to a sender with this epoch. */
  readonly shouldGrant: (senderEpoch: number) => boolean;
  /** Control state as JSON, for peers whose state is older. */
  readonly stateJson: () => string;
  readonly onPeerStatus: (status: MemberStatus, source: StatusSource) => void;
  /** Called with the state of a peer that has been ahead of this member for 300 ms. */
  readonly onPeerAhead: (member: RosterMember, stateJson: string) => void;
  /** Called when a peer reports an older control state than that of this member. */
  readonly onPeerBehind: (peer: MemberId) => void;
  /** Called when a member has certainly stopped, possibly several times for the same member. */
  readonly onGone: (member: MemberId, reason: GoneReason) => void;
  /** Called when a heartbeat or state fetch failed; heartbeats continue at the usual interval. */
  readonly onError: (member: RosterMember, error: StepError) => void;
}

/** Extracts the counters that MemberLease needs from a status message. */
export const toPeerReport = (status: MemberStatus): PeerReport => ({
  epoch: Number(status.epoch),
  configurationVersion: Number(status.configurationVersion),
  drainRevision: Number(status.drainRevision),
  settledEpoch: Number(status.settledEpoch),
});

/** Sends heartbeats to all peers and answers the heartbeats that they send. */
export class HeartbeatService {
  private readonly links = new Map<string, PeerLink>();

  private isStopped = false;

  private constructor(private readonly options: HeartbeatServiceOptions) {}

  static create(options: HeartbeatServiceOptions): HeartbeatService {
    return new HeartbeatService(options);
  }

  /** Registers PeerService; to be passed to connectNodeAdapter of an HTTP/1.1 server. */
  readonly routes = (router: ConnectRouter): void => {
    router.service(PeerService, {
      fetchState: () => ({ stateJson: this.options.stateJson() }),
    });
  };

  /** Sets the members that receive heartbeats; entries with this VM's id are ignored. */
  setPeers(members: readonly RosterMember[]): void {
    if (this.isStopped) return;
    const others = members.filter((member) => member.vmId !== this.options.self.vmId);
    const wanted = new Map(others.map((member) => [memberKey(member), member]));
    for (const [key, link] of this.links) {
      if (wanted.has(key)) continue;
      this.links.delete(key);
      link.stop().catch(() => undefined);
    }
    for (const [key, member] of wanted) {
      if (!this.links.has(key)) this.links.set(key, this.startLink(member));
    }
  }

  /** Sends heartbeats without waiting for the interval; at most one per 50 ms to each peer. */
  sendNow(): void {
    for (const link of this.links.values()) link.sendNow();
  }

  /** Sends the current status to all peers and waits for the responses, at most `timeoutMs`. */
  async announce(timeoutMs: number): Promise<void> {
    const signal = AbortSignal.timeout(timeoutMs);
    await Promise.all([...this.links.values()].map(async (link) => link.sendAndWait(signal)));
  }

  /** Handles a heartbeat of a peer and creates the response; undefined if no sender is set. */
  answer({ sender, targetIncarnation }: HeartbeatRequest): HeartbeatResponse | undefined {
    if (!sender) return undefined;
    const { self, shouldGrant, status, onGone } = this.options;
    this.handleStatus(sender, { kind: 'request' });
    if (sender.phase === Phase.STOPPED && !isSameMember(sender, self)) onGone(sender, 'stopped');
    const isForThisIncarnation = targetIncarnation === self.incarnation;
    const leaseGranted = isForThisIncarnation && shouldGrant(Number(sender.epoch));
    return create(HeartbeatResponseSchema, { receiver: status(true), leaseGranted });
  }

  /** Stops all heartbeats and waits for those in progress. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map(async (link) => link.stop()));
  }

  private startLink(member: RosterMember): PeerLink {
    const { clock, random, status, exchange, onPeerAhead, onGone, onError } = this.options;
    return PeerLink.start({
      clock,
      random,
      member,
      status: () => status(false),
      exchange,
      onResponse: (peerStatus, sentAtMs, isLeaseGranted) =>
        this.handleStatus(peerStatus, { kind: 'response', sentAtMs, isLeaseGranted }),
      isAhead: (peerStatus) => !isCoveredBy(toPeerReport(peerStatus), this.options.counters()),
      onState: onPeerAhead,
      onGone,
      onError,
    });
  }

  private handleStatus(status: MemberStatus, source: StatusSource): void {
    this.options.onPeerStatus(status, source);
    if (!isCoveredBy(this.options.counters(), toPeerReport(status)))
      this.options.onPeerBehind(status);
  }
}
