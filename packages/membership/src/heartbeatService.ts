import type { Clock, MemberId, RandomSource, StepError } from '@bronzelift/common';
import { isSameMember } from '@bronzelift/common';
import { Phase, PeerService, HeartbeatResponseSchema } from '@bronzelift/protocol';
import type { HeartbeatRequest, HeartbeatResponse, MemberStatus } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';
import { Code, ConnectError } from '@connectrpc/connect';
import type { ConnectRouter } from '@connectrpc/connect';

import { PeerLink } from './peerLink.js';
import type { GoneReason, KnownCounters, PeerReport, RosterMember } from './types.js';
import { isAtMost, memberKey } from './utils.js';

/** How a peer's status arrived. */
export type StatusSource =
  /** In a heartbeat of the peer; says nothing about when it was made. */
  | { readonly kind: 'request' }
  /** In the response to a heartbeat that was sent at `sentAtMs` (monotonic). */
  | { readonly kind: 'response'; readonly sentAtMs: number; readonly isLeaseGranted: boolean };

/** Settings and callbacks of the heartbeat service. */
export interface HeartbeatServiceOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  /** This start of the entry daemon. It listens at its peer endpoint before it joins the roster. */
  readonly self: RosterMember;
  /** Status of this member, made anew for each message. */
  readonly status: () => MemberStatus;
  /** Counters of the control state that this member has adopted. */
  readonly counters: () => KnownCounters;
  /** Whether to grant the lease to a sender with this epoch. */
  readonly shouldGrant: (senderEpoch: number) => boolean;
  /** Control state as JSON, for a peer that is behind. */
  readonly stateJson: () => string;
  readonly onPeerStatus: (status: MemberStatus, source: StatusSource) => void;
  /** A peer has stayed ahead of this member for 300 ms; `stateJson` was fetched from it. */
  readonly onPeerAhead: (member: RosterMember, stateJson: string) => void;
  /** A peer knows less than this member. */
  readonly onPeerBehind: (peer: MemberId) => void;
  /** A member has certainly stopped; can be called several times for the same member. */
  readonly onGone: (member: MemberId, reason: GoneReason) => void;
  /** A heartbeat failed; the connection is replaced and the next one is sent at its time. */
  readonly onError: (member: RosterMember, error: StepError) => void;
}

/** Report for MemberLease from a status. */
export const toPeerReport = (status: MemberStatus): PeerReport => ({
  epoch: Number(status.epoch),
  configurationVersion: Number(status.configurationVersion),
  drainRevision: Number(status.drainRevision),
  settledEpoch: Number(status.settledEpoch),
});

/** Sends heartbeats to all peers and answers theirs. */
export class HeartbeatService {
  private readonly links = new Map<string, PeerLink>();

  private isStopped = false;

  private constructor(private readonly options: HeartbeatServiceOptions) {}

  /** Creates a service without peers. */
  static create(options: HeartbeatServiceOptions): HeartbeatService {
    return new HeartbeatService(options);
  }

  /** Routes of PeerService, for connectNodeAdapter on an HTTP/2 server. */
  readonly routes = (router: ConnectRouter): void => {
    router.service(PeerService, {
      heartbeat: (request) => this.answer(request),
      fetchState: () => ({ stateJson: this.options.stateJson() }),
    });
  };

  /** Sets the members to send heartbeats to; this member itself is left out. */
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

  /** Sends heartbeats at once, for an urgent change; at most one each 50 ms to each peer. */
  sendNow(): void {
    for (const link of this.links.values()) link.sendNow();
  }

  /** Sends the present status to all peers and waits for the answers, at most `timeoutMs`. */
  async announce(timeoutMs: number): Promise<void> {
    const signal = AbortSignal.timeout(timeoutMs);
    await Promise.all([...this.links.values()].map(async (link) => link.sendAndWait(signal)));
  }

  /** Stops all links. */
  async stop(): Promise<void> {
    this.isStopped = true;
    const links = [...this.links.values()];
    this.links.clear();
    await Promise.all(links.map(async (link) => link.stop()));
  }

  private startLink(member: RosterMember): PeerLink {
    const { clock, random, status, onPeerAhead, onGone, onError } = this.options;
    return PeerLink.start({
      clock,
      random,
      member,
      status,
      onResponse: (peerStatus, sentAtMs, isLeaseGranted) =>
        this.receive(peerStatus, { kind: 'response', sentAtMs, isLeaseGranted }),
      isAhead: (peerStatus) => !isAtMost(toPeerReport(peerStatus), this.options.counters()),
      onState: onPeerAhead,
      onGone,
      onError,
    });
  }

  private answer({ sender, targetIncarnation }: HeartbeatRequest): HeartbeatResponse {
    if (!sender) throw new ConnectError('heartbeat without a sender', Code.InvalidArgument);
    const { self, shouldGrant, status, onGone } = this.options;
    this.receive(sender, { kind: 'request' });
    if (sender.phase === Phase.STOPPED && !isSameMember(sender, self)) onGone(sender, 'stopped');
    const isForThisStart = targetIncarnation === self.incarnation;
    const leaseGranted = isForThisStart && shouldGrant(Number(sender.epoch));
    return create(HeartbeatResponseSchema, { receiver: status(), leaseGranted });
  }

  private receive(status: MemberStatus, source: StatusSource): void {
    this.options.onPeerStatus(status, source);
    if (!isAtMost(this.options.counters(), toPeerReport(status))) this.options.onPeerBehind(status);
  }
}
