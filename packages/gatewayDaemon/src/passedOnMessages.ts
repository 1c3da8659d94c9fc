import type { Clock } from '@bronzelift/common';

import { PASSED_ON_MEMORY_MS } from './constants.js';
import type { PeerNetwork } from './peerNetwork.js';
import { hashText } from './utils.js';

/** Dependencies of PassedOnMessages. */
export interface PassedOnMessagesOptions {
  readonly clock: Clock;
  readonly network: PeerNetwork;
  /** Hosts of the other members of the own failure domain. */
  readonly listHosts: () => readonly string[];
}

/** Passes messages on to the members of the own failure domain, each of them once. */
export class PassedOnMessages {
  /** Monotonic time at which each message was passed on, the oldest first. */
  private readonly passedOnAtMs = new Map<string, number>();

  private constructor(private readonly options: PassedOnMessagesOptions) {}

  static create(options: PassedOnMessagesOptions): PassedOnMessages {
    return new PassedOnMessages(options);
  }

  /** Passes a datagram on for the host that sent it. */
  passOn(data: Buffer, fromHost: string): void {
    const nowMs = this.options.clock.monotonicMs();
    for (const [key, atMs] of this.passedOnAtMs) {
      if (nowMs - atMs < PASSED_ON_MEMORY_MS) break;
      this.passedOnAtMs.delete(key);
    }
    const key = `${data.length} ${hashText(data.toString('latin1'))}`;
    if (this.passedOnAtMs.has(key)) return;
    this.passedOnAtMs.set(key, nowMs);
    const hosts = this.options.listHosts().filter((host) => host !== fromHost);
    this.options.network.spreadForOrigin(hosts, data, fromHost);
  }
}
