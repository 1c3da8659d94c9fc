import type { Clock } from '@bronzelift/common';

import { ADVERTISED_LIMIT_LIFETIME_MS } from './constants.js';

/** A limit that an instance advertised; among entry VMs the higher version is newer. */
export interface VersionedLimit {
  readonly version: number;
  /** Requests per second from all entry VMs together; undefined if the instance ended the limit. */
  readonly maxRequestsPerS: number | undefined;
}

const isStricter = (left: VersionedLimit, right: VersionedLimit): boolean =>
  (left.maxRequestsPerS ?? Infinity) < (right.maxRequestsPerS ?? Infinity);

/**
 * Request limit that an instance advertises in its responses, as this entry VM knows it from own
 * responses and from other entry VMs. Versions count changes, because the clocks of entry VMs may
 * differ; of two limits with the same version the stricter one wins.
 */
export class AdvertisedLimit {
  private current: VersionedLimit = { version: 0, maxRequestsPerS: undefined };

  private changedAtMs = -Infinity;

  private confirmedAtMs = -Infinity;

  private lastResponseWithLimitAtMs = -Infinity;

  private constructor(private readonly clock: Clock) {}

  /** Creates the limit of an instance that has not advertised one. */
  static create(clock: Clock): AdvertisedLimit {
    return new AdvertisedLimit(clock);
  }

  /** Limit in requests per second; undefined if there is none, or if nobody confirmed it for long. */
  get maxRequestsPerS(): number | undefined {
    const ageMs = this.clock.monotonicMs() - this.confirmedAtMs;
    return ageMs <= ADVERTISED_LIMIT_LIFETIME_MS ? this.current.maxRequestsPerS : undefined;
  }

  /** The limit with its version, to send to other entry VMs. */
  get versioned(): VersionedLimit {
    return { version: this.current.version, maxRequestsPerS: this.maxRequestsPerS };
  }

  /** Time since any entry VM confirmed the limit. */
  get confirmationAgeMs(): number {
    return this.clock.monotonicMs() - this.confirmedAtMs;
  }

  /** Time since a response to this entry VM advertised the limit. */
  get responseAgeMs(): number {
    return this.clock.monotonicMs() - this.lastResponseWithLimitAtMs;
  }

  /** Records that the limit was sent to the other entry VMs. */
  markSent(): void {
    this.confirmedAtMs = this.clock.monotonicMs();
  }

  /**
   * Records what a response advertised; returns whether this changes the limit. A response to a
   * request that was sent before the latest change may be older than the change and does not end
   * the limit.
   */
  recordResponse(maxRequestsPerS: number | undefined, sentAtMs: number): boolean {
    const nowMs = this.clock.monotonicMs();
    const known = this.maxRequestsPerS;
    if (maxRequestsPerS === undefined) {
      const isOutdated = sentAtMs <= Math.max(this.changedAtMs, this.lastResponseWithLimitAtMs);
      if (known === undefined || isOutdated) return false;
    } else {
      this.lastResponseWithLimitAtMs = nowMs;
    }
    if (maxRequestsPerS === known) return false;
    this.set({ version: this.current.version + 1, maxRequestsPerS });
    return true;
  }

  /** Merges the limit that another entry VM knows; returns whether this changes the limit. */
  merge(limit: VersionedLimit): boolean {
    const { version } = this.current;
    const known = this.maxRequestsPerS;
    if (limit.version < version) return false;
    if (limit.version === version && limit.maxRequestsPerS === this.current.maxRequestsPerS) {
      this.confirmedAtMs = this.clock.monotonicMs();
      return known !== limit.maxRequestsPerS;
    }
    if (limit.version === version && !isStricter(limit, this.current)) return false;
    this.set(limit);
    return known !== limit.maxRequestsPerS;
  }

  private set(limit: VersionedLimit): void {
    this.current = limit;
    this.changedAtMs = this.clock.monotonicMs();
    this.confirmedAtMs = this.changedAtMs;
  }
}
