import { sleep } from '@bronzelift/common';
import type { FailureDomainId, RandomSource, VmId } from '@bronzelift/common';

import { MAX_ROSTER_FETCH_BACKOFF, ROSTER_FETCH_DELAY_MS } from '../constants.js';
import type { DomainRoster } from './types.js';

/** A relay whose lists are to be fetched. */
export interface FetchedRelay {
  readonly vmId: VmId;
  readonly failureDomainId: FailureDomainId;
  readonly host: string;
}

/** Dependencies of a RosterFetcher. */
export interface RosterFetcherOptions {
  readonly random: RandomSource;
  /** Whether the latest digest of a relay still differs from the known lists. */
  readonly isBehind: (relayId: VmId) => boolean;
  /** Fetches the lists of a relay; rejects with a StepError. */
  readonly fetchRosters: (host: string) => Promise<readonly DomainRoster[]>;
  readonly onFetched: (relayId: VmId, rosters: readonly DomainRoster[]) => void;
  readonly onFailed: (relayId: VmId, error: unknown) => void;
  /** Aborted when the process stops. */
  readonly signal: AbortSignal;
}

/**
 * Fetches lists of members, one at a time from each failure domain. After failures it waits longer,
 * since relays that cannot answer all members in time would otherwise answer none.
 */
export class RosterFetcher {
  /** Relays to ask, in the order in which their digests arrived. */
  private readonly waiting = new Map<VmId, FetchedRelay>();

  /** Failure domains whose relays are being asked. */
  private readonly running = new Set<FailureDomainId>();

  /** Failures in each failure domain since the latest success. */
  private readonly failures = new Map<FailureDomainId, number>();

  private constructor(private readonly options: RosterFetcherOptions) {}

  static create(options: RosterFetcherOptions): RosterFetcher {
    return new RosterFetcher(options);
  }

  /** Asks for the lists of a relay, unless it is waiting to be asked already. */
  request(relay: FetchedRelay): void {
    const { vmId, failureDomainId } = relay;
    if (!this.waiting.has(vmId)) this.waiting.set(vmId, relay);
    if (!this.running.has(failureDomainId)) this.run(failureDomainId);
  }

  private async run(failureDomainId: FailureDomainId): Promise<void> {
    const { random, signal, isBehind } = this.options;
    this.running.add(failureDomainId);
    while (this.findWaiting(failureDomainId) !== undefined) {
      const failures = this.failures.get(failureDomainId) ?? 0;
      const backoff = 2 ** Math.min(failures, MAX_ROSTER_FETCH_BACKOFF);
      await sleep(random.next() * ROSTER_FETCH_DELAY_MS * backoff, signal);
      if (signal.aborted) return;
      const relay = this.findWaiting(failureDomainId)!;
      this.waiting.delete(relay.vmId);
      // Changes that arrived meanwhile may have led to the list of the digest.
      if (isBehind(relay.vmId)) await this.fetch(relay);
    }
    this.running.delete(failureDomainId);
  }

  private async fetch({ vmId, failureDomainId, host }: FetchedRelay): Promise<void> {
    try {
      const rosters = await this.options.fetchRosters(host);
      this.failures.delete(failureDomainId);
      this.options.onFetched(vmId, rosters);
    } catch (error) {
      this.failures.set(failureDomainId, (this.failures.get(failureDomainId) ?? 0) + 1);
      this.options.onFailed(vmId, error);
    }
  }

  private findWaiting(failureDomainId: FailureDomainId): FetchedRelay | undefined {
    return [...this.waiting.values()].find((relay) => relay.failureDomainId === failureDomainId);
  }
}
