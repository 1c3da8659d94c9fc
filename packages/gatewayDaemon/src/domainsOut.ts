import type { Clock, FailureDomainId } from '@bronzelift/common';

/** Failure domains out of service, as entry VMs exchange them. */
export interface DomainsOutSnapshot {
  readonly domainsOut: readonly FailureDomainId[];
  /** What a restored store says instead, and the time until this is taken over. */
  readonly restoredDomains?:
    { readonly domainsOut: readonly FailureDomainId[]; readonly forMs: number } | undefined;
}

interface RestoredDomains {
  readonly domainsOut: Set<FailureDomainId>;
  readonly untilMs: number;
}

const hasSameMembers = (left: ReadonlySet<string>, right: ReadonlySet<string>): boolean =>
  left.size === right.size && [...left].every((item) => right.has(item));

/**
 * Failure domains that the operators took out of service. What was known before the store was
 * restored from a copy stays in force until the operators have had time to write it again.
 */
export class DomainsOut {
  private current = new Set<FailureDomainId>();

  private restored: RestoredDomains | undefined;

  private constructor(private readonly clock: Clock) {}

  /** Creates a set in which all failure domains are in service. */
  static create(clock: Clock): DomainsOut {
    return new DomainsOut(clock);
  }

  has(failureDomainId: FailureDomainId): boolean {
    return this.current.has(failureDomainId);
  }

  list(): FailureDomainId[] {
    return [...this.current];
  }

  /** Applies a change that the operators made after the newest known state. */
  set(failureDomainId: FailureDomainId, isOut: boolean): void {
    for (const domains of [this.current, this.restored?.domainsOut]) {
      if (isOut) domains?.add(failureDomainId);
      else domains?.delete(failureDomainId);
    }
  }

  /** Replaces the set by what the store says; if it was restored, when this is due. */
  replace(domainsOut: Iterable<FailureDomainId>): void {
    if (this.restored === undefined) this.current = new Set(domainsOut);
    else this.replaceLater(domainsOut, this.restored.untilMs);
  }

  /** Keeps the set until `untilMs`, and replaces it then by what a restored store says. */
  replaceLater(domainsOut: Iterable<FailureDomainId>, untilMs: number): void {
    this.restored = { domainsOut: new Set(domainsOut), untilMs };
  }

  /** Takes over what a restored store says when it is due; returns whether this changes the set. */
  settle(): boolean {
    if (this.restored === undefined || this.clock.monotonicMs() < this.restored.untilMs) {
      return false;
    }
    const { domainsOut } = this.restored;
    const hasChanged = !hasSameMembers(domainsOut, this.current);
    this.current = domainsOut;
    this.restored = undefined;
    return hasChanged;
  }

  /** Creates the state to send to another entry VM. */
  createSnapshot(): DomainsOutSnapshot {
    if (this.restored === undefined) return { domainsOut: this.list() };
    const { domainsOut, untilMs } = this.restored;
    const forMs = Math.max(untilMs - this.clock.monotonicMs(), 0);
    return { domainsOut: this.list(), restoredDomains: { domainsOut: [...domainsOut], forMs } };
  }

  /** Replaces the state by that of another entry VM. */
  adopt({ domainsOut, restoredDomains }: DomainsOutSnapshot): void {
    this.current = new Set(domainsOut);
    this.restored = undefined;
    if (restoredDomains === undefined) return;
    const untilMs = this.clock.monotonicMs() + restoredDomains.forMs;
    this.replaceLater(restoredDomains.domainsOut, untilMs);
  }
}
