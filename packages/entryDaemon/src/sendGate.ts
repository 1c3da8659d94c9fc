import type { MemberLease } from '@bronzelift/membership';

/** Tells whether this entry VM may send requests to backend servers now, and for how long. */
export interface SendGate {
  /** Milliseconds for which new requests may be sent; 0 if none may be sent. */
  remainingMs(): number;
  /** Why no request may be sent; undefined if requests may be sent. */
  closedReason(): string | undefined;
}

/** Creates a gate that is open while the member lease is held and the control state is fresh. */
export const createSendGate = (
  currentLease: () => MemberLease,
  hasConfiguration: () => boolean,
): SendGate => ({
  remainingMs: () =>
    hasConfiguration()
      ? Math.min(currentLease().leaseRemainingMs(), currentLease().freshnessRemainingMs())
      : 0,
  closedReason: () => {
    if (!hasConfiguration()) return 'no configuration';
    if (currentLease().leaseRemainingMs() <= 0) return 'no member lease';
    if (currentLease().freshnessRemainingMs() <= 0) return 'control state not fresh';
    return undefined;
  },
});
