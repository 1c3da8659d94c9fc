import { StepError, describeError, formatEndpoint, sleep } from '@bronzelift/common';
import type { Clock, RandomSource } from '@bronzelift/common';
import { HeartbeatRequestSchema, Phase } from '@bronzelift/protocol';
import type { HeartbeatResponse, MemberStatus } from '@bronzelift/protocol';
import { create } from '@bufbuild/protobuf';

import {
  FETCH_STATE_DELAY_MS,
  FETCH_STATE_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
  REFUSAL_CONFIRMATION_DELAY_MS,
  URGENT_INTERVAL_MS,
} from './constants.js';
import type { HeartbeatExchange } from './heartbeatSocket.js';
import { createPeerClient, isConnectionRefused } from './peerClient.js';
import type { GoneReason, RosterMember } from './types.js';

/** Largest random part by which an interval is shortened; spreads the heartbeats to many peers. */
const JITTER = 0.2;

/** Peer of a link, and the functions of the heartbeat service that the link calls. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly member: RosterMember;
  /** Creates the status of this member for a heartbeat. */
  readonly status: () => MemberStatus;
  readonly exchange: HeartbeatExchange;
  readonly onResponse: (status: MemberStatus, sentAtMs: number, isLeaseGranted: boolean) => void;
  readonly isAhead: (status: MemberStatus) => boolean;
  readonly onState: (member: RosterMember, stateJson: string) => void;
  readonly onGone: (member: RosterMember, reason: GoneReason) => void;
  readonly onError: (member: RosterMember, error: StepError) => void;
}

/** Sends heartbeats to one peer, one at a time, and fetches the peer's state if it stays ahead. */
export class PeerLink {
  private readonly stopping = new AbortController();

  private waiting = new AbortController();

  private isUrgent = false;

  private sentAtMs = -Infinity;

  private aheadSinceMs: number | undefined;

  private exchanges = 0;

  private readonly finished: Promise<void>;

  private constructor(private readonly options: PeerLinkOptions) {
    this.finished = this.run();
  }

  static start(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options);
  }

  /** Sends the next heartbeat once `URGENT_INTERVAL_MS` has passed since the previous one. */
  sendNow(): void {
    this.isUrgent = true;
    this.waiting.abort();
  }

  /** Sends a heartbeat with the current status and waits until it was answered or has failed. */
  async sendAndWait(signal: AbortSignal): Promise<void> {
    // Two exchanges, because the one in progress may have started before the change to announce.
    const targetCount = this.exchanges + 2;
    while (this.exchanges < targetCount && !signal.aborted && !this.stopping.signal.aborted) {
      this.sendNow();
      await sleep(URGENT_INTERVAL_MS / 2, signal);
    }
  }

  /** Stops sending, cancels a state fetch in progress and waits until the task has ended. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.waiting.abort();
    await this.finished;
  }

  private async run(): Promise<void> {
    // Lets the owner store the link before the first callback.
    await sleep(0, this.stopping.signal);
    while (!this.stopping.signal.aborted) {
      this.isUrgent = false;
      this.sentAtMs = this.options.clock.monotonicMs();
      await this.exchange();
      this.exchanges += 1;
      await this.waitForNext();
    }
  }

  private async waitForNext(): Promise<void> {
    const { clock, random } = this.options;
    if (this.stopping.signal.aborted) return;
    if (!this.isUrgent) {
      const intervalMs = HEARTBEAT_INTERVAL_MS * (1 - JITTER * random.next());
      this.waiting = new AbortController();
      await sleep(this.sentAtMs + intervalMs - clock.monotonicMs(), this.waiting.signal);
    }
    const remainingMs = this.sentAtMs + URGENT_INTERVAL_MS - clock.monotonicMs();
    if (remainingMs > 0) await sleep(remainingMs, this.stopping.signal);
  }

  private async exchange(): Promise<void> {
    const { member, status } = this.options;
    const request = create(HeartbeatRequestSchema, {
      sender: status(),
      targetIncarnation: member.incarnation,
    });
    const { sentAtMs } = this;
    try {
      const response = await this.options.exchange(member.peerEndpoint, request);
      this.handleResponse(response, sentAtMs);
      await this.fetchStateWhenAhead();
    } catch (error) {
      await this.handleFailure(error);
    }
  }

  private handleResponse(response: HeartbeatResponse, sentAtMs: number): void {
    const { member, onGone, onResponse, isAhead, clock } = this.options;
    const { receiver } = response;
    if (!receiver) return;
    if (receiver.vmId !== member.vmId || receiver.incarnation !== member.incarnation) {
      onGone(member, 'replaced');
      return;
    }
    onResponse(receiver, sentAtMs, response.leaseGranted);
    if (receiver.phase === Phase.STOPPED) onGone(member, 'stopped');
    if (!isAhead(receiver)) this.aheadSinceMs = undefined;
    else this.aheadSinceMs ??= clock.monotonicMs();
  }

  private async fetchStateWhenAhead(): Promise<void> {
    const { clock, member, onState } = this.options;
    if (this.aheadSinceMs === undefined) return;
    if (clock.monotonicMs() - this.aheadSinceMs < FETCH_STATE_DELAY_MS) return;
    const peer = createPeerClient(member.peerEndpoint);
    const call = { timeoutMs: FETCH_STATE_TIMEOUT_MS, signal: this.stopping.signal };
    const { stateJson } = await peer.client.fetchState({}, call).finally(peer.close);
    this.aheadSinceMs = undefined;
    onState(member, stateJson);
  }

  /** Checks whether a peer that did not respond is gone: it must refuse two connections. */
  private async handleFailure(error: unknown): Promise<void> {
    const { signal } = this.stopping;
    if (signal.aborted) return;
    const { member, onError, onGone } = this.options;
    const peerName = formatEndpoint(member.peerEndpoint);
    onError(member, StepError.create('send heartbeat', peerName, describeError(error), error));
    if (!(await isConnectionRefused(member.peerEndpoint, HEARTBEAT_TIMEOUT_MS))) return;
    if (!(await sleep(REFUSAL_CONFIRMATION_DELAY_MS, signal))) return;
    const isRefused = await isConnectionRefused(member.peerEndpoint, HEARTBEAT_TIMEOUT_MS);
    if (isRefused && !signal.aborted) onGone(member, 'refused');
  }
}
