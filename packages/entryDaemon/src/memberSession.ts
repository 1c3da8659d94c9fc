import type { RequestListener } from 'node:http';

import type { Clock, MemberId, RandomSource, VmId } from '@bronzelift/common';
import { formatMember, isSameMember } from '@bronzelift/common';
import type { ControlState } from '@bronzelift/control-log';
import {
  EvictionPolicy,
  HeartbeatService,
  MemberLease,
  toPeerReport,
} from '@bronzelift/membership';
import type {
  AddressCandidate,
  Eviction,
  GoneReason,
  HeartbeatExchange,
  RosterMember,
  StatusSource,
} from '@bronzelift/membership';
import { LogComponent } from '@bronzelift/observability';
import type { DecisionLog } from '@bronzelift/observability';
import { MemberStatusSchema, Phase } from '@bronzelift/protocol';
import type { InstanceObservation, MemberStatus, ServiceLoad } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';
import { connectNodeAdapter } from '@connectrpc/connect-node';

/** Identity, state and callbacks that the daemon provides to a session. */
export interface MemberSessionOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly log: DecisionLog;
  readonly self: RosterMember;
  readonly controlState: () => ControlState;
  readonly stateJson: () => string;
  readonly phase: () => Phase;
  readonly logAgeMs: () => number;
  readonly serviceLoads: () => ServiceLoad[];
  readonly observations: () => InstanceObservation[];
  readonly onPeerState: (stateJson: string) => void;
  /** Called with observations of a peer; `sentAtMs` is set only for responses to heartbeats. */
  readonly onObservations: (
    observations: readonly InstanceObservation[],
    sentAtMs: number | undefined,
  ) => void;
  readonly onLoads: (vmId: VmId, loads: readonly ServiceLoad[]) => void;
  /** Sends a heartbeat and waits for its response. */
  readonly exchange: HeartbeatExchange;
  /** Handles requests on the peer port that are not heartbeats. */
  readonly fallback: RequestListener;
}

interface KnownPeer {
  readonly status: MemberStatus;
  readonly heardAtMs: number;
}

/** Membership of one incarnation: lease, heartbeats and the last status of each peer. */
export class MemberSession {
  readonly lease: MemberLease;

  readonly heartbeats: HeartbeatService;

  /** Request listener for the peer port. */
  readonly listener: RequestListener;

  private readonly policy: EvictionPolicy;

  private readonly peers = new Map<VmId, KnownPeer>();

  private constructor(private readonly options: MemberSessionOptions) {
    const { clock, random, self, log } = options;
    this.lease = MemberLease.create(clock, self);
    this.policy = EvictionPolicy.create(clock, self);
    this.heartbeats = HeartbeatService.create({
      clock,
      random,
      self,
      status: (isComplete) => this.ownStatus(isComplete),
      exchange: options.exchange,
      counters: () => ({
        epoch: options.controlState().epoch,
        configurationVersion: options.controlState().configurationVersion,
        drainRevision: options.controlState().drainRevision,
      }),
      shouldGrant: (senderEpoch) => this.lease.shouldGrant(senderEpoch),
      stateJson: options.stateJson,
      onPeerStatus: (status, source) => this.handleStatus(status, source),
      onPeerAhead: (_, stateJson) => options.onPeerState(stateJson),
      onPeerBehind: () => {},
      onGone: (member, reason) => this.recordGone(member, reason),
      onError: (member, error) =>
        log.warn(LogComponent.member, 'heartbeat failed', {
          peer: formatMember(member),
          error: error.message,
        }),
    });
    this.listener = connectNodeAdapter({
      routes: this.heartbeats.routes,
      fallback: options.fallback as never,
    });
  }

  /** Creates the session of an incarnation that is not in the roster yet. */
  static create(options: MemberSessionOptions): MemberSession {
    return new MemberSession(options);
  }

  get self(): RosterMember {
    return this.options.self;
  }

  /** Sets the heartbeat targets: the roster, and former members that are not settled yet. */
  setRoster(members: readonly RosterMember[]): void {
    this.heartbeats.setPeers([...members, ...this.lease.unsettledMembers()]);
  }

  /** Records evidence that a member has stopped. */
  recordGone(member: MemberId, reason: GoneReason): void {
    const logMessage = this.lease.recordGone(member, reason);
    if (logMessage) this.options.log.info(LogComponent.member, logMessage);
  }

  /** Records an event loop delay; after a pause, sends heartbeats at once. */
  observeLoopGap(gapMs: number, isPause: boolean): void {
    this.lease.observeLoopGap(gapMs);
    if (!isPause) return;
    this.policy.recordPause();
    this.heartbeats.sendNow();
  }

  /** Decides which members should be evicted now. */
  decideEvictions(): Eviction[] {
    return this.policy.decide({
      members: this.options.controlState().members,
      isLeaseHeld: this.lease.isLeaseHeld(),
      isConfirmedGone: (member) => this.lease.isGone(member),
    });
  }

  /** Milliseconds since the last message of a member; 0 for this member itself. */
  silentMs(member: MemberId): number {
    if (isSameMember(member, this.options.self)) return 0;
    return this.policy.silentMs(member);
  }

  /** Members from which the addresses for callers are selected. */
  candidates(isTakenOut: (member: RosterMember) => boolean): AddressCandidate[] {
    return this.options.controlState().members.map((member) => ({
      member,
      isServing: this.isServing(member),
      isTakenOut: isTakenOut(member),
      silentMs: this.silentMs(member),
    }));
  }

  /** Whether a member serves callers, according to its last status. */
  isServing(member: MemberId): boolean {
    if (isSameMember(member, this.options.self)) return this.options.phase() === Phase.SERVING;
    if (this.lease.isGone(member)) return false;
    const peer = this.peers.get(member.vmId);
    return peer?.status.incarnation === member.incarnation && peer.status.phase === Phase.SERVING;
  }

  /** Ends heartbeats; first announces the stop to all peers, unless `announceMs` is 0. */
  async stop(announceMs: number): Promise<void> {
    if (announceMs > 0) await this.heartbeats.announce(announceMs);
    await this.heartbeats.stop();
  }

  private ownStatus(isComplete: boolean): MemberStatus {
    const { options } = this;
    const state = options.controlState();
    return create(MemberStatusSchema, {
      vmId: options.self.vmId,
      incarnation: options.self.incarnation,
      failureDomainId: options.self.failureDomainId,
      phase: options.phase(),
      epoch: BigInt(this.lease.epoch),
      settledEpoch: BigInt(this.lease.settledEpoch()),
      configurationVersion: BigInt(state.configurationVersion),
      drainRevision: BigInt(state.drainRevision),
      logOffset: BigInt(state.nextOffset),
      logAgeMs: Math.min(Math.trunc(options.logAgeMs()), 0xffffffff),
      services: isComplete ? options.serviceLoads() : [],
      observations: isComplete ? options.observations() : [],
    });
  }

  private handleStatus(status: MemberStatus, source: StatusSource): void {
    const member = { vmId: status.vmId, incarnation: status.incarnation };
    const report = toPeerReport(status);
    this.policy.recordHeard(member);
    this.peers.set(status.vmId, { status, heardAtMs: this.options.clock.monotonicMs() });
    if (source.kind === 'response') {
      this.lease.recordResponse(member, source.sentAtMs, report, source.isLeaseGranted);
    } else this.lease.recordReport(member, report);
    const sentAtMs = source.kind === 'response' ? source.sentAtMs : undefined;
    this.options.onObservations(status.observations, sentAtMs);
    this.options.onLoads(status.vmId, status.services);
  }
}
