import type { Clock } from '@bronzelift/common';

const MS_PER_S = 1000;

/** Rate of a probe budget, and the callback for overspending. */
export interface ProbeBudgetSettings {
  /** Backend milliseconds that probes and connections may cost per second. */
  readonly budgetMsPerS: number;
  /** Called with a description if more was spent than the budget allows. */
  readonly onViolation: (detail: string) => void;
}

/**
 * Token bucket of backend time for probes and new connections of one instance. It starts empty, so
 * that a new owner cannot add a burst to what the former owner spent, and holds at most the
 * budget of one second, or the cost of one probe if that is more.
 */
export class ProbeBudget {
  private availableMs = 0;

  private filledAtMs: number;

  private readonly startedAtMs: number;

  private spentMs = 0;

  private constructor(
    private readonly clock: Clock,
    private readonly settings: ProbeBudgetSettings,
  ) {
    this.filledAtMs = clock.monotonicMs();
    this.startedAtMs = this.filledAtMs;
  }

  static create(clock: Clock, settings: ProbeBudgetSettings): ProbeBudget {
    return new ProbeBudget(clock, settings);
  }

  /** Spends the cost in backend milliseconds; false if the budget does not cover it. */
  trySpend(costMs: number): boolean {
    if (!(costMs >= 0)) return false;
    this.refill(costMs);
    if (this.availableMs < costMs) return false;
    this.availableMs -= costMs;
    this.recordSpent(costMs);
    return true;
  }

  /** Milliseconds until the cost is covered; 0 when it is covered now. */
  waitMs(costMs: number): number {
    this.refill(costMs);
    const missingMs = costMs - this.availableMs;
    if (missingMs <= 0) return 0;
    return (missingMs / this.settings.budgetMsPerS) * MS_PER_S;
  }

  /**
   * Adds a cost to the total, even one that was not requested with trySpend. Reports a violation if
   * the total exceeds the budget earned since the start.
   */
  recordSpent(costMs: number): void {
    this.spentMs += costMs;
    const elapsedMs = this.clock.monotonicMs() - this.startedAtMs;
    const earnedMs = (elapsedMs / MS_PER_S) * this.settings.budgetMsPerS;
    // 0.001 ms of tolerance; rounding errors of the additions stay far below a microsecond.
    if (this.spentMs <= earnedMs + 0.001) return;
    this.settings.onViolation(
      `probe-budget: spent ${this.spentMs.toFixed(1)} ms of ${earnedMs.toFixed(1)} ms`,
    );
  }

  private refill(costMs: number): void {
    const nowMs = this.clock.monotonicMs();
    const earnedMs = ((nowMs - this.filledAtMs) / MS_PER_S) * this.settings.budgetMsPerS;
    const capacityMs = Math.max(this.settings.budgetMsPerS, costMs);
    this.availableMs = Math.min(capacityMs, this.availableMs + earnedMs);
    this.filledAtMs = nowMs;
  }
}
