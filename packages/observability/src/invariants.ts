import type { Clock } from '@bronzelift/common';

import { InvariantName, MAX_KEPT_VIOLATIONS, LogComponent } from './constants.js';
import type { DecisionLog } from './decisionLog.js';
import type { Counter, Metrics } from './metrics.js';
import type { InvariantSnapshot, Violation } from './types.js';

const VIOLATIONS_METRIC = 'bronzelift_invariant_violations_total';

/** Where violations are logged and counted, and whether they throw. */
export interface InvariantsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  /** Whether a violation throws, for tests; default false. */
  readonly isThrowing?: boolean;
}

/** Logs, counts and stores violations that the runtime assertions of the invariants report. */
export class Invariants {
  private readonly latest: Violation[] = [];

  private readonly counts = Object.fromEntries(
    Object.values(InvariantName).map((name) => [name, 0]),
  ) as Record<InvariantName, number>;

  private readonly counters: ReadonlyMap<InvariantName, Counter>;

  private constructor(private readonly options: InvariantsOptions) {
    this.counters = new Map(
      Object.values(InvariantName).map((name) => [
        name,
        options.metrics.counter(VIOLATIONS_METRIC, { invariant: name }),
      ]),
    );
  }

  /** Creates a counter for each invariant, so that the metrics list all of them from the start. */
  static create(options: InvariantsOptions): Invariants {
    return new Invariants(options);
  }

  /** Logs and counts a violation, and throws if `isThrowing` is set. */
  report(name: InvariantName, detail: string): void {
    const { clock, log, isThrowing } = this.options;
    this.counts[name] += 1;
    this.counters.get(name)!.increment();
    this.latest.push({ name, detail, atMs: clock.wallMs() });
    if (this.latest.length > MAX_KEPT_VIOLATIONS) this.latest.shift();
    log.error(LogComponent.invariant, 'invariant violated', { name, detail });
    if (isThrowing) throw new Error(`invariant ${name} violated: ${detail}`);
  }

  /** Copies the counts and the latest violations for the status page. */
  snapshot(): InvariantSnapshot {
    return { counts: { ...this.counts }, latest: [...this.latest] };
  }
}
