import { StepError, describeError, formatEndpoint, sleep } from '@bronzelift/common';
import type { Clock, RandomSource } from '@bronzelift/common';
import { Phase } from '@bronzelift/protocol';
import type { HeartbeatResponse, MemberStatus } from '@bronzelift/protocol';

import {
  FETCH_STATE_DELAY_MS,
  FETCH_STATE_TIMEOUT_MS,
  HEARTBEAT_INTERVAL_MS,
  HEARTBEAT_TIMEOUT_MS,
  REFUSAL_CONFIRM_MS,
  URGENT_INTERVAL_MS,
} from './constants.js';
import { createPeerClient, isConnectionRefused, isRefusal } from './peerClient.js';
import type { PeerClient } from './peerClient.js';
import type { GoneReason, RosterMember } from './types.js';

/** Part of the interval by which heartbeats vary, so that those to many peers spread out. */
const JITTER = 0.2;

/** What a link needs from the service. */
export interface PeerLinkOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly member: RosterMember;
  /** Status of this member, made anew for each heartbeat. */
  readonly status: () => MemberStatus;
  readonly onResponse: (status: MemberStatus, sentAtMs: number, isLeaseGranted: boolean) => void;
  readonly isAhead: (status: MemberStatus) => boolean;
  readonly onState: (member: RosterMember, stateJson: string) => void;
  readonly onGone: (member: RosterMember, reason: GoneReason) => void;
  readonly onError: (member: RosterMember, error: StepError) => void;
}

/** Task that sends heartbeats to one peer, one after the other, and fetches its state when needed. */
export class PeerLink {
  private readonly stopping = new AbortController();

  private waiting = new AbortController();

  private isUrgent = false;

  private sentAtMs = -Infinity;

  private aheadSinceMs: number | undefined;

  private exchanges = 0;

  private readonly finished: Promise<void>;

  private constructor(
    private readonly options: PeerLinkOptions,
    private peer: PeerClient,
  ) {
    this.finished = this.run();
  }

  /** Starts sending. */
  static start(options: PeerLinkOptions): PeerLink {
    return new PeerLink(options, createPeerClient(options.member.peerEndpoint));
  }

  /** Sends the next heartbeat as soon as the minimum interval has passed. */
  sendNow(): void {
    this.isUrgent = true;
    this.waiting.abort();
  }

  /** Sends a heartbeat and waits until it was answered or failed. */
  async sendAndWait(signal: AbortSignal): Promise<void> {
    // The exchange in progress may have begun before the change that is to be announced.
    const wanted = this.exchanges + 2;
    while (this.exchanges < wanted && !signal.aborted && !this.stopping.signal.aborted) {
      this.sendNow();
      await sleep(URGENT_INTERVAL_MS / 2, signal);
    }
  }

  /** Ends the call in progress and waits for the task. */
  async stop(): Promise<void> {
    this.stopping.abort();
    this.waiting.abort();
    this.peer.close();
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
    const restMs = this.sentAtMs + URGENT_INTERVAL_MS - clock.monotonicMs();
    if (restMs > 0) await sleep(restMs, this.stopping.signal);
  }

  private async exchange(): Promise<void> {
    const { member, status } = this.options;
    const request = { sender: status(), targetIncarnation: member.incarnation };
    const { sentAtMs } = this;
    try {
      // stop() ends the call by closing the connection, so that no further signal is needed.
      const call = { timeoutMs: HEARTBEAT_TIMEOUT_MS };
      const response = await this.peer.client.heartbeat(request, call);
      this.receive(response, sentAtMs);
      await this.fetchStateWhenAhead();
    } catch (error) {
      await this.recover(error);
    }
  }

  private receive(response: HeartbeatResponse, sentAtMs: number): void {
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
    const call = { timeoutMs: FETCH_STATE_TIMEOUT_MS };
    const { stateJson } = await this.peer.client.fetchState({}, call);
    this.aheadSinceMs = undefined;
    onState(member, stateJson);
  }

  /** Replaces the connection, which may have gone silent, and finds out whether the peer is gone. */
  private async recover(error: unknown): Promise<void> {
    const { signal } = this.stopping;
    if (signal.aborted) return;
    const { member, onError, onGone } = this.options;
    this.peer.close();
    this.peer = createPeerClient(member.peerEndpoint);
    const peerName = formatEndpoint(member.peerEndpoint);
    onError(member, StepError.create('send heartbeat', peerName, describeError(error), error));
    if (!isRefusal(error) || !(await sleep(REFUSAL_CONFIRM_MS, signal))) return;
    const isRefused = await isConnectionRefused(member.peerEndpoint, HEARTBEAT_TIMEOUT_MS);
    if (isRefused && !signal.aborted) onGone(member, 'refused');
  }
}
