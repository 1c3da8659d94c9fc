import type { MemberLease } from '@bronzelift/membership';

/** Whether this entry VM may send new work now, and until when. */
export interface SendGate {
  /** Milliseconds for which new work may be sent; 0 when it may not. */
  remainingMs(): number;
  /** Why nothing may be sent; undefined when it may. */
  closedReason(): string | undefined;
}

/** Gate from the member lease and the freshness of the control state. */
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
